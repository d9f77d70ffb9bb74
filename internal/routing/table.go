package routing

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumgrade/gen/peerv1"
)

// shardCount is a power of two; services are spread over the shards by hash.
const shardCount = 32

type shard struct {
	mu    sync.Mutex
	pools map[ServiceID]*pool
}

// Config configures a Table.
type Config struct {
	// Self is the name of the entry, DataCentre its data centre.
	Self       string
	DataCentre string
	// MaxWaitingPerTeam bounds the calls of one team that wait in this entry.
	MaxWaitingPerTeam int
}

// Table holds the instances of all data centres. Its methods may be called
// concurrently.
type Table struct {
	self       string
	dataCentre string
	teamQueue  int64
	shards     [shardCount]shard
	// expires is when this entry's slot leases run out, a time.Duration.
	expires  atomic.Int64
	draining atomic.Bool
	// teams holds the number of waiting calls by team, as *atomic.Int64.
	teams sync.Map
}

// NewTable returns an empty table.
func NewTable(c Config) *Table {
	t := &Table{self: c.Self, dataCentre: c.DataCentre, teamQueue: int64(c.MaxWaitingPerTeam)}
	for i := range t.shards {
		t.shards[i].pools = map[ServiceID]*pool{}
	}
	return t
}

func (t *Table) leaseEnd() time.Duration { return time.Duration(t.expires.Load()) }

func (t *Table) waiting(team string) *atomic.Int64 {
	n, ok := t.teams.Load(team)
	if !ok {
		n, _ = t.teams.LoadOrStore(team, new(atomic.Int64))
	}
	return n.(*atomic.Int64)
}

func (t *Table) shard(id ServiceID) *shard {
	h := xxhash.Sum64String(id.Team) ^ xxhash.Sum64String(id.Service)*31
	return &t.shards[h%shardCount]
}

// pool returns the pool of a service; the shard is locked.
func (s *shard) pool(t *Table, id ServiceID) *pool {
	p := s.pools[id]
	if p == nil {
		p = &pool{table: t, shard: s, id: id, remotes: map[string]*remote{}}
		s.pools[id] = p
	}
	return p
}

// Update replaces the instances of a data centre by what its leader listed, and
// grants what has become possible. Times count from asked, when the question
// was sent. A positive lease renews this entry's slot leases.
func (t *Table) Update(dataCentre string, listed []*peerv1.Instance, asked, lease, now time.Duration) {
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
		t.shards[i].update(t, dataCentre, byShard[&t.shards[i]], asked)
	}
	// The lease covers the assignments of this listing only, so it is renewed
	// after they have replaced the earlier ones.
	if lease > 0 && asked+lease > t.leaseEnd() {
		t.expires.Store(int64(asked + lease))
	}
	t.GrantWaiting(now)
}

func (s *shard) update(t *Table, dataCentre string, listed map[ServiceID][]*peerv1.Instance, asked time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range listed {
		s.pool(t, id)
	}
	for id, p := range s.pools {
		p.update(dataCentre, listed[id], asked)
	}
}

// GrantWaiting grants what the passing of time has made possible.
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

// Submit grants the call a slot or a forward, lets it wait, or refuses it. The
// error is a Refusal.
func (t *Table) Submit(c Call, now time.Duration) (*Ticket, error) {
	s := t.shard(c.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(t, c.Service)
	ticket := &Ticket{call: c, ready: make(chan Grant, 1), pool: p}
	if now >= c.Deadline {
		return nil, Refusal("the deadline has passed")
	}
	if len(c.Tried) > 0 && !p.another(&c, now) {
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
	n := t.waiting(c.Service.Team)
	if n.Add(1) > t.teamQueue {
		n.Add(-1)
		return nil, Refusal(fmt.Sprintf("team %s has %d calls waiting in this entry, its limit", c.Service.Team, t.teamQueue))
	}
	ticket.waiting = true
	p.waiters.PushBack(ticket)
	return ticket, nil
}

// another reports whether an instance that was not tried exists.
func (p *pool) another(c *Call, now time.Duration) bool {
	for _, in := range p.instances {
		if in.entry != "" && in.eligible(c, now) && (in.local || !c.Forwarded) {
			return true
		}
	}
	return false
}

// Cancel withdraws a waiting call. It returns false if the call was granted: the
// grant is in the ticket and must be released.
func (t *Table) Cancel(ticket *Ticket) bool {
	s := ticket.pool.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ticket.waiting {
		return false
	}
	for e := ticket.pool.waiters.Front(); e != nil; e = e.Next() {
		if e.Value.(*Ticket) == ticket {
			ticket.pool.leave(e, ticket)
			break
		}
	}
	return true
}

// Release ends the use of a grant and hands its slot to the next call.
func (t *Table) Release(g Grant, r Report, now time.Duration) {
	s := t.shard(g.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(t, g.service)
	if g.Local {
		g.instance.used--
		g.instance.learn(r, now)
	} else {
		g.remote.outstanding--
		g.remote.learn(r, now)
	}
	if g.Local && r.Result == Answered {
		p.service = blend(p.service, r.Took, poolWeight)
	}
	p.dispatch(now)
}

// Load returns how busy the service's instances with slots handed out here are.
func (t *Table) Load(id ServiceID, now time.Duration) Load {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(t, id).load(now)
}

// RecordSuccess adds a success to the retry budget of a service.
func (t *Table) RecordSuccess(id ServiceID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(t, id).budget.succeed()
}

// TakeRetry takes one retry from the budget of a service, if it has one.
func (t *Table) TakeRetry(id ServiceID) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(t, id).budget.take()
}

// Drain lets the slots that the leader asks back serve the calls that wait
// already, since no new ones are accepted.
func (t *Table) Drain() { t.draining.Store(true) }

// CompletedReleases returns the numbers of the releases that are complete: no call of
// this entry uses the instance and none will.
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

func (p *pool) released() []uint64 {
	var numbers []uint64
	for _, in := range p.instances {
		if !in.local || in.release == 0 || in.used > 0 {
			continue
		}
		if p.table.draining.Load() && p.waiters.Len() > 0 && !in.given {
			continue
		}
		in.given = true
		numbers = append(numbers, in.release)
	}
	return numbers
}

// HeldInstances returns the number of instances whose slots this entry hands out, and
// the number that it is asked to give back.
func (t *Table) HeldInstances() (held, asked int) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, p := range s.pools {
			for _, in := range p.instances {
				if in.listed && in.local {
					held++
					if in.release != 0 {
						asked++
					}
				}
			}
		}
		s.mu.Unlock()
	}
	return held, asked
}
