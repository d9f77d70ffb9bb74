package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
)

// fakeFleet implements RenewConfig by a function.
type fakeFleet struct {
	peerv1.FleetService
	renew func(ctx context.Context) (*peerv1.RenewConfigResponse, error)
}

func (f *fakeFleet) RenewConfig(ctx context.Context, _ *peerv1.RenewConfigRequest) (*peerv1.RenewConfigResponse, error) {
	return f.renew(ctx)
}

func startFleet(t *testing.T, renew func(context.Context) (*peerv1.RenewConfigResponse, error)) string {
	s := httptest.NewServer(peerv1.NewFleetServiceServer(&fakeFleet{renew: renew}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// closedAddress is an address that refuses connections. The kernel gives its port to no other
// process, as it could give a port that was free a moment before.
const closedAddress = "127.0.0.1:1"

// TestGroupCall guards against calls that do not find the leader or keep
// waiting for a process that hangs, and against calls that are reported as not
// sent although a process may have received them, by the last attempt or before it.
func TestGroupCall(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignore) })
	leader := startFleet(t, func(context.Context) (*peerv1.RenewConfigResponse, error) {
		return &peerv1.RenewConfigResponse{Index: 7}, nil
	})
	follower := startFleet(t, func(context.Context) (*peerv1.RenewConfigResponse, error) {
		return nil, NotLeader(&port.NotLeaderError{Group: "g", Address: leader})
	})
	hanging := startFleet(t, func(ctx context.Context) (*peerv1.RenewConfigResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	refusing := startFleet(t, func(context.Context) (*peerv1.RenewConfigResponse, error) {
		return nil, twirp.NewError(twirp.InvalidArgument, "wrong")
	})
	cases := []struct {
		name      string
		addresses []string
		ok        bool
		sent      bool
		before    bool
	}{
		{"leader", []string{leader}, true, false, false},
		{"through a follower", []string{follower}, true, false, false},
		{"first is dead", []string{closedAddress, leader}, true, false, false},
		{"first hangs", []string{hanging, leader}, true, false, false},
		{"all dead", []string{closedAddress}, false, false, false},
		{"all hang", []string{hanging}, false, true, true},
		{"refused", []string{refusing, leader}, false, true, false},
		{"first is dead, then refused", []string{closedAddress, refusing}, false, true, false},
		{"first hangs, then refused", []string{hanging, refusing}, false, true, true},
		{"no process", nil, false, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := NewHTTPClient(nil)
			defer client.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			r, err := Call(ctx, NewGroupClient("g", client, c.addresses), WithAttemptTimeout(200*time.Millisecond, func(ctx context.Context, hc *http.Client, url string) (*peerv1.RenewConfigResponse, error) {
				return peerv1.NewFleetServiceProtobufClient(url, hc).RenewConfig(ctx, &peerv1.RenewConfigRequest{})
			}))
			if c.ok {
				assert.NilError(t, err)
				assert.Equal(t, r.Index, uint64(7))
				return
			}
			var call *CallError
			assert.Assert(t, errors.As(err, &call), "%v", err)
			assert.Equal(t, call.Sent, c.sent, "%v", err)
			assert.Equal(t, call.SentBefore, c.before, "%v", err)
		})
	}
}

// TestGroupCallNoneLeads guards against a call that is reported as sent although every
// process that received it answered that it does not lead, and against one that is
// reported as not sent although its context ended while a process may have received it.
func TestGroupCallNoneLeads(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignore) })
	notLeader := NotLeader(&port.NotLeaderError{Group: "g"})
	cases := []struct {
		name string
		// dial, receive and answered are called with the number of the attempt when it
		// has no connection yet, has reached the process, and was answered.
		dial, receive, answered func(attempt int64, end func())
		attempts                int64
		sent                    bool
	}{
		{name: "ends after a refusal", answered: endAt(4), attempts: 4, sent: false},
		{name: "ends without a connection", dial: endAt(4), attempts: 4, sent: false},
		{name: "ends with a connection", receive: endAt(4), attempts: 4, sent: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var attempts atomic.Int64
			call := func(hook func(int64, func())) {
				if hook != nil {
					hook(attempts.Load(), cancel)
				}
			}
			address := startFleet(t, func(request context.Context) (*peerv1.RenewConfigResponse, error) {
				call(c.receive)
				if ctx.Err() != nil {
					<-request.Done()
				}
				return nil, notLeader
			})
			client := &http.Client{Transport: &http.Transport{
				DisableKeepAlives: true,
				DialContext: func(dial context.Context, network, address string) (net.Conn, error) {
					call(c.dial)
					if ctx.Err() != nil {
						return nil, errors.New("no connection")
					}
					return (&net.Dialer{}).DialContext(dial, network, address)
				},
			}}
			_, err := Call(ctx, NewGroupClient("g", client, []string{address}), WithAttemptTimeout(time.Minute, func(ctx context.Context, hc *http.Client, url string) (*peerv1.RenewConfigResponse, error) {
				attempts.Add(1)
				r, err := peerv1.NewFleetServiceProtobufClient(url, hc).RenewConfig(ctx, &peerv1.RenewConfigRequest{})
				call(c.answered)
				return r, err
			}))
			var failure *CallError
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Equal(t, failure.Sent, c.sent, "%v", err)
			assert.Equal(t, attempts.Load(), c.attempts)
		})
	}
}

// endAt returns a function that ends the call's context at an attempt.
func endAt(attempt int64) func(int64, func()) {
	return func(n int64, end func()) {
		if n == attempt {
			end()
		}
	}
}

// TestGroupCallEndsInPause guards against a call that is reported as sent, or that ends
// early, although its context ended between attempts that were all refused.
func TestGroupCallEndsInPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		attempts := 0
		_, err := Call(ctx, NewGroupClient("g", nil, []string{"a"}), func(ctx context.Context, _ *http.Client, _ string) (int, error) {
			attempts++
			httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{})
			return 0, NotLeader(&port.NotLeaderError{Group: "g"})
		})
		var failure *CallError
		assert.Assert(t, errors.As(err, &failure), "%v", err)
		assert.Assert(t, !failure.Sent, "%v", err)
		assert.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
		assert.Equal(t, attempts, int(time.Second/retryDelay)+2) // the second attempt follows at once
	})
}

// TestGroupCallTooLate guards against a call that is reported as sent although
// its context ended before it had a connection.
func TestGroupCallTooLate(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	client := NewHTTPClient(nil)
	_, err := Call(ctx, NewGroupClient("g", client, []string{closedAddress}), func(ctx context.Context, hc *http.Client, url string) (*peerv1.RenewConfigResponse, error) {
		return peerv1.NewFleetServiceProtobufClient(url, hc).RenewConfig(ctx, &peerv1.RenewConfigRequest{})
	})
	var call *CallError
	assert.Assert(t, errors.As(err, &call), "%v", err)
	assert.Assert(t, !call.Sent, "%v", err)
}

// TestTraceSent guards against a failed dial that is reported as sent, and
// against a lost response that is reported as not sent.
func TestTraceSent(t *testing.T) {
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	for url, want := range map[string]bool{"http://" + closedAddress: false, aborting.URL: true} {
		ctx, sent := port.TraceSent(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("x"))
		assert.NilError(t, err)
		client := NewInstanceClient(nil, 1)
		_, err = client.Do(r)
		assert.Assert(t, err != nil)
		assert.Equal(t, sent(), want)
	}
}

// TestInstanceConnections guards against more connections to an instance than
// it accepts.
func TestInstanceConnections(t *testing.T) {
	var open, most atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Millisecond) }))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			n := open.Add(1)
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
		case http.StateClosed:
			open.Add(-1)
		}
	}
	s.Start()
	defer s.Close()
	client := NewInstanceClient(nil, 4)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			r, err := client.Get(s.URL)
			if err == nil {
				_ = r.Body.Close()
			}
		})
	}
	wg.Wait()
	assert.Assert(t, most.Load() <= 4, "%d connections", most.Load())
}
