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
	// maxMoves bounds the instances that are moved for balance at a time: a
	// moving instance gets no new work for a moment.
	maxMoves = 4
	// moveLimit is how long an entry may take to end its calls on an instance
	// that is moved for balance; after that it keeps the slots.
	moveLimit = 5 * time.Second
	// moveQuiet is the pause between moves after one that took too long.
	moveQuiet = 30 * time.Second
)

// assignSlots brings the assignment of slots to entries up to date. The slots of
// an instance leave an entry only when the entry's lease has surely run out or
// the entry has given them back. Each assignment names the leadership and the
// assignment that it replaces, so that one that is delayed is refused.
func (s *Server) assignSlots(ctx context.Context, g *DataCentreGroup, since, now time.Duration) {
	g.holders.assigning.Lock()
	defer g.holders.assigning.Unlock()
	epoch, err := g.epoch(ctx, since)
	if err != nil {
		s.logger.Warn("slots not assigned", "step", "assign slots", "group", g.Name, "error", err)
		return
	}
	a := &slotAssignment{server: s, group: g, since: since, now: now, epoch: epoch}
	a.repeatProposed(ctx)
	a.load()
	a.endEntries(ctx)
	a.finishReleases(ctx)
	a.assignFree(ctx)
	a.askDraining()
	a.balance()
}

// slotAssignment is one pass over the instances of a group.
type slotAssignment struct {
	server     *Server
	group      *DataCentreGroup
	since, now time.Duration
	// epoch is the number of the leadership.
	epoch uint64

	instances []structs.Instance
	entries   map[string]entryHolder
	// held counts the instances of each entry that may get slots.
	held map[string]int
}

func (a *slotAssignment) load() {
	a.instances = a.group.Store.Instances()
	a.entries = a.group.holders.live(a.since)
	a.held = map[string]int{}
	for name, e := range a.entries {
		if !e.draining {
			a.held[name] = 0
		}
	}
	for i := range a.instances {
		a.count(a.instances[i].Entry, 1)
	}
}

func (a *slotAssignment) count(entry string, n int) {
	if _, ok := a.held[entry]; ok {
		a.held[entry] += n
	}
}

// repeatProposed proposes again what may or may not have been committed.
func (a *slotAssignment) repeatProposed(ctx context.Context) {
	open := a.group.holders.open(a.since)
	for _, id := range slices.Sorted(maps.Keys(open)) {
		a.propose(ctx, id, open[id])
	}
}

// propose commits an assignment and reports whether it is known to be applied.
func (a *slotAssignment) propose(ctx context.Context, id string, p proposedSlots) bool {
	h := a.group.holders
	if since, valid := a.group.Log.Lease(); !valid || since != a.since || !h.begin(a.since, id, p) {
		return false
	}
	result, err := a.group.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AssignSlots{AssignSlots: &statev1.AssignSlots{
		InstanceId: id, Incarnation: p.incarnation, Entry: p.entry, EntryAddress: p.address, Replaces: p.replaces, Epoch: a.epoch,
	}}})
	if err != nil {
		a.server.logger.Warn("assignment of slots not confirmed", "step", "assign slots", "group", a.group.Name, "instance", id, "peer", p.entry, "error", err)
		return false
	}
	if strings.HasPrefix(result.Refusal, state.RefusalLeadershipOver) {
		a.group.forgetEpoch()
		return false
	}
	accepted := result.Refusal == "" || a.wasApplied(id, p)
	h.applied(a.since, id, p, accepted)
	return accepted
}

// wasApplied reports whether an earlier proposal of the assignment, whose
// outcome was not known, is what a repeated one was refused for.
func (a *slotAssignment) wasApplied(id string, p proposedSlots) bool {
	in, known := a.group.Store.Instance(id)
	return known && in.Incarnation == p.incarnation && in.Assignment == p.replaces+1 && in.Entry == p.entry
}

// give assigns the slots to an entry, or to none if no entry may get slots. It
// reports whether the assignment is known to be applied.
func (a *slotAssignment) give(ctx context.Context, in *structs.Instance, entry string) bool {
	if !a.propose(ctx, in.ID, proposedSlots{in.Incarnation, in.Assignment, entry, a.entries[entry].address}) {
		return false
	}
	a.count(in.Entry, -1)
	a.count(entry, 1)
	in.Entry = entry
	in.Assignment++
	return true
}

// fewest returns the entry that has the fewest instances, and of those the one
// with the fewest of the instance's service; empty if there is none.
func (a *slotAssignment) fewest(in *structs.Instance) string {
	best := ""
	for _, e := range slices.Sorted(maps.Keys(a.held)) {
		if best == "" || a.held[e] < a.held[best] || (a.held[e] == a.held[best] && a.ofService(e, in) < a.ofService(best, in)) {
			best = e
		}
	}
	return best
}

func (a *slotAssignment) ofService(entry string, in *structs.Instance) int {
	n := 0
	for i := range a.instances {
		if x := &a.instances[i]; x.Entry == entry && x.Team == in.Team && x.Service == in.Service {
			n++
		}
	}
	return n
}

// endEntries takes the slots from entries whose lease has surely run out. Such
// an entry gets no new lease until all its slots are known to be with others.
func (a *slotAssignment) endEntries(ctx context.Context) {
	names := map[string]bool{}
	for name := range a.entries {
		names[name] = true
	}
	for i := range a.instances {
		names[a.instances[i].Entry] = true
	}
	delete(names, "")
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if a.group.slots.BeginExpiry(name, a.since, a.now) {
			a.endEntry(ctx, name)
		}
	}
}

func (a *slotAssignment) endEntry(ctx context.Context, name string) {
	delete(a.entries, name)
	delete(a.held, name)
	all := true
	for i := range a.instances {
		if in := &a.instances[i]; in.Entry == name {
			all = a.give(ctx, in, a.fewest(in)) && all
		}
	}
	if all {
		a.group.holders.dropEntry(a.since, name)
		a.server.logger.Warn("entry lost its slots: its lease has run out", "step", "assign slots", "peer", name)
		a.group.slots.CompleteExpiry(name, a.since)
		return
	}
	// The end is taken up again at the next pass.
	a.group.holders.setEntry(a.since, name, "", true)
}

// finishReleases assigns the slots that entries have given back.
func (a *slotAssignment) finishReleases(ctx context.Context) {
	for i := range a.instances {
		in := &a.instances[i]
		if r, ok := a.group.holders.releaseOf(a.since, in); ok && r.done {
			a.give(ctx, in, a.fewest(in))
		}
	}
}

// assignFree assigns the slots that no entry holds.
func (a *slotAssignment) assignFree(ctx context.Context) {
	for i := range a.instances {
		in := &a.instances[i]
		if in.Entry != "" {
			continue
		}
		if entry := a.mayGet(in); entry != "" {
			a.give(ctx, in, entry)
		}
	}
}

// mayGet returns the entry that may get the free slots now. An instance that
// came back is given to its earlier holder, who knows of the new incarnation
// when it knows of the slots, or to another entry when that one's knowledge of
// the old incarnation has run out. A new leader does not know which instances
// came back, so it waits that long before it assigns any.
func (a *slotAssignment) mayGet(in *structs.Instance) string {
	r, returned := a.group.holders.earlier(a.since, in.ID)
	if a.now < a.since+lease.AddDriftMargin(lease.SlotDuration) {
		return ""
	}
	if !returned || r.entry == "" || (r.until > 0 && a.now >= r.until) {
		return a.fewest(in)
	}
	if _, live := a.held[r.entry]; live {
		return r.entry
	}
	return ""
}

// askDraining asks entries that shut down for their slots.
func (a *slotAssignment) askDraining() {
	for i := range a.instances {
		in := &a.instances[i]
		if e, ok := a.entries[in.Entry]; ok && e.draining {
			a.group.holders.ask(a.since, a.now, in)
		}
	}
}

// balance asks the entries with the most instances for some, to move them to the
// entries with the fewest.
func (a *slotAssignment) balance() {
	moving := a.moving()
	if len(a.held) < 2 || a.group.holders.quiet(a.since, a.now) {
		return
	}
	a.countMoves(moving)
	for range maxMoves - len(moving) {
		from, to := a.fullest(), a.fewest(&structs.Instance{})
		if a.held[from]-a.held[to] < 2 {
			return
		}
		in := a.movable(from, to)
		if in == nil {
			return
		}
		a.group.holders.ask(a.since, a.now, in)
		a.held[from]--
		a.held[to]++
	}
}

// countMoves counts as if the slots that are being given back, and those that no
// entry or one that shuts down holds, had been assigned.
func (a *slotAssignment) countMoves(moving []*structs.Instance) {
	for _, in := range moving {
		a.count(in.Entry, -1)
		a.count(a.fewest(in), 1)
	}
	for i := range a.instances {
		if _, ok := a.held[a.instances[i].Entry]; !ok {
			a.count(a.fewest(&a.instances[i]), 1)
		}
	}
}

// moving returns the instances that are being moved for balance, and gives up
// moves that take too long.
func (a *slotAssignment) moving() []*structs.Instance {
	h := a.group.holders
	var list []*structs.Instance
	for i := range a.instances {
		in := &a.instances[i]
		r, ok := h.releaseOf(a.since, in)
		if !ok || a.entries[in.Entry].draining {
			continue
		}
		if !r.done && a.now >= r.began+moveLimit {
			h.giveUp(a.since, a.now+moveQuiet, in)
			continue
		}
		list = append(list, in)
	}
	return list
}

func (a *slotAssignment) fullest() string {
	best := ""
	for _, e := range slices.Sorted(maps.Keys(a.held)) {
		if best == "" || a.held[e] > a.held[best] {
			best = e
		}
	}
	return best
}

// movable returns an instance of the entry's most numerous service, compared
// with the other entry, that is not being moved.
func (a *slotAssignment) movable(from, to string) *structs.Instance {
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
		if excess := a.ofService(from, in) - a.ofService(to, in); best == nil || excess > bestExcess {
			best, bestExcess = in, excess
		}
	}
	return best
}
