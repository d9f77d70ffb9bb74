package cellapi

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"laburnumgrade/internal/descriptor"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/port"
)

const (
	// dialTimeout is the timeout for opening a connection; round trips within a site
	// take a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is the time after which a connection fails if sent bytes are not
	// acknowledged, so that a connection whose packets are dropped is replaced.
	tcpUserTimeout = 1500 * time.Millisecond
	// attemptTimeout is the timeout of one attempt of a call: a commit takes 10 to 20 ms,
	// and a leader that was partitioned or paused is replaced after half a second at the
	// earliest.
	attemptTimeout = 450 * time.Millisecond
	// roundDelay is the delay after all known processes were called without success.
	roundDelay = 40 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// idleConnectionsPerPeer is the maximum number of idle connections to one process.
	idleConnectionsPerPeer = 32
	// maxSearches is the number of calls of a client that look for the leader at a time. If
	// all did, some hundred processes that have lost the leader would call each control
	// process thousands of times a second.
	maxSearches = 3
	// avoidTime is how long a process that failed a call is left out while others may know the
	// leader: each call to a process that is cut off takes attemptTimeout.
	avoidTime = time.Second
)

// NewHTTPClient returns a client whose connections fail if the peer stops acknowledging.
// It keeps at most idlePerHost idle connections to a host and opens no more connections
// than the part allows.
func NewHTTPClient(idlePerHost int, part *descriptor.Part) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: SetTCPUserTimeout, KeepAlive: 5 * time.Second}
	client := &http.Client{Transport: &http.Transport{
		DialContext: part.Dial(dialer.DialContext), MaxIdleConnsPerHost: idlePerHost, MaxIdleConns: part.MaxIdle(),
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
	part.OnFull(client.CloseIdleConnections)
	return client
}

// SetTCPUserTimeout makes a connection fail if sent bytes are not acknowledged within
// tcpUserTimeout. Its signature is that of net.Dialer.Control.
func SetTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Client calls the leader of the cell. It finds the leader by calling any control
// process, starting from the seeds, and is safe for concurrent use.
type Client struct {
	http   *http.Client
	logger *slog.Logger
	// searches has an element for each call that looks for the leader.
	searches chan struct{}

	mu      sync.Mutex
	seeds   []string
	members []string
	// presumedLeader is the address to call next, empty if the leader is not known.
	// answeringLeader is the leader that answered last; it is empty again after a call to
	// it has failed.
	presumedLeader  string
	answeringLeader string
	// next counts the calls to processes in turn while the leader is not known.
	next int
	// leaderKnown is closed and replaced when presumedLeader is set.
	leaderKnown chan struct{}
	// failedAt is when the processes failed a call last that have not answered since.
	failedAt map[string]time.Time
	// lastReply is when a leader answered last.
	lastReply time.Time
}

// NewClient returns a client. seeds are the peer addresses of some control processes.
func NewClient(seeds []string, part *descriptor.Part, logger *slog.Logger) *Client {
	return newClient(NewHTTPClient(idleConnectionsPerPeer, part), seeds, logger)
}

// NewClientOver returns a client that sends its requests over a transport, for simulations of
// a network.
func NewClientOver(transport http.RoundTripper, seeds []string, logger *slog.Logger) *Client {
	return newClient(&http.Client{Transport: transport}, seeds, logger)
}

func newClient(client *http.Client, seeds []string, logger *slog.Logger) *Client {
	return &Client{
		http: client, logger: logger, seeds: seeds, searches: make(chan struct{}, maxSearches),
		leaderKnown: make(chan struct{}), failedAt: map[string]time.Time{},
	}
}

// SetSeeds replaces the seeds after the settings have changed.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Seeds returns the peer addresses from which the client starts.
func (c *Client) Seeds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.seeds)
}

// Members returns the peer addresses of the control processes in the leader's newest
// reply.
func (c *Client) Members() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.members)
}

// LastReply returns the time at which a leader answered last, or the zero time if none
// has.
func (c *Client) LastReply() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReply
}

// AnsweringLeader returns the address of the leader that answered last, empty if a call to it
// has failed since or its answer is older than maxAge.
func (c *Client) AnsweringLeader(maxAge time.Duration) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastReply) > maxAge {
		return ""
	}
	return c.answeringLeader
}

// addresses returns the addresses of all known control processes. The caller holds the
// lock.
func (c *Client) addresses() []string {
	all := slices.Clone(c.members)
	for _, s := range c.seeds {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// Probe calls all members, or the seeds if there are none, and returns how many could
// be reached of how many known. A process whose VM refuses the connection counts as
// reached: the network works, and the process is restarting.
func (c *Client) Probe(ctx context.Context, timeout time.Duration) (reached, known int) {
	c.mu.Lock()
	all := slices.Clone(c.members)
	if len(all) == 0 {
		all = c.addresses()
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan bool, len(all))
	for _, address := range all {
		go func() {
			var r Reply
			_, err := Post(ctx, c.http, address, callPath, emptyCall, &r)
			answers <- err == nil || errors.Is(err, syscall.ECONNREFUSED)
		}()
	}
	for range all {
		if <-answers {
			reached++
		}
	}
	return reached, len(all)
}

// emptyCall is the encoding of a Call without a field, which has no effect.
var emptyCall = []byte{0xa0}

// nextAddress returns the address to call next: the presumed leader or, without one, the known
// processes in turn. Only maxSearches calls look for the leader at a time, the others wait until
// it is known; searches is set for the former, which call endSearch. known is the number of known
// processes. The address is empty if the context ended, or if known is 0.
func (c *Client) nextAddress(ctx context.Context) (address string, known int, searches bool) {
	for {
		c.mu.Lock()
		leader, leaderKnown, known := c.presumedLeader, c.leaderKnown, len(c.addresses())
		c.mu.Unlock()
		if leader != "" || known == 0 {
			return leader, known, false
		}
		select {
		case c.searches <- struct{}{}:
			return c.searchAddress()
		case <-leaderKnown:
		case <-ctx.Done():
			return "", known, false
		}
	}
}

// searchAddress returns the address that a call that looks for the leader calls next.
func (c *Client) searchAddress() (address string, known int, searches bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.addresses()
	if c.presumedLeader != "" || len(all) == 0 {
		c.endSearch()
		return c.presumedLeader, len(all), false
	}
	now := time.Now()
	for range all {
		c.next++
		address = all[c.next%len(all)]
		if failed, ok := c.failedAt[address]; !ok || now.Sub(failed) > avoidTime {
			break
		}
	}
	return address, len(all), true
}

// endSearch lets another call look for the leader.
func (c *Client) endSearch() { <-c.searches }

// presume sets the presumed leader. The caller holds the lock.
func (c *Client) presume(address string) {
	if c.presumedLeader == "" && address != "" { // calls may be waiting
		close(c.leaderKnown)
		c.leaderKnown = make(chan struct{})
	}
	c.presumedLeader = address
}

// recordResult updates the presumed leader after a call to an address.
func (c *Client) recordResult(address string, r *Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failedAt[address] = time.Now()
	} else {
		delete(c.failedAt, address)
	}
	switch {
	case err != nil:
		if c.presumedLeader == address {
			c.presumedLeader = ""
		}
		if c.answeringLeader == address {
			c.answeringLeader = ""
			c.logger.Warn("leader lost", logging.Step("call"), logging.Peer(address), logging.Error(err))
		}
	case r.NotLeader:
		c.presumedLeader = ""
		if r.Leader != address {
			c.presume(r.Leader)
		}
	default:
		c.presume(address)
		c.lastReply = time.Now()
		if c.answeringLeader != address {
			c.logger.Info("leader found", logging.Step("call"), logging.Peer(address), "before", c.answeringLeader)
			c.answeringLeader = address
		}
		if len(r.Members) > 0 {
			c.members = r.Members
		}
	}
}

// forgetLeader makes the next attempt call another process, if the address is that of
// the presumed leader.
func (c *Client) forgetLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.presumedLeader == address {
		c.presumedLeader = ""
	}
}

// Do calls the leader until it answers or the context ends. The reply has Unknown set if an
// attempt may have been carried out and no later one was answered with a result that holds for
// all of them. Without an answer and without such an attempt it has Refused set.
func (c *Client) Do(ctx context.Context, call *Call) *Reply {
	data, err := cbor.Marshal(call)
	if err != nil {
		return &Reply{Refused: err.Error()}
	}
	unknownReason := ""
	for tries := 1; ; tries++ {
		address, known, searches := c.nextAddress(ctx)
		if address == "" {
			reason := "no control process is known"
			if known > 0 {
				reason = "no leader was found in time"
			}
			r := combine(call, Reply{Refused: reason}, unknownReason)
			r.Tries = tries - 1
			return &r
		}
		var r Reply
		reached, err := c.callOnce(ctx, address, data, &r)
		if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
			c.recordResult(address, &r, err) // a call that was cancelled is no evidence against the process
		}
		switch {
		case err == nil && r.Unknown != "":
			// The call is idempotent: repeat it until a leader answers with its result.
			unknownReason = r.Unknown
			c.forgetLeader(address)
		case err == nil && !r.NotLeader:
			if searches {
				c.endSearch()
			}
			r = combine(call, r, unknownReason)
			r.AnsweredBy, r.Tries, r.EarlierUnknown = address, tries, unknownReason
			return &r
		case err != nil && reached:
			unknownReason = err.Error()
		}
		if err == nil && r.NotLeader {
			err = errors.Errorf("%s does not lead; leader %q", address, r.Leader)
		}
		if tries%max(1, known) == 0 || r.NotLeader || r.Unknown != "" {
			Pause(ctx, roundDelay)
		}
		if searches {
			c.endSearch()
		}
		if ctx.Err() != nil {
			if unknownReason != "" {
				return &Reply{Unknown: unknownReason, AnsweredBy: address, Tries: tries}
			}
			return &Reply{Refused: err.Error(), AnsweredBy: address, Tries: tries}
		}
	}
}

// callOnce calls one process once. reached is false if the process cannot have received
// the call.
func (c *Client) callOnce(ctx context.Context, address string, data []byte, r *Reply) (reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return Post(ctx, c.http, address, callPath, data, r)
}

// Post sends an encoded request to a path at an address and decodes the CBOR response
// into answer. reached is false if no part of the request was sent, so that the process
// cannot have received it.
func Post(ctx context.Context, client *http.Client, address, path string, data []byte, answer any) (reached bool, err error) {
	ctx, sent := port.TraceSent(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return false, port.AtStep("call", address, err)
	}
	request.Header.Set("Content-Type", "application/cbor")
	response, err := client.Do(request)
	if err != nil {
		return sent(), port.AtStep("call", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return true, port.AtStep("read answer", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return true, port.AtStep("call", address, errors.Errorf("status %d: %.200s", response.StatusCode, body))
	}
	return true, port.AtStep("decode answer", address, cbor.Unmarshal(body, answer))
}

// RequestAdvice obtains advice through the process at the address.
func (c *Client) RequestAdvice(ctx context.Context, address string, q *AdviceRequest) *AdviceReply {
	data, err := cbor.Marshal(q)
	if err != nil {
		return &AdviceReply{Error: err.Error()}
	}
	var a AdviceReply
	if _, err := Post(ctx, c.http, address, advicePath, data, &a); err != nil {
		return &AdviceReply{Error: err.Error()}
	}
	return &a
}

// AnnounceLeader informs the process at the address who leads.
func (c *Client) AnnounceLeader(ctx context.Context, address string, a *AnnounceLeader) error {
	data, err := cbor.Marshal(&Call{AnnounceLeader: a})
	if err != nil {
		return err
	}
	var r Reply
	_, err = Post(ctx, c.http, address, callPath, data, &r)
	return err
}

// Pause waits for the duration. It returns false, without waiting further, if the context
// ends before.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
