package intake

import (
	"container/list"
	"context"
)

// Account charges the current request of one connection to a budget. A nil Account charges
// nothing. Its methods are safe for concurrent use.
type Account struct {
	budget *Budget
	// close closes the connection; it is called without locks.
	close func()
	// internal is set for a connection of the system's own processes, which is never closed.
	internal bool

	// The lock of the budget guards the fields below.
	held [pools]int64
	// element is the account's element in Budget.receiving, nil while its request is complete or
	// has not begun.
	element *list.Element
	// gone is set once the connection was closed.
	gone bool
}

// Open returns the account of a new connection. close must close the connection; it may be called
// from the first call of Progress on. An internal connection is charged, but never closed to make
// room for others.
func (b *Budget) Open(close func(), internal bool) *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, close: close, internal: internal}
}

// Progress records that the connection has received a part of a request that is incomplete.
func (a *Account) Progress() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.progress()
}

// progress is Progress for a caller that holds the lock.
func (a *Account) progress() {
	switch {
	case a.gone || a.internal:
	case a.element == nil:
		a.element = a.budget.receiving.PushBack(a)
	default:
		a.budget.receiving.MoveToBack(a.element)
	}
}

// Charge charges n bytes to the account. If a pool has no room, it closes other connections. It
// returns ErrExhausted if that does not make room, and ErrClosed if the connection itself was
// closed to make room. In both cases the account holds nothing afterwards.
func (a *Account) Charge(n int64) error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	inSmall := min(n, max(0, SmallBytes-a.held[small]))
	closed, err := b.take(a, [pools]int64{small: inSmall, large: n - inSmall})
	b.mu.Unlock()
	for _, other := range closed {
		other.close()
	}
	return err
}

// take charges bytes of each pool to the account. It returns the accounts whose connections the
// caller must close. The caller holds the lock.
func (b *Budget) take(a *Account, bytes [pools]int64) (closed []*Account, err error) {
	if a.gone {
		return nil, ErrClosed
	}
	for p, n := range bytes {
		p := pool(p)
		if n == 0 {
			continue
		}
		before := len(closed)
		// A request that exceeds the pool by itself is refused before others are closed for it.
		for a.held[p]+n <= b.allowed[p] && b.held[p]+n > b.allowed[p] {
			other := b.stalled(p, a)
			if other == nil {
				break
			}
			closed = append(closed, other)
		}
		b.events.closed(poolNames[p], len(closed)-before)
		if b.held[p]+n > b.allowed[p] {
			b.events.refused(poolNames[p])
			a.leave()
			a.release()
			return closed, ErrExhausted
		}
		b.change(a, p, n)
	}
	return closed, nil
}

// Release releases n of the account's bytes, which the caller no longer holds.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	fromLarge := min(n, a.held[large])
	a.budget.change(a, large, -fromLarge)
	a.budget.change(a, small, -min(n-fromLarge, a.held[small]))
}

// Complete records that the request was received completely, so that its connection is not
// closed to make room for others.
func (a *Account) Complete() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.leave()
}

// Answered releases the bytes of the request after it was answered.
func (a *Account) Answered() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.leave()
	a.release()
}

// Close releases the bytes after the connection was closed.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.remove()
}

// leave removes the account from the list of those that may be closed. The caller holds the lock.
func (a *Account) leave() {
	if a.element != nil {
		a.budget.receiving.Remove(a.element)
		a.element = nil
	}
}

// release releases all bytes of the account. The caller holds the lock.
func (a *Account) release() {
	for p := range a.held {
		a.budget.change(a, pool(p), -a.held[p])
	}
}

// remove makes the account count as closed. The caller holds the lock.
func (a *Account) remove() {
	a.leave()
	a.release()
	a.gone = true
}

// accountKey is the context key of an account.
type accountKey struct{}

// NewContext returns a context that carries the account.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// FromContext returns the account that the context carries, nil if there is none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}
