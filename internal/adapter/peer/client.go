package peer

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"laburnumgrade/internal/descriptor"
	"laburnumgrade/internal/port"
)

const (
	dialTimeout = 500 * time.Millisecond
	// retryDelay is the pause before each further attempt of a call; the second
	// attempt is made without a pause, so that a redirect is followed at once.
	retryDelay = 30 * time.Millisecond
	// leaderMetaKey is the key of the leader's address in the metadata of a twirp
	// error.
	leaderMetaKey = "leader_address"
)

// NewHTTPClient returns a client for calls between processes. An address that
// is a key of the map is replaced by its value before it is dialled.
func NewHTTPClient(addressMap map[string]string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer(addressMap),
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     90 * time.Second,
	}}
}

// instanceIdleTimeout is how long an idle connection to an instance is kept. It
// is short because an instance accepts a limited number of connections, and the
// entry that is assigned its slots next needs them.
const instanceIdleTimeout = 10 * time.Second

// NewInstanceClient returns a client for calls to instances of services. It has
// at most the given number of connections to an address, counting those that
// are being opened. The map replaces addresses as in NewHTTPClient.
func NewInstanceClient(addressMap map[string]string, connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer(addressMap),
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     instanceIdleTimeout,
		DisableCompression:  true,
	}}
}

// Bound bounds the connections of a client that NewHTTPClient or NewInstanceClient returned.
func Bound(client *http.Client, part *descriptor.Part) {
	transport := client.Transport.(*http.Transport)
	transport.DialContext = part.Dial(transport.DialContext)
	part.OnFull(transport.CloseIdleConnections)
}

// dialer returns a dial function that replaces addresses by the map.
func dialer(addressMap map[string]string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if mapped := addressMap[address]; mapped != "" {
			address = mapped
		}
		return dialer.DialContext(ctx, network, address)
	}
}

// NotLeader returns the twirp error by which a process that does not lead the
// group redirects a caller to the leader's address, if that is known.
func NotLeader(err *port.NotLeaderError) error {
	return twirp.NewError(twirp.FailedPrecondition, err.Error()).WithMeta(leaderMetaKey, err.Address)
}

// GroupClient calls the leader of a replicated group. It tries the processes of
// the group in turn until one succeeds or redirects it to the leader.
type GroupClient struct {
	name   string
	client *http.Client

	mu        sync.Mutex
	addresses []string
	leader    string // address, empty if unknown
	nextIndex int
}

// NewGroupClient returns a client for the group whose processes listen on the
// addresses.
func NewGroupClient(name string, client *http.Client, addresses []string) *GroupClient {
	return &GroupClient{name: name, client: client, addresses: addresses}
}

// Addresses returns the known addresses of the group's processes.
func (g *GroupClient) Addresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.addresses)
}

// AddAddresses adds the addresses that the client does not have yet.
func (g *GroupClient) AddAddresses(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		if !slices.Contains(g.addresses, a) {
			g.addresses = append(slices.Clone(g.addresses), a)
		}
	}
}

// CallError is the failure of a call to a group.
type CallError struct {
	Group string
	// Peer is the address of the last process that was called.
	Peer string
	// Err is the error of the last attempt.
	Err error
	// Sent is true if a process may have received the call and has not answered that it
	// does not lead. An attempt during which the context ended counts once it has got a
	// connection.
	Sent bool
	// SentBefore is Sent without the last attempt. If it is true, an error by which a
	// process refuses the last attempt does not prove that the call was not executed.
	SentBefore bool
}

// Error implements error.
func (e *CallError) Error() string {
	return "call group " + e.Group + " (peer " + e.Peer + "): " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// Call runs fn against the leader of the group. It retries until fn succeeds,
// fails for another reason than reachability or leadership, or the context
// ends. fn may run more than once, so the operation must be idempotent. The
// error is a *CallError.
func Call[T any](ctx context.Context, g *GroupClient, fn func(ctx context.Context, client *http.Client, url string) (T, error)) (T, error) {
	result, _, err := CallReportingSent(ctx, g, fn)
	return result, err
}

// CallReportingSent is like Call, and also reports whether a failed attempt may
// have been received by a process. If so, a refusal by the last attempt does
// not prove that the operation was not executed.
func CallReportingSent[T any](ctx context.Context, g *GroupClient, fn func(ctx context.Context, client *http.Client, url string) (T, error)) (T, bool, error) {
	var zero T
	failure := &CallError{Group: g.name, Err: errors.New("no process is known")}
	for attempts := 0; ; attempts++ {
		address := g.nextAddress()
		if address == "" {
			return zero, failure.Sent, failure
		}
		traced, connected := port.TraceSent(ctx)
		result, err := fn(traced, g.client, "http://"+address)
		if err == nil {
			g.setLeader(address)
			return result, failure.Sent, nil
		}
		failure.Peer = address
		failure.Err = err
		retry, sent := g.handleError(address, err)
		failure.SentBefore = failure.Sent
		failure.Sent = failure.Sent || (sent && connected())
		if !retry || ctx.Err() != nil {
			return zero, failure.Sent, failure
		}
		if attempts >= 1 && !sleep(ctx, retryDelay) {
			return zero, failure.Sent, failure
		}
	}
}

// WithAttemptTimeout bounds the duration of each attempt of fn, so that a
// process that is paused or unreachable does not use up the time in which
// another one could answer.
func WithAttemptTimeout[T any](limit time.Duration, fn func(ctx context.Context, client *http.Client, url string) (T, error)) func(context.Context, *http.Client, string) (T, error) {
	return func(ctx context.Context, client *http.Client, url string) (T, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return fn(ctx, client, url)
	}
}

// handleError chooses the address of the next attempt. It reports whether to
// retry the call, and whether the process may have received it.
func (g *GroupClient) handleError(address string, err error) (retry, sent bool) {
	var t twirp.Error
	if errors.As(err, &t) {
		if t.Code() == twirp.FailedPrecondition {
			g.redirect(address, t.Meta(leaderMetaKey))
			return true, false
		}
		if t.Code() != twirp.Internal && t.Code() != twirp.Unavailable && t.Code() != twirp.Unknown {
			return false, true
		}
	}
	g.redirect(address, "")
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true, false
	}
	return true, true
}

func (g *GroupClient) nextAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != "" {
		return g.leader
	}
	if len(g.addresses) == 0 {
		return ""
	}
	return g.addresses[g.nextIndex%len(g.addresses)]
}

func (g *GroupClient) setLeader(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = address
}

// redirect records the leader's address as reported by a process. If it is
// empty or that of the process itself, the next address is tried.
func (g *GroupClient) redirect(from, to string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if to == from {
		to = ""
	}
	g.leader = to
	if to == "" {
		g.nextIndex++
	}
}

// sleep waits for d, and reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
