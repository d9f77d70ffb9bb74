package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
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
// sent although a process may have received them.
func TestGroupCall(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignore) })
	leader := startFleet(t, func(context.Context) (*peerv1.RenewConfigResponse, error) {
		return &peerv1.RenewConfigResponse{Index: 7}, nil
	})
	follower := startFleet(t, func(context.Context) (*peerv1.RenewConfigResponse, error) {
		return nil, NotLeader(&port.NotLeaderError{Group: "g", Address: leader})
	})
	alone := startFleet(t, func(context.Context) (*peerv1.RenewConfigResponse, error) {
		return nil, NotLeader(&port.NotLeaderError{Group: "g"})
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
	}{
		{"leader", []string{leader}, true, false},
		{"through a follower", []string{follower}, true, false},
		{"first is dead", []string{closedAddress, leader}, true, false},
		{"first hangs", []string{hanging, leader}, true, false},
		{"none leads", []string{alone}, false, false},
		{"all dead", []string{closedAddress}, false, false},
		{"all hang", []string{hanging}, false, true},
		{"refused", []string{refusing, leader}, false, true},
		{"no process", nil, false, false},
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
		})
	}
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
