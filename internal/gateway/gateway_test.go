package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
)

// process is a control process that leads or does not.
type process struct {
	reply cellapi.Reply
	// gone processes do not answer any more.
	gone atomic.Bool
}

func (p *process) Do(ctx context.Context, _ *cellapi.Call) *cellapi.Reply {
	if p.gone.Load() {
		<-ctx.Done()
	}
	r := p.reply
	return &r
}

// serve starts a control process.
func serve(t *testing.T, p *process) string {
	s := httptest.NewServer(cellapi.Handler(p, nil))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// silent is the address of a process that takes connections and says nothing.
func silent(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// after returns a gateway that knows the control processes, after their leader
// has gone.
func after(t *testing.T, others ...string) *Gateway {
	leader := &process{}
	address := serve(t, leader)
	leader.reply = cellapi.Reply{Verdict: cell.Accepted, Members: append(others, address)}
	client := cellapi.NewClient([]string{address}, slog.New(slog.DiscardHandler))
	assert.Equal(t, client.Do(t.Context(), &cellapi.Call{AnnounceAdviceCaller: &cellapi.AnnounceAdviceCaller{}}).Verdict, cell.Accepted)
	leader.gone.Store(true)
	g := New(client, "gateway", slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	assert.Assert(t, g.Ready())
	go g.watch(ctx)
	return g
}

// Guards against a gateway that keeps clients waiting in a data centre that is cut
// off: it is not ready, and refuses at once what it cannot serve.
func TestCutOffGatewayIsNotReady(t *testing.T) {
	follower := serve(t, &process{reply: cellapi.Reply{NotLeader: true}})
	g := after(t, follower, silent(t), silent(t))
	began := time.Now()
	for g.Ready() && time.Since(began) < 2*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(began)
	assert.Assert(t, took > silence/2 && took < 2*time.Second, "not ready after %v", took)
	assert.Assert(t, g.isolated.Load())
	asked := time.Now()
	r := g.Do(t.Context(), &cellapi.Call{Status: &cell.Request{}})
	assert.Assert(t, r.Refused != "" && r.Unknown == "" && time.Since(asked) < 100*time.Millisecond)
}

// Guards against gateways that all stop being ready while a leader is elected, or
// while all control processes restart.
func TestElectionKeepsGatewaysReady(t *testing.T) {
	follower := &process{reply: cellapi.Reply{NotLeader: true}}
	for name, others := range map[string][]string{
		"election": {serve(t, follower), serve(t, follower), silent(t)},
		"all down": {silent(t), silent(t)},
	} {
		g := after(t, others...)
		time.Sleep(silence + 3*watchInterval)
		assert.Assert(t, g.Ready(), name)
	}
}
