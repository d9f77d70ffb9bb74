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
	"laburnumgrade/internal/pause"
)

// fakeControlProcess is a control process that gives the same reply to every call.
type fakeControlProcess struct {
	reply cellapi.Reply
	// gone processes do not reply.
	gone atomic.Bool
}

func (p *fakeControlProcess) Do(ctx context.Context, _ *cellapi.Call) *cellapi.Reply {
	if p.gone.Load() {
		<-ctx.Done()
	}
	r := p.reply
	return &r
}

// startControlProcess starts a control process and returns its address.
func startControlProcess(t *testing.T, p *fakeControlProcess) string {
	s := httptest.NewServer(cellapi.Handler(p, nil))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// pausedClock is a clock that advances only when a test advances it.
type pausedClock struct{ now time.Duration }

func (c *pausedClock) Now() time.Duration { return c.now }

// Guards against a gateway that passes on a submission which waited in its socket while the
// process was paused: its client may have left and cancelled the job since. Calls without this
// risk are passed on.
func TestSubmissionAfterPauseIsRefused(t *testing.T) {
	leader := &fakeControlProcess{reply: cellapi.Reply{Verdict: cell.Accepted}}
	client := cellapi.NewClient([]string{startControlProcess(t, leader)}, nil, slog.New(slog.DiscardHandler))
	clock := &pausedClock{}
	g := New(client, "gateway", pause.New(clock), slog.New(slog.DiscardHandler))
	submit := &cellapi.Call{Submit: &cell.Submit{}}
	assert.Equal(t, g.Do(t.Context(), submit).Verdict, cell.Accepted)
	clock.now += 3500 * time.Millisecond
	assert.Equal(t, g.Do(t.Context(), submit).Refused, cellapi.RefusedAfterPause)
	for _, c := range []*cellapi.Call{{Status: &cell.Request{}}, {Cancel: &cell.Request{}}} {
		assert.Equal(t, g.Do(t.Context(), c).Verdict, cell.Accepted)
	}
	clock.now += 250 * time.Millisecond
	assert.Equal(t, g.Do(t.Context(), submit).Verdict, cell.Accepted)
}

// silentAddress returns the address of a listener that never replies.
func silentAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// newGatewayAfterLeaderLoss returns a gateway whose members are the other control
// processes and a leader that replied once and does not reply any more.
func newGatewayAfterLeaderLoss(t *testing.T, others ...string) *Gateway {
	leader := &fakeControlProcess{}
	address := startControlProcess(t, leader)
	leader.reply = cellapi.Reply{Verdict: cell.Accepted, Members: append(others, address)}
	client := cellapi.NewClient([]string{address}, nil, slog.New(slog.DiscardHandler))
	assert.Equal(t, client.Do(t.Context(), &cellapi.Call{AnnounceAdviceCaller: &cellapi.AnnounceAdviceCaller{}}).Verdict, cell.Accepted)
	leader.gone.Store(true)
	g := New(client, "gateway", nil, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	assert.Assert(t, g.Ready())
	go g.watchReach(ctx)
	return g
}

// Guards against a gateway that makes clients wait in a data centre that is partitioned from
// most control processes: it must not be ready and must refuse calls immediately.
func TestIsolatedGatewayIsNotReady(t *testing.T) {
	follower := startControlProcess(t, &fakeControlProcess{reply: cellapi.Reply{NotLeader: true}})
	g := newGatewayAfterLeaderLoss(t, follower, silentAddress(t), silentAddress(t))
	began := time.Now()
	for g.Ready() && time.Since(began) < 2*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(began)
	assert.Assert(t, took > silenceBeforeProbe/2 && took < 2*time.Second, "not ready after %v", took)
	assert.Assert(t, g.isolated.Load())
	asked := time.Now()
	r := g.Do(t.Context(), &cellapi.Call{Status: &cell.Request{}})
	assert.Assert(t, r.Refused != "" && r.Unknown == "" && time.Since(asked) < 100*time.Millisecond)
}

// Guards against all gateways becoming not ready at once while a leader is elected or all
// control processes restart.
func TestElectionKeepsGatewaysReady(t *testing.T) {
	follower := &fakeControlProcess{reply: cellapi.Reply{NotLeader: true}}
	for name, others := range map[string][]string{
		"election": {startControlProcess(t, follower), startControlProcess(t, follower), silentAddress(t)},
		"all down": {silentAddress(t), silentAddress(t)},
	} {
		g := newGatewayAfterLeaderLoss(t, others...)
		time.Sleep(silenceBeforeProbe + 3*watchInterval)
		assert.Assert(t, g.Ready(), name)
	}
}
