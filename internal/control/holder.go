package control

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"laburnumgrade/internal/lease"
	"laburnumgrade/internal/structs"
)

// slotHolders is the leader's record of the entries that hand out the slots of
// instances. Like lease.Table it is not replicated and is emptied when a method is
// called with the start of a later leadership.
type slotHolders struct {
	// assignMu is held during an assignment pass, so that each pass sees the result
	// of the one before.
	assignMu sync.Mutex

	mu      sync.Mutex
	since   time.Duration
	entries map[string]slotEntry
	// releases holds the requests to entries to release the slots of an instance, by
	// instance id.
	releases map[string]*slotRelease
	// proposed holds assignments whose outcome is unknown, by instance id. They may
	// still be committed, so no other assignment of the instance is proposed until the
	// outcome is known.
	proposed map[string]proposedAssignment
	// restarted holds instances that were registered with a new incarnation, by id,
	// with the entries that hold the slots of the old one.
	restarted map[string]restartedInstance
	// announced holds the latest announcement of each instance, by id.
	announced map[string]announcement
	// balancePausedUntil is when balancing of slots may resume.
	balancePausedUntil time.Duration
}

// slotEntry is an entry with a slot lease.
type slotEntry struct {
	address  string
	draining bool
}

// slotRelease is a request to an entry to release the slots of an instance.
type slotRelease struct {
	number      uint64
	entry       string
	incarnation uint64
	// assignment is the number of the assignment that is released.
	assignment uint64
	began      time.Duration
	// done is set once the entry has reported that it no longer uses the slots.
	done bool
}

// matches reports whether the release concerns the instance's current assignment.
func (r *slotRelease) matches(in *structs.Instance) bool {
	return r.entry == in.Entry && r.incarnation == in.Incarnation && r.assignment == in.Assignment
}

// proposedAssignment is an assignment of the slots of one instance to an entry.
type proposedAssignment struct {
	incarnation uint64
	// replaces is the number of the assignment that is replaced.
	replaces       uint64
	entry, address string
}

// restartedInstance is an instance whose slots may still be in use under its old
// incarnation.
type restartedInstance struct {
	entry string
	// incarnation is the new incarnation.
	incarnation uint64
	// until is when the lease under which the entry may use the old incarnation has
	// expired; 0 until the new incarnation is known to be committed.
	until time.Duration
}

// announcement is the latest announcement of an instance.
type announcement struct {
	incarnation uint64
	at          time.Duration
}

func newSlotHolders() *slotHolders { return &slotHolders{since: -1} }

// lockLeadership locks the table and empties it if the leadership is a new one. If the
// leadership is over, it returns false without holding the lock; otherwise the caller
// unlocks.
func (h *slotHolders) lockLeadership(since time.Duration) bool {
	h.mu.Lock()
	if since < h.since {
		h.mu.Unlock()
		return false
	}
	if since == h.since {
		return true
	}
	h.since = since
	h.entries = map[string]slotEntry{}
	h.releases = map[string]*slotRelease{}
	h.proposed = map[string]proposedAssignment{}
	h.restarted = map[string]restartedInstance{}
	h.announced = map[string]announcement{}
	h.balancePausedUntil = 0
	return true
}

// setEntry records an entry whose slot lease was renewed.
func (h *slotHolders) setEntry(since time.Duration, name, address string, draining bool) {
	if !h.lockLeadership(since) {
		return
	}
	defer h.mu.Unlock()
	h.entries[name] = slotEntry{address, draining}
}

func (h *slotHolders) removeEntry(since time.Duration, name string) {
	if !h.lockLeadership(since) {
		return
	}
	defer h.mu.Unlock()
	delete(h.entries, name)
}

// liveEntries returns the entries that have renewed a slot lease and were not removed
// since.
func (h *slotHolders) liveEntries(since time.Duration) map[string]slotEntry {
	if !h.lockLeadership(since) {
		return nil
	}
	defer h.mu.Unlock()
	live := map[string]slotEntry{}
	for name, e := range h.entries {
		live[name] = e
	}
	return live
}

// completeReleases marks the releases that the entry reports as done, and reports
// whether there were any that it had not reported before.
func (h *slotHolders) completeReleases(since time.Duration, entry string, numbers []uint64) bool {
	if !h.lockLeadership(since) {
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

// requestRelease asks the holder of the instance's slots to release them, unless it has
// been asked already. ListInstances sends the request to the entry.
func (h *slotHolders) requestRelease(since, now time.Duration, in *structs.Instance) {
	if !h.lockLeadership(since) {
		return
	}
	defer h.mu.Unlock()
	if r := h.releases[in.ID]; r != nil && r.matches(in) {
		return
	}
	h.releases[in.ID] = &slotRelease{number: rand.Uint64() | 1, entry: in.Entry, incarnation: in.Incarnation, assignment: in.Assignment, began: now}
}

// recordAnnouncement records that an announcement of an instance arrived at the time
// arrived, and that its incarnation is known to be committed. The announcement may be one of
// an earlier incarnation that arrived while a later one was being committed: it changes
// nothing about the later one.
func (h *slotHolders) recordAnnouncement(since, arrived, now time.Duration, id string, incarnation uint64) {
	if !h.lockLeadership(since) {
		return
	}
	defer h.mu.Unlock()
	if old := h.announced[id]; incarnation > old.incarnation || incarnation == old.incarnation && arrived > old.at {
		h.announced[id] = announcement{incarnation, arrived}
	}
	if r, ok := h.restarted[id]; ok && r.until == 0 && incarnation >= r.incarnation {
		r.until = now + lease.AddDriftMargin(lease.SlotDuration)
		h.restarted[id] = r
	}
}

// validFor returns for how long the instance may be given new work, by its latest
// announcement.
func (h *slotHolders) validFor(since, now time.Duration, in *structs.Instance) time.Duration {
	if !h.lockLeadership(since) {
		return 0
	}
	defer h.mu.Unlock()
	last, ok := h.announced[in.ID]
	if !ok || last.incarnation != in.Incarnation {
		return 0
	}
	return max(last.at+lease.InstanceDuration-now, 0)
}

// unconfirmed returns the assignments whose outcome is unknown, by instance id.
func (h *slotHolders) unconfirmed(since time.Duration) map[string]proposedAssignment {
	if !h.lockLeadership(since) {
		return nil
	}
	defer h.mu.Unlock()
	return maps.Clone(h.proposed)
}

// beginAssignment records an assignment before it is proposed. It returns false if the
// leadership is over or the outcome of another assignment of the instance is unknown.
func (h *slotHolders) beginAssignment(since time.Duration, id string, p proposedAssignment) bool {
	if !h.lockLeadership(since) {
		return false
	}
	defer h.mu.Unlock()
	if open, ok := h.proposed[id]; ok && open != p {
		return false
	}
	h.proposed[id] = p
	return true
}

// finishAssignment records the known outcome of an assignment. An assignment is refused
// if the instance was removed or registered with a new incarnation.
func (h *slotHolders) finishAssignment(since time.Duration, id string, p proposedAssignment, accepted bool) {
	if !h.lockLeadership(since) {
		return
	}
	defer h.mu.Unlock()
	delete(h.proposed, id)
	if !accepted {
		return
	}
	delete(h.releases, id)
	if p.entry != "" {
		delete(h.restarted, id)
	}
}

// releaseOf returns the release of the instance's current assignment; false if there is
// none.
func (h *slotHolders) releaseOf(since time.Duration, in *structs.Instance) (slotRelease, bool) {
	if !h.lockLeadership(since) {
		return slotRelease{}, false
	}
	defer h.mu.Unlock()
	r := h.releases[in.ID]
	if r == nil || !r.matches(in) {
		return slotRelease{}, false
	}
	return *r, true
}

// abandonRelease withdraws a release that takes too long, unless it is done, and pauses
// balancing.
func (h *slotHolders) abandonRelease(since, balancePausedUntil time.Duration, in *structs.Instance) {
	if !h.lockLeadership(since) {
		return
	}
	defer h.mu.Unlock()
	if r := h.releases[in.ID]; r != nil && !r.done {
		delete(h.releases, in.ID)
		h.balancePausedUntil = balancePausedUntil
	}
}

// balancePaused reports whether balancing of slots is paused.
func (h *slotHolders) balancePaused(since, now time.Duration) bool {
	if !h.lockLeadership(since) {
		return true
	}
	defer h.mu.Unlock()
	return now < h.balancePausedUntil
}

// previousHolder returns the entry that held the slots of an instance before the
// instance restarted.
func (h *slotHolders) previousHolder(since time.Duration, id string) (restartedInstance, bool) {
	if !h.lockLeadership(since) {
		return restartedInstance{}, false
	}
	defer h.mu.Unlock()
	r, ok := h.restarted[id]
	return r, ok
}

// recordRestart records that a new incarnation of an instance is being registered. The
// holder of the slots may use the old incarnation, at the same address, until its next
// listing of instances shows the new one.
func (h *slotHolders) recordRestart(since time.Duration, old *structs.Instance, incarnation uint64) {
	if !h.lockLeadership(since) {
		return
	}
	defer h.mu.Unlock()
	entry := old.Entry
	if r, ok := h.restarted[old.ID]; ok {
		if entry == "" {
			entry = r.entry
		}
		incarnation = max(incarnation, r.incarnation)
	}
	h.restarted[old.ID] = restartedInstance{entry: entry, incarnation: incarnation}
}
