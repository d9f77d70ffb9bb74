package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"laburnumgrade/internal/port"
)

const (
	dialTimeout = 500 * time.Millisecond
	// retryPause is the pause after all processes of a group were asked.
	retryPause = 30 * time.Millisecond
	// metaLeader is the twirp error metadata with the leader's address.
	metaLeader = "leader_address"
)

// NewHTTPClient returns a client for calls between processes. Addresses that
// the map names are replaced before they are dialled.
func NewHTTPClient(addressMap map[string]string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer(addressMap),
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     90 * time.Second,
	}}
}

// instanceIdle is how long a connection to an instance stays open unused. It is
// short because the entry that gets the slots next needs connections too.
const instanceIdle = 10 * time.Second

// NewInstanceClient returns a client for calls to instances. It never has more
// than the given number of connections to an address, open or being opened.
func NewInstanceClient(addressMap map[string]string, connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer(addressMap),
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     instanceIdle,
		DisableCompression:  true,
	}}
}

func dialer(addressMap map[string]string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if mapped := addressMap[address]; mapped != "" {
			address = mapped
		}
		return dialer.DialContext(ctx, network, address)
	}
}

// TraceSent returns a context for one request and a function that reports
// whether any of the request may have been sent, which is so once it has a
// connection.
func TraceSent(ctx context.Context) (context.Context, func() bool) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), sent.Load
}

// NotLeader returns the twirp error for a process that does not lead.
func NotLeader(err *port.NotLeaderError) error {
	return twirp.NewError(twirp.FailedPrecondition, err.Error()).WithMeta(metaLeader, err.Address)
}

// GroupClient calls the leader of a group through any of its processes.
type GroupClient struct {
	name   string
	client *http.Client

	mu     sync.Mutex
	hosts  []string
	leader string
	next   int
}

// NewGroupClient returns a caller for the group whose processes have the addresses.
func NewGroupClient(name string, client *http.Client, hosts []string) *GroupClient {
	return &GroupClient{name: name, client: client, hosts: hosts}
}

// Addresses returns the known addresses.
func (g *GroupClient) Addresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.hosts)
}

// AddAddresses adds addresses that are not known yet.
func (g *GroupClient) AddAddresses(hosts []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range hosts {
		if !slices.Contains(g.hosts, h) {
			g.hosts = append(slices.Clone(g.hosts), h)
		}
	}
}

// CallError is the failure of a call to a group.
type CallError struct {
	Group string
	Peer  string
	Err   error
	// Sent is true if a process may have received the call.
	Sent bool
}

// Error implements error.
func (e *CallError) Error() string {
	return "call group " + e.Group + " (peer " + e.Peer + "): " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// Call runs fn against the group's leader until it succeeds, fails for another
// reason than reachability or leadership, or the context ends. fn may run more
// than once, so the operation must be idempotent.
func Call[T any](ctx context.Context, g *GroupClient, fn func(ctx context.Context, client *http.Client, url string) (T, error)) (T, error) {
	result, _, err := CallReportingSent(ctx, g, fn)
	return result, err
}

// CallReportingSent is Call, and also reports whether an earlier try that failed may have
// been received: then a refusal by the last try does not prove that nothing ran.
func CallReportingSent[T any](ctx context.Context, g *GroupClient, fn func(ctx context.Context, client *http.Client, url string) (T, error)) (T, bool, error) {
	var zero T
	failure := &CallError{Group: g.name, Err: errors.New("no process is known")}
	for tried := 0; ; tried++ {
		host := g.host()
		if host == "" {
			return zero, failure.Sent, failure
		}
		traced, connected := TraceSent(ctx)
		result, err := fn(traced, g.client, "http://"+host)
		if err == nil {
			g.setLeader(host)
			return result, failure.Sent, nil
		}
		failure.Peer = host
		failure.Err = err
		retry, sent := g.handle(host, err)
		failure.Sent = failure.Sent || (sent && connected())
		if !retry || ctx.Err() != nil {
			return zero, failure.Sent, failure
		}
		if tried >= 1 && !pause(ctx, retryPause) {
			return zero, failure.Sent, failure
		}
	}
}

// WithAttemptTimeout bounds each run of fn, so that a process that is paused or cut off does
// not use up the time in which another could answer.
func WithAttemptTimeout[T any](limit time.Duration, fn func(ctx context.Context, client *http.Client, url string) (T, error)) func(context.Context, *http.Client, string) (T, error) {
	return func(ctx context.Context, client *http.Client, url string) (T, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return fn(ctx, client, url)
	}
}

// handle says whether to retry, and whether the call may have been received.
func (g *GroupClient) handle(host string, err error) (retry, sent bool) {
	var t twirp.Error
	if errors.As(err, &t) {
		if t.Code() == twirp.FailedPrecondition {
			g.redirect(host, t.Meta(metaLeader))
			return true, false
		}
		if t.Code() != twirp.Internal && t.Code() != twirp.Unavailable && t.Code() != twirp.Unknown {
			return false, true
		}
	}
	g.redirect(host, "")
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true, false
	}
	return true, true
}

func (g *GroupClient) host() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != "" {
		return g.leader
	}
	if len(g.hosts) == 0 {
		return ""
	}
	return g.hosts[g.next%len(g.hosts)]
}

func (g *GroupClient) setLeader(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = host
}

func (g *GroupClient) redirect(from, to string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if to == from {
		to = ""
	}
	g.leader = to
	if to == "" {
		g.next++
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
