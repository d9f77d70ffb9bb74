package lease

import (
	"sync"
	"time"
)

// Table is the granter's record of the leases of many holders. It is not
// replicated: a new leader starts with an empty table and waits until leases that
// an earlier leader may have granted have expired. The argument since of each
// method is the time since which the caller has led without interruption. A later
// value than before means a new leadership and empties the table; an earlier one
// means that the caller's leadership is over.
type Table struct {
	mu      sync.Mutex
	length  time.Duration
	since   time.Duration
	holders map[string]*grant
}

type grant struct {
	expires time.Duration
	// ending is set while the granter commits the expiry of the lease.
	ending bool
}

// NewTable returns an empty table of leases of the given length.
func NewTable(length time.Duration) *Table {
	return &Table{length: length, since: -1, holders: map[string]*grant{}}
}

// Renew grants or renews the holder's lease at now. It returns false if the
// expiry of the lease is being committed or the caller's leadership is over.
func (t *Table) Renew(holder string, since, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.enterLeadership(since) {
		return false
	}
	g := t.grant(holder)
	if g.ending {
		return false
	}
	g.expires = max(g.expires, now+AddDriftMargin(t.length))
	return true
}

// BeginExpiry reports whether the lease has expired by the holder's clock, and if
// so marks it as ending: Renew is refused until CompleteExpiry. The caller may
// repeat it until the expiry is known to be committed, because a proposal whose
// outcome is unknown may still be committed. A holder that the table does not
// contain is assumed to have a lease granted by an earlier leader.
func (t *Table) BeginExpiry(holder string, since, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.enterLeadership(since) {
		return false
	}
	g := t.grant(holder)
	if now < max(g.expires, since+AddDriftMargin(t.length)) {
		return false
	}
	g.ending = true
	return true
}

// CompleteExpiry removes a holder after the expiry of its lease was committed. A
// lease that was granted after an earlier CompleteExpiry stays.
func (t *Table) CompleteExpiry(holder string, since time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.enterLeadership(since) {
		return
	}
	if g := t.holders[holder]; g != nil && g.ending {
		delete(t.holders, holder)
	}
}

// enterLeadership empties the table if the leadership is a new one. It returns
// false if the leadership is over. The caller holds the lock.
func (t *Table) enterLeadership(since time.Duration) bool {
	if since < t.since {
		return false
	}
	if since > t.since {
		t.since = since
		t.holders = map[string]*grant{}
	}
	return true
}

// grant returns the entry of the holder, which it creates if there is none. The
// caller holds the lock.
func (t *Table) grant(holder string) *grant {
	g := t.holders[holder]
	if g == nil {
		g = &grant{}
		t.holders[holder] = g
	}
	return g
}
