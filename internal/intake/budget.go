package intake

import (
	"container/list"
	"log/slog"
	"sync"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// SmallBytes is how many bytes of a connection's current request are charged to the small
	// pool; all further bytes are charged to the large one. A longer body is decoded while no
	// other one is. Ordinary jobs have a few hundred bytes.
	SmallBytes = 16 << 10
	// smallShareDivisor sets the size of the small pool, a quarter of the budget.
	smallShareDivisor = 4
)

// Errors of Account.Charge and ReadBody.
var (
	// ErrExhausted says that the budget has no room for the request although no other
	// connection is left that may be closed.
	ErrExhausted = errors.New("no memory for the request")
	// ErrClosed says that the connection was closed to make room for others.
	ErrClosed = errors.New("the connection was closed to make room for others")
)

// pool is one of the two parts of a budget.
type pool int

const (
	small pool = iota
	large
	pools
)

// poolNames are the values of the tag pool of the metrics.
var poolNames = [pools]string{"small", "large"}

// closedForDescriptors is the value of the tag reason for connections that were closed
// because all descriptors were in use.
const closedForDescriptors = "descriptors"

// Budget bounds the bytes of requests that a process holds. A nil Budget has no bound.
type Budget struct {
	// decoding holds a value while a body of more than SmallBytes is decoded.
	decoding chan struct{}
	events   *events
	gauges   [pools]tally.Gauge

	mu      sync.Mutex
	allowed [pools]int64
	held    [pools]int64
	// receiving holds the *Account of each connection whose request is incomplete and that may
	// be closed, the one that has gone longest without progress first.
	receiving *list.List
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64, logger *slog.Logger, scope tally.Scope) *Budget {
	b := &Budget{decoding: make(chan struct{}, 1), events: newEvents(logger, scope), receiving: list.New()}
	b.allowed[small] = bytes / smallShareDivisor
	b.allowed[large] = bytes - b.allowed[small]
	for p, name := range poolNames {
		tagged := scope.Tagged(map[string]string{"pool": name})
		tagged.Gauge("intake_allowed").Update(float64(b.allowed[p]))
		b.gauges[p] = tagged.Gauge("intake_bytes")
	}
	return b
}

// Held returns the number of bytes that are charged to both pools.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[small] + b.held[large]
}

// change changes the bytes that an account holds in a pool. The caller holds the lock.
func (b *Budget) change(a *Account, p pool, n int64) {
	a.held[p] += n
	b.held[p] += n
	b.gauges[p].Update(float64(b.held[p]))
}

// stalled removes from receiving the account that has gone longest without progress among those
// that hold bytes in the pool, other than a, and releases its bytes. It returns nil if there is
// none. The caller holds the lock.
func (b *Budget) stalled(p pool, a *Account) *Account {
	for e := b.receiving.Front(); e != nil; e = e.Next() {
		if other := e.Value.(*Account); other != a && other.held[p] > 0 {
			other.remove()
			return other
		}
	}
	return nil
}

// CloseStalled closes the connection that has gone longest without progress among those whose
// request is incomplete, and reports whether there was one.
func (b *Budget) CloseStalled() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	e := b.receiving.Front()
	if e == nil {
		b.mu.Unlock()
		return false
	}
	a := e.Value.(*Account)
	a.remove()
	b.mu.Unlock()
	a.close()
	b.events.closed(closedForDescriptors, 1)
	return true
}
