package cellapi

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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
	c := NewClient([]string{closedAddress, follower}, nil, discardLogger)
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
	c := NewClient([]string{closedAddress}, nil, discardLogger)
	r := c.Do(contextWithTimeout(t, 200*time.Millisecond), statusCall)
	assert.Assert(t, r.Refused != "" && r.Unknown == "", "%+v", r)

	silent, _ := startServer(t, func(ctx context.Context) *Reply {
		<-ctx.Done()
		return &Reply{}
	})
	c = NewClient([]string{silent}, nil, discardLogger)
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
	c = NewClient([]string{refusing}, nil, discardLogger)
	r = c.Do(contextWithTimeout(t, 2*time.Second), statusCall)
	assert.Equal(t, r.Unknown, "leadership was lost", "an earlier attempt may be committed")
}

// Guards against a rejection of a call that an earlier attempt may have carried out: a
// verdict on a later attempt shows what is true then, not what became of the earlier one.
func TestClientDoesNotRejectAfterUnknownOutcome(t *testing.T) {
	request := cell.Request{Host: "h", Path: "/q/00000000000000a1"}
	submit, cancel := &Call{Submit: &cell.Submit{Request: request}}, &Call{Cancel: &request}
	configure, startWave := &Call{Configure: &cell.Configuration{Version: 1}}, &Call{StartWave: &cell.StartWave{Number: 1}}
	const noVerdict, ofLaterRelease cell.Verdict = 0, 200
	for _, c := range []struct {
		name     string
		call     *Call
		verdicts []cell.Verdict
	}{
		{"submit", submit, []cell.Verdict{cell.NoConfiguration, cell.NoQueue, cell.BadKey, cell.Invalid, cell.Withdrawn, cell.NoJob, noVerdict, ofLaterRelease}},
		{"cancel", cancel, []cell.Verdict{cell.NoConfiguration, cell.NoQueue, cell.BadKey, noVerdict, ofLaterRelease}},
		{"configure", configure, []cell.Verdict{cell.Invalid, noVerdict, ofLaterRelease}},
		{"start wave", startWave, []cell.Verdict{cell.Invalid, noVerdict, ofLaterRelease}},
		{"evacuate", &Call{Evacuate: &cell.Evacuate{DataCentre: "a", Active: true}}, []cell.Verdict{cell.Invalid, noVerdict, ofLaterRelease}},
	} {
		for _, verdict := range c.verdicts {
			t.Run(c.name+"/"+verdict.String(), func(t *testing.T) {
				r := replyAfterUnknown(t, c.call, verdict)
				assert.Equal(t, r.Unknown, "leadership was lost", "%+v", r)
				assert.Equal(t, r.Tries, 2)
			})
		}
	}
}

// Guards against a reply without a verdict, or with one of a later release, that counts as a
// rejection.
func TestClientDoesNotRejectWithoutKnownVerdict(t *testing.T) {
	for _, verdict := range []cell.Verdict{0, 200} {
		address, _ := startServer(t, func(context.Context) *Reply { return &Reply{Verdict: verdict} })
		r := NewClient([]string{address}, nil, discardLogger).Do(contextWithTimeout(t, 5*time.Second), &Call{Submit: &cell.Submit{}})
		assert.Assert(t, r.Unknown != "" && r.Verdict == 0, "%+v", r)
		assert.Equal(t, r.Tries, 1)
	}
}

// Guards against Unknown for a call whose last attempt decides the earlier ones as well.
func TestClientReturnsDecisiveVerdictAfterUnknownOutcome(t *testing.T) {
	request := cell.Request{Host: "h", Path: "/q/00000000000000a1"}
	for _, c := range []struct {
		name    string
		call    *Call
		verdict cell.Verdict
	}{
		{"submit", &Call{Submit: &cell.Submit{Request: request}}, cell.Accepted},
		{"cancel", &Call{Cancel: &request}, cell.Accepted},
		{"cancel of a job that does not exist", &Call{Cancel: &request}, cell.NoJob},
		{"configure", &Call{Configure: &cell.Configuration{Version: 1}}, cell.Accepted},
		{"stop of an evacuation", &Call{Evacuate: &cell.Evacuate{DataCentre: "a"}}, cell.Accepted},
		{"status", &Call{Status: &request}, cell.NoQueue},
		{"read configuration", &Call{ReadConfiguration: &ReadConfiguration{}}, cell.NoConfiguration},
		{"read wave", &Call{ReadWave: &ReadWave{Number: 1}}, cell.NoWave},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := replyAfterUnknown(t, c.call, c.verdict)
			assert.Equal(t, r.Unknown, "", "%+v", r)
			assert.Equal(t, r.Verdict, c.verdict)
		})
	}
}

// Guards against Refused, or a crash, for a call after whose first attempt no process is left
// to call or no time.
func TestClientKeepsUnknownWithoutFurtherAttempt(t *testing.T) {
	for _, end := range []string{"no process", "no time"} {
		t.Run(end, func(t *testing.T) {
			ctx, cancel := context.WithCancel(contextWithTimeout(t, 5*time.Second))
			defer cancel()
			var c *Client
			address, _ := startServer(t, func(context.Context) *Reply {
				if end == "no process" {
					c.SetSeeds(nil)
				} else {
					time.AfterFunc(roundDelay/2, cancel) // while the client pauses
				}
				return &Reply{Unknown: "leadership was lost"}
			})
			c = NewClient([]string{address}, nil, discardLogger)
			r := c.Do(ctx, &Call{Submit: &cell.Submit{}})
			assert.Equal(t, r.Unknown, "leadership was lost", "%+v", r)
			assert.Equal(t, r.Refused, "")
		})
	}
}

// replyAfterUnknown returns the reply to a call whose first attempt is answered Unknown and
// whose second one has a verdict.
func replyAfterUnknown(t *testing.T, call *Call, verdict cell.Verdict) *Reply {
	var attempts atomic.Int64
	address, _ := startServer(t, func(context.Context) *Reply {
		if attempts.Add(1) == 1 {
			return &Reply{Unknown: "leadership was lost"}
		}
		return &Reply{Verdict: verdict}
	})
	return NewClient([]string{address}, nil, discardLogger).Do(contextWithTimeout(t, 5*time.Second), call)
}

// Guards against a call that is not repeated after its leader lost leadership.
func TestClientRetriesAtNextLeader(t *testing.T) {
	next, _ := startServer(t, func(context.Context) *Reply { return &Reply{Verdict: cell.Accepted} })
	lost, _ := startServer(t, func(context.Context) *Reply { return &Reply{Unknown: "leadership was lost", Leader: ""} })
	c := NewClient([]string{lost, next}, nil, discardLogger)
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
	c := NewClient([]string{follower}, nil, discardLogger)
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, leave)
	assert.Assert(t, c.Do(ctx, statusCall).Unknown != "")
	close(wait)
	assert.Equal(t, c.Do(contextWithTimeout(t, 5*time.Second), statusCall).Verdict, cell.Accepted)
	assert.Equal(t, asked.calls.Load(), int64(1))
}

// blockedDial returns a client whose dials do not end before the test does, and a channel
// that receives a value when a dial begins.
func blockedDial(t *testing.T) (*http.Client, chan struct{}) {
	began, release := make(chan struct{}, 10), make(chan struct{})
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		began <- struct{}{}
		<-release
		return (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, address)
	}}}
	t.Cleanup(client.CloseIdleConnections)
	t.Cleanup(func() { close(release) })
	return client, began
}

// Guards against Unknown for a call whose context ends before it has a connection.
func TestClientRefusesCallWithoutConnection(t *testing.T) {
	address, served := startServer(t, func(context.Context) *Reply { return &Reply{Verdict: cell.Accepted} })
	cancelled, cancel := context.WithCancel(t.Context())
	defer cancel()
	for name, ctx := range map[string]context.Context{"cancelled": cancelled, "deadline": contextWithTimeout(t, 50*time.Millisecond)} {
		t.Run(name, func(t *testing.T) {
			c := NewClient([]string{address}, nil, discardLogger)
			var began chan struct{}
			c.http, began = blockedDial(t)
			go func() {
				<-began
				if name == "cancelled" {
					cancel()
				}
			}()
			r := c.Do(ctx, statusCall)
			assert.Assert(t, r.Refused != "" && r.Unknown == "", "%+v", r)
		})
	}
	assert.Equal(t, served.calls.Load(), int64(0))
}

// Guards against Refused for a call that got the connection of another call while its own
// dial was in progress.
func TestClientKeepsUnknownOnConnectionOfAnotherCall(t *testing.T) {
	first, received := make(chan struct{}), make(chan struct{}, 2)
	var calls atomic.Int64
	address, _ := startServer(t, func(ctx context.Context) *Reply {
		if calls.Add(1) == 1 {
			received <- struct{}{}
			<-first
			return &Reply{Verdict: cell.Accepted}
		}
		received <- struct{}{}
		<-ctx.Done()
		return &Reply{}
	})
	client, began := blockedDial(t)
	blocked := client.Transport.(*http.Transport).DialContext
	var dials atomic.Int64
	client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		return blocked(ctx, network, address)
	}
	answered := make(chan error, 1)
	go func() {
		_, err := Post(t.Context(), client, address, callPath, emptyCall, &Reply{})
		answered <- err
	}()
	<-received
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		close(first) // its connection becomes idle
		<-received
		cancel()
	}()
	reached, err := Post(ctx, client, address, callPath, emptyCall, &Reply{})
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, reached)
	assert.NilError(t, <-answered)
}

// Guards against a request that counts as not received although the process did receive
// it, whatever error followed.
func TestPostReached(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request, leave func())
	}{
		{"context ends", func(_ http.ResponseWriter, r *http.Request, leave func()) { leave(); <-r.Context().Done() }},
		{"connection closed", func(http.ResponseWriter, *http.Request, func()) { panic(http.ErrAbortHandler) }},
		{"error status", func(w http.ResponseWriter, _ *http.Request, _ func()) {
			http.Error(w, "x", http.StatusInternalServerError)
		}},
		{"malformed answer", func(w http.ResponseWriter, _ *http.Request, _ func()) { _, _ = w.Write([]byte{0xff}) }},
		{"redirect to a dead process", func(w http.ResponseWriter, r *http.Request, _ func()) {
			http.Redirect(w, r, "http://"+closedAddress+callPath, http.StatusTemporaryRedirect)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body) // the context of r ends with the connection only once the body is read
				c.answer(w, r, cancel)
			}))
			defer s.Close()
			client := NewHTTPClient(1, nil)
			defer client.CloseIdleConnections()
			reached, err := Post(ctx, client, strings.TrimPrefix(s.URL, "http://"), callPath, emptyCall, &Reply{})
			assert.Assert(t, err != nil)
			assert.Assert(t, reached, "%v", err)
		})
	}
}

// Load: hundreds of calls while no process leads. Guards against calls that each look for the
// leader, so that all processes which have lost it keep the control processes busy, and against
// calls that are not sent to the leader once it is known.
func TestFewCallsLookForLeader(t *testing.T) {
	const calls, processes = 300, 4
	var leads atomic.Bool
	var asked atomic.Int64
	var seeds []string
	for i := range processes {
		address, _ := startServer(t, func(context.Context) *Reply {
			if i == 0 && leads.Load() {
				return &Reply{Verdict: cell.Accepted}
			}
			asked.Add(1)
			return &Reply{NotLeader: true}
		})
		seeds = append(seeds, address)
	}
	c := NewClient(seeds, nil, discardLogger)
	var accepted atomic.Int64
	var running sync.WaitGroup
	for range calls {
		running.Go(func() {
			if c.Do(contextWithTimeout(t, 20*time.Second), statusCall).Verdict == cell.Accepted {
				accepted.Add(1)
			}
		})
	}
	const silence = time.Second
	time.Sleep(silence)
	found := asked.Load()
	leads.Store(true)
	running.Wait()
	assert.Equal(t, accepted.Load(), int64(calls))
	assert.Assert(t, found <= int64(maxSearches*(silence/roundDelay+1)), "%d calls were answered without a leader", found)
}

// Guards against a search that is held up by processes which do not answer: each call to one
// takes its whole time limit.
func TestSearchLeavesOutSilentProcesses(t *testing.T) {
	silent := func(ctx context.Context) *Reply {
		<-ctx.Done()
		return &Reply{}
	}
	var leads atomic.Bool
	var seeds []string
	var silentServices []*fakeService
	for range 4 {
		address, service := startServer(t, silent)
		seeds, silentServices = append(seeds, address), append(silentServices, service)
	}
	leader, _ := startServer(t, func(context.Context) *Reply {
		if leads.Load() {
			return &Reply{Verdict: cell.Accepted}
		}
		return &Reply{NotLeader: true}
	})
	c := NewClient(append(seeds, leader), nil, discardLogger)
	for range 3 * maxSearches {
		go c.Do(contextWithTimeout(t, 10*time.Second), statusCall)
	}
	time.Sleep(2 * attemptTimeout)
	leads.Store(true)
	assert.Equal(t, c.Do(contextWithTimeout(t, 10*time.Second), statusCall).Verdict, cell.Accepted)
	calls := int64(0)
	for _, s := range silentServices {
		calls += s.calls.Load()
	}
	assert.Assert(t, calls <= 2*int64(len(silentServices)), "%d calls to silent processes", calls)
}
