package descriptor

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"laburnumgrade/internal/logging"
)

const (
	// fullLogInterval is the shortest time between two log lines on the same full part.
	fullLogInterval = 5 * time.Second
	// maxWait is how long an outgoing connection waits for a descriptor. A transport may
	// go on dialing after the call has ended that needed the connection.
	maxWait = 400 * time.Millisecond
	// maxIdleNumerator and maxIdleDenominator state the share of a part that idle
	// connections may take. Above it, connections in use would have to wait for their end.
	maxIdleNumerator, maxIdleDenominator = 5, 8
)

// Part bounds the open connections of one use. A nil Part has no bound.
type Part struct {
	use    string
	size   int
	logger *slog.Logger

	openGauge tally.Gauge
	// waited counts the connections that had to wait, rejected those that were not opened.
	waited, rejected tally.Counter

	mu   sync.Mutex
	open int
	// freed is closed and replaced when a connection is closed while others wait.
	freed    chan struct{}
	waiters  int
	reclaim  []func()
	loggedAt time.Time
}

func newPart(use string, size int, logger *slog.Logger, scope tally.Scope) *Part {
	scope = scope.Tagged(map[string]string{"use": use})
	scope.Gauge("descriptors_allowed").Update(float64(size))
	return &Part{
		use: use, size: size, logger: logger, freed: make(chan struct{}),
		openGauge: scope.Gauge("descriptors_open"), waited: scope.Counter("descriptors_waited"), rejected: scope.Counter("descriptors_rejected"),
	}
}

// Size returns the number of connections that may be open, 0 if there is no bound.
func (p *Part) Size() int {
	if p == nil {
		return 0
	}
	return p.size
}

// Open returns the number of open connections.
func (p *Part) Open() int {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// MaxIdle returns how many idle connections a client or server of the part may keep, 0 if
// there is no bound.
func (p *Part) MaxIdle() int { return p.Size() * maxIdleNumerator / maxIdleDenominator }

// OnFull adds a function that closes idle connections of the use. It is called without
// locks whenever a connection finds the part full.
func (p *Part) OnFull(reclaim func()) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reclaim = append(p.reclaim, reclaim)
}

// take takes one descriptor if the part is not full. Otherwise it returns a channel that
// is closed when one may be free.
func (p *Part) take() (freed <-chan struct{}, taken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.size {
		p.open++
		p.openGauge.Update(float64(p.open))
		return nil, true
	}
	return p.freed, false
}

// release gives one descriptor back.
func (p *Part) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.openGauge.Update(float64(p.open))
	if p.waiters > 0 {
		close(p.freed)
		p.freed = make(chan struct{})
	}
}

// makeRoom logs that the part is full and has idle connections closed.
func (p *Part) makeRoom() {
	p.mu.Lock()
	reclaim, open := p.reclaim, p.open
	now := time.Now()
	due := now.Sub(p.loggedAt) >= fullLogInterval
	if due {
		p.loggedAt = now
	}
	p.mu.Unlock()
	if due {
		p.logger.Warn("all descriptors of a use are open", logging.Step("descriptors"), "use", p.use, "open", open, "allowed", p.size)
	}
	for _, closeIdle := range reclaim {
		closeIdle()
	}
}

// acquire takes one descriptor. While the part is full it waits for one, for at most
// maxWait, and returns the context's error if it got none.
func (p *Part) acquire(ctx context.Context) error {
	if _, taken := p.take(); taken {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	p.waited.Inc(1)
	p.wait(1)
	defer p.wait(-1)
	p.makeRoom()
	for {
		freed, taken := p.take()
		if taken {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			p.rejected.Inc(1)
			return ctx.Err()
		}
	}
}

// wait changes the number of waiting connections.
func (p *Part) wait(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters += change
}

// dialFunc is the type of net.Dialer.DialContext.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function that opens connections within the part.
func (p *Part) Dial(dial dialFunc) dialFunc {
	if p == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := p.acquire(ctx); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		c, err := dial(ctx, network, address)
		if err != nil {
			p.release()
			return nil, err
		}
		return &conn{Conn: c, part: p}, nil
	}
}

// Listen returns a listener whose accepted connections are within the part. One that
// arrives while the part is full and has no idle connection is closed.
func (p *Part) Listen(l net.Listener) net.Listener {
	if p == nil {
		return l
	}
	return &listener{Listener: l, part: p}
}

type listener struct {
	net.Listener
	part *Part
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		_, taken := l.part.take()
		if !taken {
			l.part.makeRoom()
			_, taken = l.part.take()
		}
		if taken {
			return &conn{Conn: c, part: l.part}, nil
		}
		l.part.rejected.Inc(1)
		_ = c.Close()
	}
}

// conn is a connection that gives its descriptor back when it is closed.
type conn struct {
	net.Conn
	part   *Part
	closed sync.Once
}

// CloseWrite closes the writing side of a TCP connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(c.part.release)
	return err
}
