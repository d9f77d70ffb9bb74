package routing

import (
	"container/list"
	"slices"
	"strings"
	"time"

	"laburnumgrade/gen/peerv1"
)

// pool is what the table knows of one service. The lock of its shard covers it.
type pool struct {
	table     *Table
	shard     *shard
	id        ServiceID
	instances []*instance
	remotes   map[string]*remote
	waiters   list.List
	service   time.Duration
	budget    budget
}

func (p *pool) find(id string, incarnation uint64) *instance {
	for _, in := range p.instances {
		if in.id == id && in.incarnation == incarnation {
			return in
		}
	}
	return nil
}

// update replaces the instances of a data centre.
func (p *pool) update(dataCentre string, list []*peerv1.Instance, asked time.Duration) {
	listed := map[*instance]bool{}
	for _, m := range list {
		in := p.find(m.InstanceId, m.Incarnation)
		if in == nil {
			in = &instance{id: m.InstanceId, incarnation: m.Incarnation}
			p.instances = append(p.instances, in)
		}
		in.update(p.table.self, m, asked)
		listed[in] = true
		p.noteRemote(in, dataCentre)
	}
	p.instances = slices.DeleteFunc(p.instances, func(in *instance) bool {
		if in.dataCentre == dataCentre && !listed[in] {
			in.listed = false
		}
		return !in.listed && in.used == 0
	})
	slices.SortFunc(p.instances, func(a, b *instance) int { return strings.Compare(a.id, b.id) })
	p.forgetRemotes()
}

func (p *pool) noteRemote(in *instance, dataCentre string) {
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
	r.near = dataCentre == p.table.dataCentre
}

func (p *pool) forgetRemotes() {
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

// usable reports whether this entry may hand out a slot of the instance to the
// call, if one is free.
func (p *pool) usable(in *instance, c *Call, now time.Duration) bool {
	if !in.local || in.given || now >= p.table.leaseEnd() || !in.eligible(c, now) {
		return false
	}
	return in.release == 0 || p.table.draining.Load()
}

// choose decides about a call: a grant, or how long it is expected to wait here.
func (p *pool) choose(c *Call, now time.Duration) (g Grant, granted bool, wait time.Duration, known bool) {
	var best *instance
	var least time.Duration
	slots := 0
	for _, in := range p.instances {
		if !p.usable(in, c, now) {
			continue
		}
		slots += in.slots
		if in.used >= in.slots {
			continue
		}
		if cost := in.cost(p.service, now); best == nil || cost < least {
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
	if r == nil || (slots > 0 && r.wait(now) >= wait) {
		return Grant{}, false, wait, known
	}
	if w := r.wait(now); now+w > c.Deadline {
		return Grant{}, false, w, true
	}
	return p.grantRemote(r), true, 0, true
}

// localWait returns the expected wait for one of the slots, all of which are
// taken, behind the calls that wait already.
func (p *pool) localWait(slots int) (time.Duration, bool) {
	if slots == 0 || p.service == 0 {
		return 0, false
	}
	return p.service * time.Duration(p.waiters.Len()+1) / time.Duration(slots), true
}

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
		if r.slots == 0 || now < r.avoidUntil {
			continue
		}
		if best == nil || betterRemote(r, best, now) {
			best = r
		}
	}
	return best
}

// betterRemote orders by expected wait, then by the share of the slots that this
// entry's forwards fill, then by name.
func betterRemote(a, b *remote, now time.Duration) bool {
	if wa, wb := a.wait(now), b.wait(now); wa != wb {
		return wa < wb
	}
	if fa, fb := a.outstanding*b.slots, b.outstanding*a.slots; fa != fb {
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
	r.outstanding++
	return Grant{Entry: r.entry, EntryAddress: r.address, service: p.id, remote: r}
}

// dispatch grants what it can to the waiting calls, in the order of arrival.
// Calls without tried instances differ only in whether they may be forwarded, so
// once one of a kind cannot be granted, no later one of that kind can.
func (p *pool) dispatch(now time.Duration) {
	var stuck, stuckForwarded bool
	for e := p.waiters.Front(); e != nil && !stuck; {
		next := e.Next()
		t := e.Value.(*Ticket)
		if t.call.Forwarded && stuckForwarded {
			e = next
			continue
		}
		g, granted, _, _ := p.choose(&t.call, now)
		switch {
		case granted:
			p.leave(e, t)
			t.ready <- g
		case len(t.call.Tried) > 0:
		case t.call.Forwarded:
			stuckForwarded = true
		default:
			stuck = true
		}
		e = next
	}
}

func (p *pool) leave(e *list.Element, t *Ticket) {
	p.waiters.Remove(e)
	t.waiting = false
	p.table.waiting(p.id.Team).Add(-1)
}

// load returns how busy the instances whose slots are handed out here are.
func (p *pool) load(now time.Duration) Load {
	l := Load{WaitingCalls: p.waiters.Len(), MeanServiceTime: p.service}
	slots := 0
	none := &Call{}
	for _, in := range p.instances {
		if p.usable(in, none, now) {
			slots += in.slots
			l.FreeSlots += in.slots - in.used
		}
	}
	if l.FreeSlots <= 0 {
		l.FreeSlots = 0
		l.ExpectedWait, _ = p.localWait(slots)
	}
	return l
}
