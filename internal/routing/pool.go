package routing

import (
	"container/list"
	"slices"
	"strings"
	"time"

	"laburnumgrade/gen/peerv1"
)

// pool holds the instances, remote entries and waiting calls of one service. The
// lock of its shard guards it.
type pool struct {
	table     *Table
	shard     *shard
	id        ServiceID
	instances []*instance
	remotes   map[string]*remote
	waiters   list.List // of *Ticket, in the order of arrival
	// meanServiceTime is the mean time to an answer; 0 if not known.
	meanServiceTime time.Duration
	budget          budget
}

// find returns the instance with the id and incarnation, or nil.
func (p *pool) find(id string, incarnation uint64) *instance {
	for _, in := range p.instances {
		if in.id == id && in.incarnation == incarnation {
			return in
		}
	}
	return nil
}

// inUseAt returns the incarnation of the instance at the address to which calls of this entry
// are in progress, the latest one if there are several, or nil.
func (p *pool) inUseAt(id, address string) *instance {
	var latest *instance
	for _, in := range p.instances {
		if in.id == id && in.address == address && in.inUse() > 0 && (latest == nil || in.incarnation > latest.incarnation) {
			latest = in
		}
	}
	return latest
}

// update replaces the instances of a data centre by the listed ones. Instances
// that are no longer listed are kept while calls of this entry use them.
func (p *pool) update(dataCentre string, list []*peerv1.Instance, requestedAt time.Duration) {
	listed := map[*instance]bool{}
	for _, m := range list {
		in := p.find(m.InstanceId, m.Incarnation)
		if in == nil {
			in = &instance{id: m.InstanceId, incarnation: m.Incarnation, earlier: p.inUseAt(m.InstanceId, m.Address)}
			p.instances = append(p.instances, in)
		}
		in.forgetEarlier()
		in.update(p.table.self, m, requestedAt)
		listed[in] = true
		p.updateRemote(in, dataCentre)
	}
	p.instances = slices.DeleteFunc(p.instances, func(in *instance) bool {
		if in.dataCentre == dataCentre && !listed[in] {
			in.listed = false
		}
		return !in.listed && in.used == 0
	})
	slices.SortFunc(p.instances, func(a, b *instance) int { return strings.Compare(a.id, b.id) })
	p.removeUnusedRemotes()
}

// updateRemote sets the data centre of the instance, and creates or updates the entry
// that grants its slots if that is another one.
func (p *pool) updateRemote(in *instance, dataCentre string) {
	in.dataCentre = dataCentre
	if in.local || in.entry == "" {
		return
	}
	r := p.remotes[in.entry]
	if r == nil {
		r = &remote{entry: in.entry}
		p.remotes[in.entry] = r
	}
	r.address = in.entryAddress
	r.sameDataCentre = dataCentre == p.table.dataCentre
}

// removeUnusedRemotes removes the entries that grant the slots of no instance.
func (p *pool) removeUnusedRemotes() {
	used := map[string]bool{}
	for _, in := range p.instances {
		used[in.entry] = true
	}
	for name := range p.remotes {
		if !used[name] {
			delete(p.remotes, name)
		}
	}
}

// usable reports whether this entry may grant the call a slot of the instance, if
// one is free.
func (p *pool) usable(in *instance, c *Call, now time.Duration) bool {
	if !in.local || in.releaseReported || now >= p.table.leaseEnd() || !in.eligible(c, now) {
		return false
	}
	return in.releaseNumber == 0 || p.table.draining.Load()
}

// choose returns a grant for the call, or, if none is possible now, how long the
// call is expected to wait; known is false if there is no estimate.
func (p *pool) choose(c *Call, now time.Duration) (g Grant, granted bool, wait time.Duration, known bool) {
	var best *instance
	var least time.Duration
	slots := 0
	for _, in := range p.instances {
		if !p.usable(in, c, now) {
			continue
		}
		slots += in.slots
		if in.inUse() >= in.slots {
			continue
		}
		if cost := in.cost(p.meanServiceTime, now); best == nil || cost < least {
			best, least = in, cost
		}
	}
	if best != nil {
		return p.grantLocal(best), true, 0, true
	}
	wait, known = p.localWait(slots)
	if c.Forwarded {
		return Grant{}, false, wait, known
	}
	r := p.bestRemote(c, now)
	if r == nil || (slots > 0 && r.expectedWait(now) >= wait) {
		return Grant{}, false, wait, known
	}
	if w := r.expectedWait(now); now+w > c.Deadline {
		return Grant{}, false, w, true
	}
	return p.grantRemote(r), true, 0, true
}

// localWait returns how long a new call is expected to wait for one of the slots,
// all of which are in use, behind the calls that already wait. It returns false if
// there is no estimate.
func (p *pool) localWait(slots int) (time.Duration, bool) {
	if slots == 0 || p.meanServiceTime == 0 {
		return 0, false
	}
	return p.meanServiceTime * time.Duration(p.waiters.Len()+1) / time.Duration(slots), true
}

// bestRemote returns the entry to which the call is best forwarded, or nil.
func (p *pool) bestRemote(c *Call, now time.Duration) *remote {
	for _, r := range p.remotes {
		r.slots = 0
	}
	for _, in := range p.instances {
		if r := p.remotes[in.entry]; r != nil && !in.local && in.eligible(c, now) {
			r.slots += in.slots
		}
	}
	var best *remote
	for _, r := range p.remotes {
		if r.slots == 0 || now < r.backoffUntil {
			continue
		}
		if best == nil || betterRemote(r, best, now) {
			best = r
		}
	}
	return best
}

// betterRemote reports whether a is preferred to b: by expected wait, then by the
// share of the slots that this entry's forwarded calls use, then by name.
func betterRemote(a, b *remote, now time.Duration) bool {
	if wa, wb := a.expectedWait(now), b.expectedWait(now); wa != wb {
		return wa < wb
	}
	if fa, fb := a.inFlight*b.slots, b.inFlight*a.slots; fa != fb {
		return fa < fb
	}
	return a.entry < b.entry
}

func (p *pool) grantLocal(in *instance) Grant {
	in.used++
	return Grant{
		Local: true, InstanceID: in.id, Incarnation: in.incarnation, Address: in.address, service: p.id, instance: in,
	}
}

func (p *pool) grantRemote(r *remote) Grant {
	r.inFlight++
	return Grant{Entry: r.entry, EntryAddress: r.address, service: p.id, remote: r}
}

// dispatch grants slots and forwards to the waiting calls in the order of arrival.
// Calls that exclude no instance differ only in whether they may be forwarded.
// Once such a call that may be forwarded cannot be granted, no later call can, so
// dispatch stops. Once such a call that was already forwarded cannot be granted,
// dispatch skips the later forwarded ones.
func (p *pool) dispatch(now time.Duration) {
	var blocked, forwardedBlocked bool
	for e := p.waiters.Front(); e != nil && !blocked; {
		next := e.Next()
		t := e.Value.(*Ticket)
		if t.call.Forwarded && forwardedBlocked {
			e = next
			continue
		}
		g, granted, _, _ := p.choose(&t.call, now)
		switch {
		case granted:
			p.removeWaiter(e, t)
			t.ready <- g
		case len(t.call.Tried) > 0:
		case t.call.Forwarded:
			forwardedBlocked = true
		default:
			blocked = true
		}
		e = next
	}
}

// removeWaiter removes a ticket from the waiting calls.
func (p *pool) removeWaiter(e *list.Element, t *Ticket) {
	p.waiters.Remove(e)
	t.waiting = false
	p.table.waitingCounter(p.id.Team).Add(-1)
}

// load returns the load of the instances whose slots this entry grants.
func (p *pool) load(now time.Duration) Load {
	l := Load{WaitingCalls: p.waiters.Len(), MeanServiceTime: p.meanServiceTime}
	slots := 0
	anyCall := &Call{}
	for _, in := range p.instances {
		if p.usable(in, anyCall, now) {
			slots += in.slots
			l.FreeSlots += max(in.slots-in.inUse(), 0)
		}
	}
	if l.FreeSlots <= 0 {
		l.FreeSlots = 0
		l.ExpectedWait, _ = p.localWait(slots)
	}
	return l
}
