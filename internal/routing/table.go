package routing

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumgrade/gen/peerv1"
)

// shardCount is how many locks the services are divided between, by hash. It is a
// power of two.
const shardCount = 32

type shard struct {
	mu    sync.Mutex
	pools map[ServiceID]*pool
}

// Config configures a Table.
type Config struct {
	// Self is the name of this entry and DataCentre its data centre.
	Self       string
	DataCentre string
	// MaxWaitingPerTeam is how many calls of one team may wait in this entry.
	MaxWaitingPerTeam int
}

// Table grants slots of instances to calls. It holds the instances of all data
// centres and the calls that wait. Its methods may be called concurrently.
type Table struct {
	self              string
	dataCentre        string
	maxWaitingPerTeam int64
	shards            [shardCount]shard
	// leaseExpiry is when this entry's slot leases expire, as a time.Duration. After
	// that the entry grants no slots.
	leaseExpiry atomic.Int64
	draining    atomic.Bool
	// waitingByTeam holds the number of waiting calls of each team, as
	// *atomic.Int64.
	waitingByTeam sync.Map
}

// NewTable returns an empty table.
func NewTable(c Config) *Table {
	t := &Table{self: c.Self, dataCentre: c.DataCentre, maxWaitingPerTeam: int64(c.MaxWaitingPerTeam)}
	for i := range t.shards {
		t.shards[i].pools = map[ServiceID]*pool{}
	}
	return t
}

// leaseEnd returns when this entry's slot leases expire.
func (t *Table) leaseEnd() time.Duration { return time.Duration(t.leaseExpiry.Load()) }

// waitingCounter returns the counter of the team's waiting calls.
func (t *Table) waitingCounter(team string) *atomic.Int64 {
	n, ok := t.waitingByTeam.Load(team)
	if !ok {
		n, _ = t.waitingByTeam.LoadOrStore(team, new(atomic.Int64))
	}
	return n.(*atomic.Int64)
}

func (t *Table) shard(id ServiceID) *shard {
	h := xxhash.Sum64String(id.Team) ^ xxhash.Sum64String(id.Service)*31
	return &t.shards[h%shardCount]
}

// pool returns the pool of a service and creates it if needed. The caller holds the
// lock of the shard.
func (s *shard) pool(t *Table, id ServiceID) *pool {
	p := s.pools[id]
	if p == nil {
		p = &pool{table: t, shard: s, id: id, remotes: map[string]*remote{}}
		s.pools[id] = p
	}
	return p
}

// Update replaces the instances of a data centre by those that its leader listed,
// and grants slots to waiting calls. The validity of the instances and the lease
// count from requestedAt, when the listing was requested. A positive lease renews this
// entry's slot leases.
func (t *Table) Update(dataCentre string, listed []*peerv1.Instance, requestedAt, lease, now time.Duration) {
	byShard := map[*shard]map[ServiceID][]*peerv1.Instance{}
	for _, m := range listed {
		id := ServiceID{m.Team, m.Service}
		s := t.shard(id)
		if byShard[s] == nil {
			byShard[s] = map[ServiceID][]*peerv1.Instance{}
		}
		byShard[s][id] = append(byShard[s][id], m)
	}
	for i := range t.shards {
		t.shards[i].update(t, dataCentre, byShard[&t.shards[i]], requestedAt)
	}
	// The lease is valid for the assignments of this listing only, so it is renewed
	// after they have replaced the earlier ones.
	if lease > 0 && requestedAt+lease > t.leaseEnd() {
		t.leaseExpiry.Store(int64(requestedAt + lease))
	}
	t.GrantWaiting(now)
}

func (s *shard) update(t *Table, dataCentre string, listed map[ServiceID][]*peerv1.Instance, requestedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range listed {
		s.pool(t, id)
	}
	for id, p := range s.pools {
		p.update(dataCentre, listed[id], requestedAt)
	}
}

// GrantWaiting grants slots to the waiting calls of all services where possible. It
// must be called regularly, since no event occurs at the end of a backoff.
func (t *Table) GrantWaiting(now time.Duration) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, p := range s.pools {
			p.dispatch(now)
		}
		s.mu.Unlock()
	}
}

// Submit grants the call, queues it, or refuses it. A grant is delivered by the
// channel of the ticket. The error is a Refusal.
func (t *Table) Submit(c Call, now time.Duration) (*Ticket, error) {
	s := t.shard(c.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(t, c.Service)
	ticket := &Ticket{call: c, ready: make(chan Grant, 1), pool: p}
	if now >= c.Deadline {
		return nil, Refusal("the deadline has passed")
	}
	if len(c.Tried) > 0 && !p.hasUntriedInstance(&c, now) {
		return nil, Refusal(fmt.Sprintf("no other instance of %s/%s is available", c.Service.Team, c.Service.Service))
	}
	g, granted, wait, known := p.choose(&c, now)
	if granted {
		ticket.ready <- g
		return ticket, nil
	}
	if known && now+wait > c.Deadline {
		return nil, Refusal(fmt.Sprintf("the expected wait of %v for a slot of %s/%s exceeds the deadline, which is in %v",
			wait.Round(time.Millisecond), c.Service.Team, c.Service.Service, (c.Deadline - now).Round(time.Millisecond)))
	}
	n := t.waitingCounter(c.Service.Team)
	if n.Add(1) > t.maxWaitingPerTeam {
		n.Add(-1)
		return nil, Refusal(fmt.Sprintf("team %s has %d calls waiting in this entry, its limit", c.Service.Team, t.maxWaitingPerTeam))
	}
	ticket.waiting = true
	p.waiters.PushBack(ticket)
	return ticket, nil
}

// hasUntriedInstance reports whether there is an eligible instance that the call
// does not exclude.
func (p *pool) hasUntriedInstance(c *Call, now time.Duration) bool {
	for _, in := range p.instances {
		if in.entry != "" && in.eligible(c, now) && (in.local || !c.Forwarded) {
			return true
		}
	}
	return false
}

// Cancel removes a waiting call. It returns false if the call was already granted:
// the caller must then receive the grant from the ticket and release it.
func (t *Table) Cancel(ticket *Ticket) bool {
	s := ticket.pool.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ticket.waiting {
		return false
	}
	for e := ticket.pool.waiters.Front(); e != nil; e = e.Next() {
		if e.Value.(*Ticket) == ticket {
			ticket.pool.removeWaiter(e, ticket)
			break
		}
	}
	return true
}

// Release ends the use of a grant, updates the estimates and backoffs by its report,
// and grants slots to waiting calls of the service.
func (t *Table) Release(g Grant, r Report, now time.Duration) {
	s := t.shard(g.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(t, g.service)
	if g.Local {
		g.instance.used--
		g.instance.recordReport(r, now)
	} else {
		g.remote.inFlight--
		g.remote.recordReport(r, now)
	}
	if g.Local && r.Result == Answered {
		p.meanServiceTime = movingAverage(p.meanServiceTime, r.Took, serviceSampleWeight)
	}
	p.dispatch(now)
}

// Load returns the load of the service's instances whose slots this entry grants.
func (t *Table) Load(id ServiceID, now time.Duration) Load {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(t, id).load(now)
}

// RecordSuccess adds to the retry budget of a service after a successful call; ten
// successes allow one retry.
func (t *Table) RecordSuccess(id ServiceID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(t, id).budget.recordSuccess()
}

// TakeRetry takes one retry from the budget of a service. It returns false if the
// budget does not suffice.
func (t *Table) TakeRetry(id ServiceID) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(t, id).budget.take()
}

// Drain makes the table continue to grant the slots that the leader asks this entry to
// release until the calls that already wait have been granted. The entry calls it when
// it stops accepting calls.
func (t *Table) Drain() { t.draining.Store(true) }

// CompletedReleases returns the numbers of the releases that are complete: no call
// of this entry uses the instance, and the entry grants no more of its slots.
func (t *Table) CompletedReleases() []uint64 {
	var numbers []uint64
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, p := range s.pools {
			numbers = append(numbers, p.released()...)
		}
		s.mu.Unlock()
	}
	return numbers
}

// released returns the completed releases of one service and marks them as
// reported.
func (p *pool) released() []uint64 {
	var numbers []uint64
	for _, in := range p.instances {
		if !in.local || in.releaseNumber == 0 || in.inUse() > 0 {
			continue
		}
		if p.table.draining.Load() && p.waiters.Len() > 0 && !in.releaseReported {
			continue
		}
		in.releaseReported = true
		numbers = append(numbers, in.releaseNumber)
	}
	return numbers
}

// HeldInstances returns the number of instances whose slots this entry grants, and
// how many of these the leader asks this entry to release.
func (t *Table) HeldInstances() (held, releasing int) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, p := range s.pools {
			for _, in := range p.instances {
				if in.listed && in.local {
					held++
					if in.releaseNumber != 0 {
						releasing++
					}
				}
			}
		}
		s.mu.Unlock()
	}
	return held, releasing
}
