package lease

import (
	"sync"
	"time"
)

// Table is the granter's view of the leases of many holders. It is volatile: a
// new leader starts with an empty table and waits out leases that an earlier
// leader may have granted. Every call names since when the caller has led
// without interruption; a later time empties the table.
type Table struct {
	mu      sync.Mutex
	length  time.Duration
	since   time.Duration
	holders map[string]*grant
}

type grant struct {
	expires time.Duration
	// ending is set while the granter commits the end of the lease.
	ending bool
}

// NewTable returns an empty table of leases of one length.
func NewTable(length time.Duration) *Table {
	return &Table{length: length, since: -1, holders: map[string]*grant{}}
}

// Renew grants or renews the holder's lease at now. It returns false if the
// lease is being ended or the caller's leadership is over.
func (t *Table) Renew(holder string, since, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.enter(since) {
		return false
	}
	g := t.grant(holder)
	if g.ending {
		return false
	}
	g.expires = max(g.expires, now+AddDriftMargin(t.length))
	return true
}

// BeginExpiry reports whether the lease has surely run out, and if so marks it as
// ending: no renewal is granted until CompleteExpiry. It may be repeated until the end
// is known to be committed, because a proposal whose outcome is not known may
// still be committed. A holder without a grant is taken to hold one granted by
// an earlier leader.
func (t *Table) BeginExpiry(holder string, since, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.enter(since) {
		return false
	}
	g := t.grant(holder)
	if now < max(g.expires, since+AddDriftMargin(t.length)) {
		return false
	}
	g.ending = true
	return true
}

// CompleteExpiry forgets a holder whose lease is being ended, after the end was
// committed. A lease that was granted since then stays.
func (t *Table) CompleteExpiry(holder string, since time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.enter(since) {
		return
	}
	if g := t.holders[holder]; g != nil && g.ending {
		delete(t.holders, holder)
	}
}

// enter empties the table if the leadership is new; false if it is over.
func (t *Table) enter(since time.Duration) bool {
	if since < t.since {
		return false
	}
	if since > t.since {
		t.since = since
		t.holders = map[string]*grant{}
	}
	return true
}

func (t *Table) grant(holder string) *grant {
	g := t.holders[holder]
	if g == nil {
		g = &grant{}
		t.holders[holder] = g
	}
	return g
}
