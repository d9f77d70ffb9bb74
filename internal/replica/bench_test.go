package replica

import (
	"context"
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

// BenchmarkPropose measures committed proposals per second and their latency
// with three replicas, each with its own synced data folder and its own
// loopback connection, and 64 callers that propose 256 bytes each. The offered
// load is as high as the callers can make it.
func BenchmarkPropose(b *testing.B) {
	const callers = 64
	c := newBenchCluster(b)
	leader := c.leader()
	command := make([]byte, 256)
	work := make(chan struct{}, callers)
	var mu sync.Mutex
	latency := hdrhistogram.New(1, int64(10*time.Second), 3)
	var running sync.WaitGroup
	b.ResetTimer()
	for range callers {
		running.Go(func() {
			for range work {
				begin := time.Now()
				_, err := leader.Propose(context.Background(), command)
				took := time.Since(begin)
				mu.Lock()
				if err != nil {
					b.Error(err)
				}
				if err := latency.RecordValue(int64(took)); err != nil {
					b.Error(err)
				}
				mu.Unlock()
			}
		})
	}
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	running.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1e6, "p99-ms")
}

// newBenchCluster runs three replicas that talk over twirp.
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
		cfg.Machine = countingMachine{}
	}, "a.1", "b.1", "c.1")
	for id, r := range c.net.replicas {
		servers[id].Register("g", r)
	}
	return c
}

// countingMachine keeps nothing, so that the log alone is measured.
type countingMachine struct{}

func (countingMachine) Apply(index uint64, _ []byte) any { return index }
func (countingMachine) Snapshot() ([]byte, error)        { return []byte{0}, nil }
func (countingMachine) Restore(uint64, []byte) error     { return nil }
