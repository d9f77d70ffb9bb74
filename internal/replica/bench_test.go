package replica

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/adapter/peer"
)

const (
	benchCallers            = 64
	benchCommandBytes       = 256
	benchProposalsPerSecond = 3000 // proposals per second
)

// BenchmarkPropose measures the rate and latency of committed proposals with three
// replicas, each with its own synced data folder and its own loopback connection.
// 64 callers propose commands of 256 bytes as fast as they can.
func BenchmarkPropose(b *testing.B) {
	benchmark(b, func() time.Time { return time.Now() })
}

// BenchmarkProposeAtRate measures the latency at 3,000 proposals per second. The
// latency of each proposal is counted from when it was due, so a stall counts for all
// proposals that it delays.
func BenchmarkProposeAtRate(b *testing.B) {
	var begin time.Time
	sent := 0
	benchmark(b, func() time.Time {
		if begin.IsZero() {
			begin = time.Now()
		}
		due := begin.Add(time.Duration(sent) * time.Second / benchProposalsPerSecond)
		sent++
		time.Sleep(time.Until(due))
		return due
	})
}

// benchmark proposes b.N commands. next waits until the next one is due and returns the
// time at which it was due.
func benchmark(b *testing.B, next func() time.Time) {
	leader := newBenchCluster(b).leader()
	command := make([]byte, benchCommandBytes)
	work := make(chan time.Time)
	var mu sync.Mutex
	latency := hdrhistogram.New(1, int64(10*time.Second), 3)
	var running sync.WaitGroup
	b.ResetTimer()
	for range benchCallers {
		running.Go(func() {
			for due := range work {
				_, err := leader.Propose(context.Background(), command)
				took := time.Since(due)
				mu.Lock()
				if err = errors.Join(err, latency.RecordValue(int64(took))); err != nil {
					b.Error(err)
				}
				mu.Unlock()
			}
		})
	}
	for range b.N {
		work <- next()
	}
	close(work)
	running.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1e6, "p99-ms")
}

// newBenchCluster starts three replicas that communicate over HTTP with twirp.
func newBenchCluster(b *testing.B) *cluster {
	addresses := map[string]string{}
	servers := map[string]*peer.RaftServer{}
	for _, id := range []string{"a.1", "b.1", "c.1"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		servers[id] = peer.NewRaftServer()
		server := &http.Server{Handler: servers[id].Handler()}
		go server.Serve(listener)
		b.Cleanup(func() { server.Close() })
		addresses[id] = listener.Addr().String()
	}
	resolve := func(id string) string { return addresses[id] }
	c := newCluster(b, func(cfg *Config) {
		transport := peer.NewRaftTransport(&http.Client{Transport: &http.Transport{}}, resolve, slog.New(slog.DiscardHandler))
		b.Cleanup(transport.Close)
		cfg.Transport = transport
		cfg.SnapshotThreshold = 0
		cfg.StateMachine = noopMachine{}
	}, "a.1", "b.1", "c.1")
	for id, r := range c.net.replicas {
		servers[id].Register("g", r)
	}
	return c
}

// noopMachine is a state machine without a state, so that only the log is measured.
type noopMachine struct{}

func (noopMachine) Apply(index uint64, _ []byte) any { return index }
func (noopMachine) Snapshot() ([]byte, error)        { return []byte{0}, nil }
func (noopMachine) Restore(uint64, []byte) error     { return nil }
