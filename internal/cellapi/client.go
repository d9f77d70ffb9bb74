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

	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/port"
)

const (
	// dialTimeout bounds the opening of a connection; round trips within a site
	// take a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// silenceTimeout is after how long unacknowledged bytes break a connection,
	// so that one that was silenced is replaced.
	silenceTimeout = 1500 * time.Millisecond
	// tryTimeout bounds one try of a call: a commit takes 10 to 20 ms, and a leader
	// that was cut off or paused is replaced after half a second at the earliest.
	tryTimeout = 450 * time.Millisecond
	// roundPause is the pause after all known processes were asked.
	roundPause = 40 * time.Millisecond
	// idleTimeout closes connections that are not used.
	idleTimeout = 30 * time.Second
	// connectionsPerPeer bounds idle connections to one process.
	connectionsPerPeer = 32
)

// NewHTTPClient returns a client whose connections notice a silent peer.
func NewHTTPClient(perHost int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: SetTCPUserTimeout, KeepAlive: 5 * time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: perHost,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}

// SetTCPUserTimeout makes a connection break if its bytes stay unacknowledged.
func SetTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Client calls the leader of the cell through any of its control processes.
type Client struct {
	http   *http.Client
	logger *slog.Logger

	mu      sync.Mutex
	seeds   []string
	members []string
	// leader is asked first; serving is the leader that answered last, empty
	// once it has failed to.
	leader  string
	serving string
	next    int
	heard   time.Time
}

// NewClient returns a client that knows some peer addresses.
func NewClient(seeds []string, logger *slog.Logger) *Client {
	return &Client{http: NewHTTPClient(connectionsPerPeer), logger: logger, seeds: seeds}
}

// SetSeeds replaces the addresses from the settings.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Members returns the control processes that the leader named last.
func (c *Client) Members() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.members)
}

// LastReply returns when a leader answered last, the zero time if none has.
func (c *Client) LastReply() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard
}

// known returns the control processes to ask. The caller holds the lock.
func (c *Client) known() []string {
	all := slices.Clone(c.members)
	for _, s := range c.seeds {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// Probe asks all control processes that the leader named last, or the seeds if
// none has, whether they are there. One that refuses the connection is: its
// process restarts.
func (c *Client) Probe(ctx context.Context, timeout time.Duration) (reached, known int) {
	c.mu.Lock()
	all := slices.Clone(c.members)
	if len(all) == 0 {
		all = c.known()
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

// emptyCall is a call that changes nothing.
var emptyCall = []byte{0xa0}

// target returns the process to ask next.
func (c *Client) target() (address string, known int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.known()
	if c.leader != "" {
		return c.leader, len(all)
	}
	if len(all) == 0 {
		return "", 0
	}
	c.next++
	return all[c.next%len(all)], len(all)
}

func (c *Client) note(address string, r *Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		if c.leader == address {
			c.leader = ""
		}
		if c.serving == address {
			c.serving = ""
			c.logger.Warn("leader lost", logging.Step("call"), logging.Peer(address), logging.Error(err))
		}
	case r.NotLeader:
		c.leader = ""
		if r.Leader != address {
			c.leader = r.Leader
		}
	default:
		c.leader, c.heard = address, time.Now()
		if c.serving != address {
			c.logger.Info("leader found", logging.Step("call"), logging.Peer(address), "before", c.serving)
			c.serving = address
		}
		if len(r.Members) > 0 {
			c.members = r.Members
		}
	}
}

// forget makes the next try go to another process.
func (c *Client) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

// Do calls the leader until it answers or the context ends. The reply's Unknown
// is set if a try without an answer may have been carried out.
func (c *Client) Do(ctx context.Context, call *Call) *Reply {
	data, err := cbor.Marshal(call)
	if err != nil {
		return &Reply{Refused: err.Error()}
	}
	sent := ""
	for tries := 1; ; tries++ {
		address, known := c.target()
		if address == "" {
			return &Reply{Refused: "no control process is known"}
		}
		var r Reply
		reached, err := c.try(ctx, address, data, &r)
		if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
			c.note(address, &r, err) // a caller that has left says nothing of the process
		}
		switch {
		case err == nil && r.Unknown != "":
			// The call is idempotent, so a leader that knows its outcome is asked.
			sent = r.Unknown
			c.forget(address)
		case err == nil && !r.NotLeader:
			if r.Refused != "" && sent != "" {
				r = Reply{Unknown: sent}
			}
			r.AnsweredBy, r.Tries = address, tries
			return &r
		case err != nil && reached:
			sent = err.Error()
		}
		if err == nil && r.NotLeader {
			err = errors.Errorf("%s does not lead; leader %q", address, r.Leader)
		}
		if tries%max(1, known) == 0 || r.NotLeader || r.Unknown != "" {
			Pause(ctx, roundPause)
		}
		if ctx.Err() != nil {
			if sent != "" {
				return &Reply{Unknown: sent, AnsweredBy: address, Tries: tries}
			}
			return &Reply{Refused: err.Error(), AnsweredBy: address, Tries: tries}
		}
	}
}

// try makes one call. It reports whether the process may have received it.
func (c *Client) try(ctx context.Context, address string, data []byte, r *Reply) (reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return Post(ctx, c.http, address, callPath, data, r)
}

// Post sends encoded bytes and decodes the answer. It reports whether the
// process may have received the bytes.
func Post(ctx context.Context, client *http.Client, address, path string, data []byte, answer any) (reached bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return false, port.AtStep("call", address, err)
	}
	request.Header.Set("Content-Type", "application/cbor")
	response, err := client.Do(request)
	if err != nil {
		var dial *net.OpError
		refused := errors.As(err, &dial) && dial.Op == "dial"
		return !refused, port.AtStep("call", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return true, port.AtStep("read answer", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return true, port.AtStep("call", address, errors.Errorf("status %d: %.200s", response.StatusCode, body))
	}
	return true, port.AtStep("decode answer", address, cbor.Unmarshal(body, answer))
}

// RequestAdvice obtains advice through another process.
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

// Pause waits and reports whether the context goes on.
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
