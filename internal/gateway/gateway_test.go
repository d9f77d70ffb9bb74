package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// simulatedNetwork passes requests on to control processes by their address. Requests to other
// addresses are never answered.
type simulatedNetwork map[string]*fakeControlProcess

func (n simulatedNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	if p := n[r.URL.Host]; p != nil {
		answer := httptest.NewRecorder()
		cellapi.Handler(p, nil).ServeHTTP(answer, r)
		if r.Context().Err() == nil {
			return answer.Result(), nil
		}
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// newGatewayAfterLeaderLoss returns a gateway whose members are the other control processes, the
// first of which follow and the rest of which are silent, and a leader that replied once and does
// not reply any more. The network is a simulated one, so that the time can be simulated too: on a
// slow machine a probe of a process that replies takes longer than the gateway waits for it.
func newGatewayAfterLeaderLoss(t *testing.T, following, silent int) *Gateway {
	leader := &fakeControlProcess{}
	network := simulatedNetwork{"leader:1": leader}
	members := []string{"leader:1"}
	for i := range following + silent {
		address := fmt.Sprintf("other-%d:1", i)
		members = append(members, address)
		if i < following {
			network[address] = &fakeControlProcess{reply: cellapi.Reply{NotLeader: true}}
		}
	}
	leader.reply = cellapi.Reply{Verdict: cell.Accepted, Members: members}
	client := cellapi.NewClientOver(network, []string{"leader:1"}, slog.New(slog.DiscardHandler))
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
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayAfterLeaderLoss(t, 1, 2)
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
	})
}

// Guards against all gateways becoming not ready at once while a leader is elected or all
// control processes restart.
func TestElectionKeepsGatewaysReady(t *testing.T) {
	for name, others := range map[string]struct{ following, silent int }{
		"election": {2, 1},
		"all down": {0, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayAfterLeaderLoss(t, others.following, others.silent)
			time.Sleep(silenceBeforeProbe + 3*watchInterval)
			assert.Assert(t, g.Ready(), name)
		})
	}
}
