package control

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/lease"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

const (
	// maxMoves bounds the instances that are moved between entries for balance at a time,
	// since an instance gets no new work while its slots are moved.
	maxMoves = 4
	// moveTimeout is the time in which an entry has to end its calls on an instance that
	// is moved for balance; after that the entry keeps the slots.
	moveTimeout = 5 * time.Second
	// balancePause is the pause in balancing after a move that reached moveTimeout.
	balancePause = 30 * time.Second
)

// assignSlots brings the assignment of the slots of instances to entries up to date. The
// slots of an instance are taken from an entry only after the entry's lease has expired by
// its own clock or the entry has released them. Each assignment carries the numbers of
// the leadership and of the assignment that it replaces, so that the state refuses a
// delayed one.
func (s *Server) assignSlots(ctx context.Context, g *DataCentreGroup, since, now time.Duration) {
	g.holders.assignMu.Lock()
	defer g.holders.assignMu.Unlock()
	epoch, err := g.leadershipEpoch(ctx, since)
	if err != nil {
		s.logger.Warn("slots not assigned: failed to commit the beginning of the leadership", "step", "assign slots", "group", g.Name, "error", err)
		return
	}
	a := &assignmentPass{server: s, group: g, since: since, now: now, epoch: epoch}
	a.reproposeUnconfirmed(ctx)
	a.load()
	a.expireEntries(ctx)
	a.reassignReleased(ctx)
	a.assignFree(ctx)
	a.releaseFromDraining()
	a.balance()
}

// assignmentPass is one pass of assignSlots over the instances of a group.
type assignmentPass struct {
	server     *Server
	group      *DataCentreGroup
	since, now time.Duration
	// epoch is the number of the leadership; see leadershipEpoch.
	epoch uint64

	instances []structs.Instance
	entries   map[string]slotEntry
	// instanceCount is the number of instances whose slots each entry has. It contains the
	// entries that may get more: those with a lease that are not draining.
	instanceCount map[string]int
}

// load reads the instances and entries and counts the instances of each entry.
func (a *assignmentPass) load() {
	a.instances = a.group.Store.Instances()
	a.entries = a.group.holders.liveEntries(a.since)
	a.instanceCount = map[string]int{}
	for name, e := range a.entries {
		if !e.draining {
			a.instanceCount[name] = 0
		}
	}
	for i := range a.instances {
		a.addCount(a.instances[i].Entry, 1)
	}
}

func (a *assignmentPass) addCount(entry string, n int) {
	if _, ok := a.instanceCount[entry]; ok {
		a.instanceCount[entry] += n
	}
}

// reproposeUnconfirmed proposes the assignments whose outcome is unknown again.
func (a *assignmentPass) reproposeUnconfirmed(ctx context.Context) {
	open := a.group.holders.unconfirmed(a.since)
	for _, id := range slices.Sorted(maps.Keys(open)) {
		a.propose(ctx, id, open[id])
	}
}

// propose commits an assignment and reports whether it is known to be applied.
func (a *assignmentPass) propose(ctx context.Context, id string, p proposedAssignment) bool {
	h := a.group.holders
	if since, valid := a.group.Log.Lease(); !valid || since != a.since || !h.beginAssignment(a.since, id, p) {
		return false
	}
	result, err := a.group.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AssignSlots{AssignSlots: &statev1.AssignSlots{
		InstanceId: id, Incarnation: p.incarnation, Entry: p.entry, EntryAddress: p.address, Replaces: p.replaces, Epoch: a.epoch,
	}}})
	if err != nil {
		a.server.logger.Warn("outcome of the slot assignment is unknown", "step", "assign slots", "group", a.group.Name, "instance", id, "peer", p.entry, "error", err)
		return false
	}
	if strings.HasPrefix(result.Refusal, state.RefusalLeadershipOver) {
		a.group.invalidateEpoch()
		return false
	}
	accepted := result.Refusal == "" || a.wasApplied(id, p)
	h.finishAssignment(a.since, id, p, accepted)
	return accepted
}

// wasApplied reports whether the state contains the assignment: a repeated proposal is
// refused if an earlier one, whose outcome was unknown, was committed.
func (a *assignmentPass) wasApplied(id string, p proposedAssignment) bool {
	in, known := a.group.Store.Instance(id)
	return known && in.Incarnation == p.incarnation && in.Assignment == p.replaces+1 && in.Entry == p.entry
}

// assign assigns the slots of the instance to an entry, or to none if entry is empty. It
// reports whether the assignment is known to be applied.
func (a *assignmentPass) assign(ctx context.Context, in *structs.Instance, entry string) bool {
	if !a.propose(ctx, in.ID, proposedAssignment{in.Incarnation, in.Assignment, entry, a.entries[entry].address}) {
		return false
	}
	a.addCount(in.Entry, -1)
	a.addCount(entry, 1)
	in.Entry = entry
	in.Assignment++
	return true
}

// leastLoadedEntry returns the entry that has the fewest instances, and among these the
// one with the fewest of the instance's service; empty if there is none.
func (a *assignmentPass) leastLoadedEntry(in *structs.Instance) string {
	best := ""
	for _, e := range slices.Sorted(maps.Keys(a.instanceCount)) {
		if best == "" || a.instanceCount[e] < a.instanceCount[best] || (a.instanceCount[e] == a.instanceCount[best] && a.countOfService(e, in) < a.countOfService(best, in)) {
			best = e
		}
	}
	return best
}

// countOfService returns how many instances of the same service the entry has.
func (a *assignmentPass) countOfService(entry string, in *structs.Instance) int {
	n := 0
	for i := range a.instances {
		if x := &a.instances[i]; x.Entry == entry && x.Team == in.Team && x.Service == in.Service {
			n++
		}
	}
	return n
}

// expireEntries reassigns the slots of entries whose lease has expired. Such an entry gets
// no new lease until all its slots are known to be reassigned.
func (a *assignmentPass) expireEntries(ctx context.Context) {
	names := map[string]bool{}
	for name := range a.entries {
		names[name] = true
	}
	for i := range a.instances {
		names[a.instances[i].Entry] = true
	}
	delete(names, "")
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if a.group.slotLeases.BeginExpiry(name, a.since, a.now) {
			a.expireEntry(ctx, name)
		}
	}
}

// expireEntry reassigns the slots of an entry whose lease has expired.
func (a *assignmentPass) expireEntry(ctx context.Context, name string) {
	delete(a.entries, name)
	delete(a.instanceCount, name)
	all := true
	for i := range a.instances {
		if in := &a.instances[i]; in.Entry == name {
			all = a.assign(ctx, in, a.leastLoadedEntry(in)) && all
		}
	}
	if all {
		a.group.holders.removeEntry(a.since, name)
		a.server.logger.Warn("entry lost its slots: its lease has expired", "step", "assign slots", "peer", name)
		a.group.slotLeases.CompleteExpiry(name, a.since)
		return
	}
	// The next pass reassigns the remaining slots.
	a.group.holders.setEntry(a.since, name, "", true)
}

// reassignReleased assigns the slots that entries have released.
func (a *assignmentPass) reassignReleased(ctx context.Context) {
	for i := range a.instances {
		in := &a.instances[i]
		if r, ok := a.group.holders.releaseOf(a.since, in); ok && r.done {
			a.assign(ctx, in, a.leastLoadedEntry(in))
		}
	}
}

// assignFree assigns the slots that no entry holds.
func (a *assignmentPass) assignFree(ctx context.Context) {
	for i := range a.instances {
		in := &a.instances[i]
		if in.Entry != "" {
			continue
		}
		if entry := a.eligibleEntry(in); entry != "" {
			a.assign(ctx, in, entry)
		}
	}
}

// eligibleEntry returns the entry that may get the free slots of the instance now, empty
// if there is none. An entry may still use the old incarnation of a restarted instance
// until its lease has expired. Until then only that entry may get the slots, since the
// reply that lists them as its own also lists the new incarnation. A new leader has no
// record of restarts, so it waits for the duration of a slot lease before it assigns any
// free slots.
func (a *assignmentPass) eligibleEntry(in *structs.Instance) string {
	r, restarted := a.group.holders.previousHolder(a.since, in.ID)
	if a.now < a.since+lease.AddDriftMargin(lease.SlotDuration) {
		return ""
	}
	if !restarted || r.entry == "" || (r.until > 0 && a.now >= r.until) {
		return a.leastLoadedEntry(in)
	}
	if _, live := a.instanceCount[r.entry]; live {
		return r.entry
	}
	return ""
}

// releaseFromDraining asks entries that are draining to release their slots.
func (a *assignmentPass) releaseFromDraining() {
	for i := range a.instances {
		in := &a.instances[i]
		if e, ok := a.entries[in.Entry]; ok && e.draining {
			a.group.holders.requestRelease(a.since, a.now, in)
		}
	}
}

// balance asks the entries with the most instances to release some, which are then
// assigned to the entries with the fewest.
func (a *assignmentPass) balance() {
	moving := a.movingInstances()
	if len(a.instanceCount) < 2 || a.group.holders.balancePaused(a.since, a.now) {
		return
	}
	a.countPendingMoves(moving)
	for range maxMoves - len(moving) {
		from, to := a.mostLoadedEntry(), a.leastLoadedEntry(&structs.Instance{})
		if a.instanceCount[from]-a.instanceCount[to] < 2 {
			return
		}
		in := a.instanceToMove(from, to)
		if in == nil {
			return
		}
		a.group.holders.requestRelease(a.since, a.now, in)
		a.instanceCount[from]--
		a.instanceCount[to]++
	}
}

// countPendingMoves updates instanceCount as if the slots that are being released, and
// those held by no entry or by one that is draining, had been reassigned.
func (a *assignmentPass) countPendingMoves(moving []*structs.Instance) {
	for _, in := range moving {
		a.addCount(in.Entry, -1)
		a.addCount(a.leastLoadedEntry(in), 1)
	}
	for i := range a.instances {
		if _, ok := a.instanceCount[a.instances[i].Entry]; !ok {
			a.addCount(a.leastLoadedEntry(&a.instances[i]), 1)
		}
	}
}

// movingInstances returns the instances that are being moved for balance, and abandons
// moves that take too long.
func (a *assignmentPass) movingInstances() []*structs.Instance {
	h := a.group.holders
	var list []*structs.Instance
	for i := range a.instances {
		in := &a.instances[i]
		r, ok := h.releaseOf(a.since, in)
		if !ok || a.entries[in.Entry].draining {
			continue
		}
		if !r.done && a.now >= r.began+moveTimeout {
			h.abandonRelease(a.since, a.now+balancePause, in)
			continue
		}
		list = append(list, in)
	}
	return list
}

// mostLoadedEntry returns the entry that has the most instances; empty if there is none.
func (a *assignmentPass) mostLoadedEntry() string {
	best := ""
	for _, e := range slices.Sorted(maps.Keys(a.instanceCount)) {
		if best == "" || a.instanceCount[e] > a.instanceCount[best] {
			best = e
		}
	}
	return best
}

// instanceToMove returns an instance of the entry from that is not being moved, of the
// service in which from exceeds the entry to by the most instances; nil if there is none.
func (a *assignmentPass) instanceToMove(from, to string) *structs.Instance {
	var best *structs.Instance
	bestExcess := 0
	for i := range a.instances {
		in := &a.instances[i]
		if in.Entry != from {
			continue
		}
		if _, moving := a.group.holders.releaseOf(a.since, in); moving {
			continue
		}
		if excess := a.countOfService(from, in) - a.countOfService(to, in); best == nil || excess > bestExcess {
			best, bestExcess = in, excess
		}
	}
	return best
}
