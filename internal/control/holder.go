package control

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"laburnumgrade/internal/lease"
	"laburnumgrade/internal/structs"
)

// slotHolders is the leader's volatile view of the entries that hand out slots.
// Like lease.Table it is emptied when a call names a later leadership.
type slotHolders struct {
	// assigning is held while slots are assigned, so that each assignment is
	// decided on the result of the one before.
	assigning sync.Mutex

	mu      sync.Mutex
	since   time.Duration
	entries map[string]entryHolder
	// releases holds the slots that entries are asked to give back, by instance.
	releases map[string]*slotRelease
	// proposed holds assignments whose outcome is not known, by instance. They
	// may still be committed, so nothing else is proposed for the instance until
	// they are known to be.
	proposed map[string]proposedSlots
	// returned holds the earlier holders of instances that came back with a new
	// incarnation.
	returned map[string]returnedSlots
	// heard is when the leader last heard from an instance.
	heard map[string]heardInstance
	// quietUntil is when slots may be moved for balance again.
	quietUntil time.Duration
}

type entryHolder struct {
	address  string
	draining bool
}

type slotRelease struct {
	number      uint64
	entry       string
	incarnation uint64
	// assignment is the number of the assignment that is given back.
	assignment uint64
	began      time.Duration
	// done is set once the entry has said that it no longer uses the slots.
	done bool
}

// of reports whether the release is that of the instance's present assignment.
func (r *slotRelease) of(in *structs.Instance) bool {
	return r.entry == in.Entry && r.incarnation == in.Incarnation && r.assignment == in.Assignment
}

type proposedSlots struct {
	incarnation uint64
	// replaces is the number of the assignment that is replaced.
	replaces       uint64
	entry, address string
}

type returnedSlots struct {
	entry string
	// until is when the earlier holder's knowledge of the old incarnation has
	// surely run out; 0 while the new incarnation may not be committed.
	until time.Duration
}

type heardInstance struct {
	incarnation uint64
	at          time.Duration
}

func newSlotHolders() *slotHolders { return &slotHolders{since: -1} }

// enter locks the table and empties it if the leadership is new. It returns
// false without the lock if the leadership is over; otherwise the caller unlocks.
func (h *slotHolders) enter(since time.Duration) bool {
	h.mu.Lock()
	if since < h.since {
		h.mu.Unlock()
		return false
	}
	if since == h.since {
		return true
	}
	h.since = since
	h.entries = map[string]entryHolder{}
	h.releases = map[string]*slotRelease{}
	h.proposed = map[string]proposedSlots{}
	h.returned = map[string]returnedSlots{}
	h.heard = map[string]heardInstance{}
	h.quietUntil = 0
	return true
}

// setEntry notes an entry whose slot lease was renewed.
func (h *slotHolders) setEntry(since time.Duration, name, address string, draining bool) {
	if !h.enter(since) {
		return
	}
	defer h.mu.Unlock()
	h.entries[name] = entryHolder{address, draining}
}

func (h *slotHolders) dropEntry(since time.Duration, name string) {
	if !h.enter(since) {
		return
	}
	defer h.mu.Unlock()
	delete(h.entries, name)
}

// live returns the entries that may get slots.
func (h *slotHolders) live(since time.Duration) map[string]entryHolder {
	if !h.enter(since) {
		return nil
	}
	defer h.mu.Unlock()
	live := map[string]entryHolder{}
	for name, e := range h.entries {
		live[name] = e
	}
	return live
}

// complete marks the releases that the entry reports, and says whether there
// were any that it had not reported before.
func (h *slotHolders) complete(since time.Duration, entry string, numbers []uint64) bool {
	if !h.enter(since) {
		return false
	}
	defer h.mu.Unlock()
	found := false
	for _, r := range h.releases {
		for _, n := range numbers {
			if r.number == n && r.entry == entry && !r.done {
				r.done = true
				found = true
			}
		}
	}
	return found
}

// ask begins a release, unless one has begun.
func (h *slotHolders) ask(since, now time.Duration, in *structs.Instance) {
	if !h.enter(since) {
		return
	}
	defer h.mu.Unlock()
	if r := h.releases[in.ID]; r != nil && r.of(in) {
		return
	}
	h.releases[in.ID] = &slotRelease{number: rand.Uint64() | 1, entry: in.Entry, incarnation: in.Incarnation, assignment: in.Assignment, began: now}
}

// hear notes that an instance announced itself at a time, and that its
// incarnation is committed now.
func (h *slotHolders) hear(since, arrived, now time.Duration, id string, incarnation uint64) {
	if !h.enter(since) {
		return
	}
	defer h.mu.Unlock()
	if old := h.heard[id]; incarnation > old.incarnation || arrived > old.at {
		h.heard[id] = heardInstance{incarnation, arrived}
	}
	if r, ok := h.returned[id]; ok && r.until == 0 {
		h.returned[id] = returnedSlots{r.entry, now + lease.AddDriftMargin(lease.SlotDuration)}
	}
}

// valid returns for how long the instance may get new work.
func (h *slotHolders) valid(since, now time.Duration, in *structs.Instance) time.Duration {
	if !h.enter(since) {
		return 0
	}
	defer h.mu.Unlock()
	heard, ok := h.heard[in.ID]
	if !ok || heard.incarnation != in.Incarnation {
		return 0
	}
	return max(heard.at+lease.InstanceDuration-now, 0)
}

// open returns the assignments whose outcome is not known.
func (h *slotHolders) open(since time.Duration) map[string]proposedSlots {
	if !h.enter(since) {
		return nil
	}
	defer h.mu.Unlock()
	return maps.Clone(h.proposed)
}

// begin notes an assignment before it is proposed; false if the leadership is
// over or another assignment of the instance is open.
func (h *slotHolders) begin(since time.Duration, id string, p proposedSlots) bool {
	if !h.enter(since) {
		return false
	}
	defer h.mu.Unlock()
	if open, ok := h.proposed[id]; ok && open != p {
		return false
	}
	h.proposed[id] = p
	return true
}

// applied notes the known outcome of an assignment. One is refused if the
// instance was removed or came back with a new incarnation.
func (h *slotHolders) applied(since time.Duration, id string, p proposedSlots, accepted bool) {
	if !h.enter(since) {
		return
	}
	defer h.mu.Unlock()
	delete(h.proposed, id)
	if !accepted {
		return
	}
	delete(h.releases, id)
	if p.entry != "" {
		delete(h.returned, id)
	}
}

// releaseOf returns the release of the instance's slots; false if there is none.
func (h *slotHolders) releaseOf(since time.Duration, in *structs.Instance) (slotRelease, bool) {
	if !h.enter(since) {
		return slotRelease{}, false
	}
	defer h.mu.Unlock()
	r := h.releases[in.ID]
	if r == nil || !r.of(in) {
		return slotRelease{}, false
	}
	return *r, true
}

// giveUp ends a release that takes too long, unless it is done.
func (h *slotHolders) giveUp(since, quietUntil time.Duration, in *structs.Instance) {
	if !h.enter(since) {
		return
	}
	defer h.mu.Unlock()
	if r := h.releases[in.ID]; r != nil && !r.done {
		delete(h.releases, in.ID)
		h.quietUntil = quietUntil
	}
}

// quiet reports whether no slots are to be moved for balance.
func (h *slotHolders) quiet(since, now time.Duration) bool {
	if !h.enter(since) {
		return true
	}
	defer h.mu.Unlock()
	return now < h.quietUntil
}

// earlier returns the earlier holder of an instance that came back.
func (h *slotHolders) earlier(since time.Duration, id string) (returnedSlots, bool) {
	if !h.enter(since) {
		return returnedSlots{}, false
	}
	defer h.mu.Unlock()
	r, ok := h.returned[id]
	return r, ok
}

// replace notes that an instance is being replaced by a new incarnation: its
// holder may use the old one, at the same address, until it hears of the new.
func (h *slotHolders) replace(since time.Duration, old *structs.Instance) {
	if !h.enter(since) {
		return
	}
	defer h.mu.Unlock()
	entry := old.Entry
	if r, ok := h.returned[old.ID]; ok && entry == "" {
		entry = r.entry
	}
	h.returned[old.ID] = returnedSlots{entry: entry}
}
