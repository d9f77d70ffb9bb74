package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumgrade/gen/peerv1"
)

const (
	testLease        = 3 * time.Second
	announceInterval = 500 * time.Millisecond
	// announcementValidity is how long an instance gets calls after an announcement.
	announcementValidity = 2 * time.Second
	// departureLimit is the time after which a target that has left or stopped
	// announcing itself must get no calls.
	departureLimit = 3 * time.Second
)

// target is the actual state of an instance. The table receives it only through
// listings, which may be out of date.
type target struct {
	m *peerv1.Instance
	// goneAt is when it left or stopped announcing itself; -1 while it serves.
	goneAt time.Duration
	// silent is set if it stopped announcing itself without notice.
	silent bool
	// used is how many calls that this entry sent have not ended.
	used int
}

// announced returns the time of the last announcement that the leader received from
// the target.
func (x *target) announced(now time.Duration) time.Duration {
	if x.goneAt >= 0 && x.silent {
		now = min(now, x.goneAt)
	}
	return now - now%announceInterval
}

// model drives a table and checks its grants against the actual state.
type model struct {
	t        *rapid.T
	table    *Table
	now      time.Duration
	targets  []*target
	tickets  []*Ticket
	grants   []Grant
	leaseEnd time.Duration // when the slot leases expire
	// listed is the entry of each instance by the last listing that arrived.
	listed map[string]string
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, table: NewTable(Config{Self: "a", DataCentre: "x", MaxWaitingPerTeam: 20}), listed: map[string]string{}}
	for i := range rapid.IntRange(1, 4).Draw(t, "targets") {
		m.targets = append(m.targets, &target{goneAt: -1, m: &peerv1.Instance{
			InstanceId: fmt.Sprintf("i%d", i), Incarnation: 1, Team: "t", Service: "s", Address: "addr",
			Slots: int32(rapid.IntRange(1, 3).Draw(t, "slots")), Connections: int32(rapid.IntRange(1, 4).Draw(t, "connections")),
			Entry: rapid.SampledFrom([]string{"a", "a", "b", ""}).Draw(t, "entry"), EntryAddress: "b:1",
		}})
	}
	return m
}

// list requests a listing from the leader. The request may fail, and its answer is
// delayed.
func (m *model) list() {
	requestedAt := m.now
	m.now += time.Duration(rapid.IntRange(0, 300).Draw(m.t, "delay ms")) * time.Millisecond
	if rapid.IntRange(0, 3).Draw(m.t, "lost") == 0 {
		return
	}
	var list []*peerv1.Instance
	listed := map[string]string{}
	for _, x := range m.targets {
		valid := x.announced(requestedAt) + announcementValidity - requestedAt
		if valid <= 0 {
			continue
		}
		c := &peerv1.Instance{
			InstanceId: x.m.InstanceId, Incarnation: 1, Team: "t", Service: "s", Address: "addr", Slots: x.m.Slots,
			Connections: x.m.Connections, Entry: x.m.Entry, EntryAddress: x.m.EntryAddress, Release: x.m.Release,
			Leaving: x.goneAt >= 0 && !x.silent && x.goneAt+announceInterval <= requestedAt, ValidMs: valid.Milliseconds(),
		}
		list = append(list, c)
		listed[x.m.InstanceId] = x.m.Entry
	}
	lease := testLease * time.Duration(rapid.IntRange(0, 1).Draw(m.t, "lease"))
	if lease > 0 {
		m.leaseEnd = requestedAt + lease
	}
	m.listed = listed
	m.table.Update("x", list, requestedAt, lease, m.now)
	m.collect()
}

// submit submits a call, which may have been forwarded by another entry.
func (m *model) submit() {
	c := Call{Service: ServiceID{"t", "s"}, Deadline: m.now + 10*time.Second, Forwarded: rapid.Bool().Draw(m.t, "forwarded")}
	ticket, err := m.table.Submit(c, m.now)
	if err == nil {
		m.tickets = append(m.tickets, ticket)
	}
	m.collect()
}

// release ends one of the granted calls with an arbitrary result.
func (m *model) release() {
	if len(m.grants) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.grants)-1).Draw(m.t, "which")
	g := m.grants[i]
	m.grants = append(m.grants[:i], m.grants[i+1:]...)
	if g.Local {
		m.find(g.InstanceID).used--
	}
	result := rapid.SampledFrom([]Result{Answered, Answered, NoValidAnswer, NotSent, Unreachable}).Draw(m.t, "result")
	m.table.Release(g, Report{Result: result, Took: 20 * time.Millisecond}, m.now)
	m.collect()
}

func (m *model) find(id string) *target {
	for _, x := range m.targets {
		if x.m.InstanceId == id {
			return x
		}
	}
	m.t.Fatalf("grant of the unknown instance %q", id)
	return nil
}

// change alters the actual state: a target leaves or stops announcing itself, its
// slots are to be released, or it is assigned to another entry.
func (m *model) change() {
	x := rapid.SampledFrom(m.targets).Draw(m.t, "target")
	switch rapid.IntRange(0, 3).Draw(m.t, "change") {
	case 0:
		if x.goneAt < 0 {
			x.goneAt = m.now
			x.silent = rapid.Bool().Draw(m.t, "silent")
		}
	case 1:
		x.m.Release = uint64(rapid.IntRange(0, 3).Draw(m.t, "release"))
	case 2:
		x.m.Entry = rapid.SampledFrom([]string{"a", "b", ""}).Draw(m.t, "new entry")
	}
}

// advanceTime advances the clock and makes the table grant slots to waiting calls.
func (m *model) advanceTime() {
	m.now += time.Duration(rapid.IntRange(1, 1500).Draw(m.t, "pass ms")) * time.Millisecond
	m.table.GrantWaiting(m.now)
	m.collect()
}

// collect receives the new grants and checks each.
func (m *model) collect() {
	rest := m.tickets[:0]
	for _, ticket := range m.tickets {
		select {
		case g := <-ticket.Ready():
			m.check(ticket, g)
			m.grants = append(m.grants, g)
		default:
			rest = append(rest, ticket)
		}
	}
	m.tickets = rest
}

// check fails the test if the grant uses more slots than the instance has, or an
// instance, lease or assignment that is no longer valid.
func (m *model) check(ticket *Ticket, g Grant) {
	if !g.Local {
		if ticket.call.Forwarded {
			m.t.Fatalf("a forwarded call was forwarded again")
		}
		return
	}
	x := m.find(g.InstanceID)
	x.used++
	if limit := int(min(x.m.Slots, x.m.Connections)); x.used > limit {
		m.t.Fatalf("%d calls on instance %s with %d slots", x.used, g.InstanceID, limit)
	}
	if x.goneAt >= 0 && m.now > x.goneAt+departureLimit {
		m.t.Fatalf("instance %s got a call %v after it was gone (silent: %v)", g.InstanceID, m.now-x.goneAt, x.silent)
	}
	if m.now >= m.leaseEnd {
		m.t.Fatalf("a slot was granted at %v under a lease until %v", m.now, m.leaseEnd)
	}
	if m.listed[g.InstanceID] != "a" {
		m.t.Fatalf("a slot of instance %s was granted, which is assigned to %q", g.InstanceID, m.listed[g.InstanceID])
	}
}

// Guards against more calls than slots or connections, slots granted without a
// lease or an assignment, and calls to targets that left or stopped announcing
// themselves more than 3 s ago, under any sequence of lost and late listings,
// reassignments, failures and passing time.
func TestGrantsRespectSlotsLeasesAndAssignments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.list()
		t.Repeat(map[string]func(*rapid.T){
			"list":    func(*rapid.T) { m.list() },
			"submit":  func(*rapid.T) { m.submit() },
			"submit2": func(*rapid.T) { m.submit() },
			"release": func(*rapid.T) { m.release() },
			"change":  func(*rapid.T) { m.change() },
			"pass":    func(*rapid.T) { m.advanceTime() },
		})
	})
}

// Guards against starvation of a waiting call that later calls overtake: as slots
// become free, calls are granted in the order of arrival.
func TestWaitingCallsAreGrantedInOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Config{Self: "a", DataCentre: "x", MaxWaitingPerTeam: 1000})
		table.Update("x", []*peerv1.Instance{{InstanceId: "i", Incarnation: 1, Team: "t", Service: "s", Slots: 1, Entry: "a", ValidMs: 1 << 40}}, 0, time.Hour, 0)
		var waiting []*Ticket
		var held []Grant
		for step := range 200 {
			now := time.Duration(step) * time.Millisecond
			if rapid.Bool().Draw(t, "arrive") {
				ticket, err := table.Submit(Call{Service: ServiceID{"t", "s"}, Deadline: time.Hour, Forwarded: rapid.Bool().Draw(t, "forwarded")}, now)
				if err != nil {
					t.Fatal(err)
				}
				waiting = append(waiting, ticket)
			} else if len(held) > 0 {
				table.Release(held[0], Report{Result: Answered, Took: time.Millisecond}, now)
				held = held[1:]
			}
			for i, ticket := range waiting {
				select {
				case g := <-ticket.Ready():
					if i != 0 {
						t.Fatalf("call %d was granted before the one that waited longest", i)
					}
					held = append(held, g)
					waiting = waiting[1:]
				default:
				}
				break
			}
			for i, ticket := range waiting[min(1, len(waiting)):] {
				if len(ticket.Ready()) > 0 {
					t.Fatalf("call %d was granted before the one that waited longest", i+1)
				}
			}
		}
	})
}

// Guards against retries that multiply the load of a failing service: they stay
// within a tenth of the successes.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Config{Self: "a"})
		id := ServiceID{"t", "s"}
		successes, retries := 0, 0
		for range rapid.IntRange(0, 3000).Draw(t, "calls") {
			if rapid.IntRange(0, 3).Draw(t, "outcome") > 0 {
				table.RecordSuccess(id)
				successes++
			} else if table.TakeRetry(id) {
				retries++
			}
			if retries*10 > successes {
				t.Fatalf("%d retries for %d successes", retries, successes)
			}
		}
	})
}

// Guards against one team that uses the whole capacity of an entry: a team within
// its share is admitted while the reserve lasts, and the limit is never exceeded.
func TestAdmissionKeepsReserveForTeamsWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 64
		a := NewAdmission(limit)
		shares := map[string]int64{"p": 1, "q": 2, "r": 5}
		calls := map[string]int{}
		total := 0
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				team := rapid.SampledFrom([]string{"p", "p", "p", "q", "r"}).Draw(t, "team")
				err := a.Enter(team, shares[team])
				within := int64(calls[team])*8 < limit*shares[team]
				if err != nil && within && total < limit {
					t.Fatalf("team %s within its share was refused: %v", team, err)
				}
				if err == nil {
					calls[team]++
					total++
				}
				if total > limit {
					t.Fatalf("%d calls were admitted", total)
				}
				if err == nil && !within && total > limit-limit/reserveDivisor+1 && len(calls) == 3 {
					active := calls["p"] > 0 && calls["q"] > 0 && calls["r"] > 0
					if active {
						t.Fatalf("team %s beyond its share took the reserve", team)
					}
				}
			},
			"leave": func(t *rapid.T) {
				team := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "team")
				if calls[team] > 0 {
					a.Leave(team)
					calls[team]--
					total--
				}
			},
		})
	})
}
