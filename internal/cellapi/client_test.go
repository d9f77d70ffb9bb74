package cellapi

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
)

// answering is a service whose answer a test sets.
type answering struct {
	calls atomic.Int64
	reply func(ctx context.Context) *Reply
}

func (a *answering) Do(ctx context.Context, _ *Call) *Reply {
	a.calls.Add(1)
	return a.reply(ctx)
}

func serveAt(t *testing.T, reply func(ctx context.Context) *Reply) (string, *answering) {
	a := &answering{reply: reply}
	s := httptest.NewServer(Handler(a, nil))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), a
}

// closedAddress is an address at which nothing listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

var quiet = slog.New(slog.DiscardHandler)

var status = &Call{Status: &cell.Request{Host: "h", Path: "/q/"}}

// Guards against a client that does not find the leader, forgets it, or does not
// learn of further control processes.
func TestClientFindsLeader(t *testing.T) {
	leader, served := serveAt(t, func(context.Context) *Reply { return &Reply{Verdict: cell.Accepted, Members: []string{"m"}} })
	follower, asked := serveAt(t, func(context.Context) *Reply { return &Reply{NotLeader: true, Leader: leader} })
	c := NewClient([]string{closedAddress(t), follower}, quiet)
	for range 3 {
		assert.Equal(t, c.Do(within(t, 5*time.Second), status).Verdict, cell.Accepted)
	}
	assert.Assert(t, asked.calls.Load() <= 1)
	assert.Equal(t, served.calls.Load(), int64(3))
	assert.DeepEqual(t, c.Members(), []string{"m"})
}

// Guards against a refusal that says "not run" after a call that may have been
// carried out, and against one that says "unknown" when nothing was sent.
func TestClientTellsRefusedFromUnknown(t *testing.T) {
	c := NewClient([]string{closedAddress(t)}, quiet)
	r := c.Do(within(t, 200*time.Millisecond), status)
	assert.Assert(t, r.Refused != "" && r.Unknown == "", "%+v", r)

	silent, _ := serveAt(t, func(ctx context.Context) *Reply {
		<-ctx.Done()
		return &Reply{}
	})
	c = NewClient([]string{silent}, quiet)
	r = c.Do(within(t, 200*time.Millisecond), status)
	assert.Assert(t, r.Refused == "" && r.Unknown != "", "%+v", r)

	first := true
	refusing, _ := serveAt(t, func(context.Context) *Reply {
		if first {
			first = false
			return &Reply{Unknown: "leadership was lost"}
		}
		return &Reply{Refused: "overloaded"}
	})
	c = NewClient([]string{refusing}, quiet)
	r = c.Do(within(t, 2*time.Second), status)
	assert.Equal(t, r.Unknown, "leadership was lost", "an earlier try may be committed")
}

// Guards against a call whose first try is lost with its leader.
func TestClientTriesTheNextLeader(t *testing.T) {
	next, _ := serveAt(t, func(context.Context) *Reply { return &Reply{Verdict: cell.Accepted} })
	lost, _ := serveAt(t, func(context.Context) *Reply { return &Reply{Unknown: "leadership was lost", Leader: ""} })
	c := NewClient([]string{lost, next}, quiet)
	assert.Equal(t, c.Do(within(t, 5*time.Second), status).Verdict, cell.Accepted)
}

// Guards against a client whose caller gives up early and that forgets the leader
// for it, so that the calls of others go astray.
func TestClientKeepsLeaderWhenCallerLeaves(t *testing.T) {
	wait := make(chan struct{})
	leader, _ := serveAt(t, func(ctx context.Context) *Reply {
		select {
		case <-wait:
		case <-ctx.Done():
		}
		return &Reply{Verdict: cell.Accepted}
	})
	follower, asked := serveAt(t, func(context.Context) *Reply { return &Reply{NotLeader: true, Leader: leader} })
	c := NewClient([]string{follower}, quiet)
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, leave)
	assert.Assert(t, c.Do(ctx, status).Unknown != "")
	close(wait)
	assert.Equal(t, c.Do(within(t, 5*time.Second), status).Verdict, cell.Accepted)
	assert.Equal(t, asked.calls.Load(), int64(1))
}
