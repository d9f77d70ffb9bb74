package cellapi

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
)

// fakeService is a service that counts calls and replies with a function of the test.
type fakeService struct {
	calls atomic.Int64
	reply func(ctx context.Context) *Reply
}

func (a *fakeService) Do(ctx context.Context, _ *Call) *Reply {
	a.calls.Add(1)
	return a.reply(ctx)
}

func startServer(t *testing.T, reply func(ctx context.Context) *Reply) (string, *fakeService) {
	a := &fakeService{reply: reply}
	s := httptest.NewServer(Handler(a, nil))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), a
}

// closedAddress is an address that refuses connections. The kernel gives its port to no other
// process, as it could give a port that was free a moment before.
const closedAddress = "127.0.0.1:1"

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

var discardLogger = slog.New(slog.DiscardHandler)

var statusCall = &Call{Status: &cell.Request{Host: "h", Path: "/q/"}}

// Guards against a client that does not find the leader, does not reuse it for the next
// call, or does not take over the list of members.
func TestClientFindsLeader(t *testing.T) {
	leader, served := startServer(t, func(context.Context) *Reply { return &Reply{Verdict: cell.Accepted, Members: []string{"m"}} })
	follower, asked := startServer(t, func(context.Context) *Reply { return &Reply{NotLeader: true, Leader: leader} })
	c := NewClient([]string{closedAddress, follower}, discardLogger)
	for range 3 {
		assert.Equal(t, c.Do(contextWithTimeout(t, 5*time.Second), statusCall).Verdict, cell.Accepted)
	}
	assert.Assert(t, asked.calls.Load() <= 1)
	assert.Equal(t, served.calls.Load(), int64(3))
	assert.DeepEqual(t, c.Members(), []string{"m"})
}

// Guards against Refused for a call that may have been carried out, and against Unknown
// for a call that was never sent.
func TestClientTellsRefusedFromUnknown(t *testing.T) {
	c := NewClient([]string{closedAddress}, discardLogger)
	r := c.Do(contextWithTimeout(t, 200*time.Millisecond), statusCall)
	assert.Assert(t, r.Refused != "" && r.Unknown == "", "%+v", r)

	silent, _ := startServer(t, func(ctx context.Context) *Reply {
		<-ctx.Done()
		return &Reply{}
	})
	c = NewClient([]string{silent}, discardLogger)
	r = c.Do(contextWithTimeout(t, 200*time.Millisecond), statusCall)
	assert.Assert(t, r.Refused == "" && r.Unknown != "", "%+v", r)

	first := true
	refusing, _ := startServer(t, func(context.Context) *Reply {
		if first {
			first = false
			return &Reply{Unknown: "leadership was lost"}
		}
		return &Reply{Refused: "overloaded"}
	})
	c = NewClient([]string{refusing}, discardLogger)
	r = c.Do(contextWithTimeout(t, 2*time.Second), statusCall)
	assert.Equal(t, r.Unknown, "leadership was lost", "an earlier attempt may be committed")
}

// Guards against a call that is not repeated after its leader lost leadership.
func TestClientRetriesAtNextLeader(t *testing.T) {
	next, _ := startServer(t, func(context.Context) *Reply { return &Reply{Verdict: cell.Accepted} })
	lost, _ := startServer(t, func(context.Context) *Reply { return &Reply{Unknown: "leadership was lost", Leader: ""} })
	c := NewClient([]string{lost, next}, discardLogger)
	assert.Equal(t, c.Do(contextWithTimeout(t, 5*time.Second), statusCall).Verdict, cell.Accepted)
}

// Guards against a cancelled call that makes the client forget the leader, so that other
// calls go to a follower first.
func TestClientKeepsLeaderAfterCancelledCall(t *testing.T) {
	wait := make(chan struct{})
	leader, _ := startServer(t, func(ctx context.Context) *Reply {
		select {
		case <-wait:
		case <-ctx.Done():
		}
		return &Reply{Verdict: cell.Accepted}
	})
	follower, asked := startServer(t, func(context.Context) *Reply { return &Reply{NotLeader: true, Leader: leader} })
	c := NewClient([]string{follower}, discardLogger)
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, leave)
	assert.Assert(t, c.Do(ctx, statusCall).Unknown != "")
	close(wait)
	assert.Equal(t, c.Do(contextWithTimeout(t, 5*time.Second), statusCall).Verdict, cell.Accepted)
	assert.Equal(t, asked.calls.Load(), int64(1))
}
