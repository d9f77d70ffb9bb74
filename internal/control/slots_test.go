package control

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/routing"
)

// TestMain fixes the seed of rapid, so that a verdict can be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20260101", "rapid.nofailfile": "true", "rapid.checks": "300", "rapid.steps": "150"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// testClock is moved by the test.
type testClock struct{ now time.Duration }

func (c *testClock) Now() time.Duration { return c.now }

var errNotKnown = errors.New("the outcome is not known")

// testLog is a log whose proposals may end with an unknown outcome: applied, or
// applied before the next command, or never.
type testLog struct {
	group   *DataCentreGroup
	since   time.Duration
	index   uint64
	delayed [][]byte
	// fate chooses what happens to a proposal; nil applies it.
	fate func() int
}

const (
	fateApplied = iota
	fateUnknownApplied
	fateUnknownDelayed
	fateUnknownLost
	fateCount
)

func (l *testLog) apply(command []byte) any {
	l.index++
	return l.group.Store.Apply(l.index, command)
}

func (l *testLog) flush() {
	for _, c := range l.delayed {
		l.apply(c)
	}
	l.delayed = nil
}

// commitOne applies the first command that is under way.
func (l *testLog) commitOne() {
	if len(l.delayed) > 0 {
		l.apply(l.delayed[0])
		l.delayed = l.delayed[1:]
	}
}

func (l *testLog) Propose(_ context.Context, command []byte) (any, error) {
	fate := fateApplied
	if l.fate != nil {
		fate = l.fate()
	}
	switch fate {
	case fateUnknownApplied:
		l.flush()
		l.apply(command)
		return nil, errNotKnown
	case fateUnknownDelayed:
		l.delayed = append(l.delayed, command)
		return nil, errNotKnown
	case fateUnknownLost:
		return nil, errNotKnown
	}
	l.flush()
	return l.apply(command), nil
}

func (l *testLog) Lease() (time.Duration, bool) { return l.since, true }
func (l *testLog) Leader() (string, string)     { return "c", "c:1" }

// testEntry is an entry with its real table and its questions under way.
type testEntry struct {
	name     string
	table    *routing.Table
	draining bool
	// asked holds a question that the leader has not received.
	asked  *peerv1.ListInstancesRequest
	askedA time.Duration
	// reply holds an answer that the entry has not received.
	reply  *peerv1.ListInstancesResponse
	replyA time.Duration
	calls  []routing.Grant
}

type slotModel struct {
	clock    *testClock
	log      *testLog
	group    *DataCentreGroup
	server   *Server
	dc       *DataCentreServer
	entries  []*testEntry
	restarts int
	versions map[string]uint64
}

func newSlotModel(entries int) *slotModel {
	m := &slotModel{clock: &testClock{}, versions: map[string]uint64{}}
	m.group = NewDataCentreGroup("x")
	m.log = &testLog{group: m.group}
	m.group.Log = m.log
	m.server = &Server{clock: m.clock, logger: slog.New(slog.DiscardHandler), groups: map[string]*DataCentreGroup{"x": m.group}}
	m.dc = &DataCentreServer{m.server}
	for i := range entries {
		m.entries = append(m.entries, newTestEntry(fmt.Sprintf("e%d", i)))
	}
	return m
}

func newTestEntry(name string) *testEntry {
	return &testEntry{name: name, table: routing.NewTable(routing.Config{Self: name, DataCentre: "x", TeamQueue: 10})}
}

func (m *slotModel) announce(id string, incarnation uint64) {
	_, _ = m.dc.Announce(context.Background(), &apiv1.AnnounceRequest{
		InstanceId: id, Incarnation: incarnation, DataCentre: "x", Team: "t", Service: "s", Address: "addr-" + id, Slots: 8, Connections: 64,
	})
}

func (m *slotModel) announceAll() {
	for id, v := range m.versions {
		m.announce(id, v)
	}
}

func (m *slotModel) assign() {
	m.server.assignSlots(context.Background(), m.group, m.log.since, m.clock.now)
}

func (m *slotModel) ask(e *testEntry) {
	e.asked = &peerv1.ListInstancesRequest{DataCentre: "x", Entry: e.name, EntryAddress: e.name + ":1", Draining: e.draining, Released: e.table.Released()}
	e.askedA = m.clock.now
}

func (m *slotModel) serve(e *testEntry) {
	if e.asked == nil {
		return
	}
	reply, err := m.dc.ListInstances(context.Background(), e.asked)
	if err == nil {
		e.reply, e.replyA = reply, e.askedA
	}
	e.asked = nil
}

func (m *slotModel) receive(e *testEntry) {
	if e.reply == nil {
		return
	}
	e.table.Update("x", e.reply.Instances, e.replyA, time.Duration(e.reply.LeaseMs)*time.Millisecond, m.clock.now)
	e.reply = nil
}

// list is a whole exchange without delay.
func (m *slotModel) list() {
	for _, e := range m.entries {
		m.exchange(e)
	}
}

func (m *slotModel) exchange(e *testEntry) {
	m.ask(e)
	m.serve(e)
	m.receive(e)
}

// grant makes one call in the entry; it returns false if no slot is had here.
func (m *slotModel) grant(e *testEntry, tried []string) (routing.Grant, bool) {
	ticket, err := e.table.Submit(routing.Call{
		Service: routing.ServiceID{Team: "t", Service: "s"}, Deadline: m.clock.now + time.Hour, Forwarded: true, Tried: tried,
	}, m.clock.now)
	if err != nil || e.table.Cancel(ticket) {
		return routing.Grant{}, false
	}
	return <-ticket.Ready(), true
}

// holders returns the entries that would use slots now, by address. Incarnations
// of an instance share an address.
func (m *slotModel) holders() map[string][]string {
	holders := map[string][]string{}
	for _, e := range m.entries {
		var tried []string
		for {
			g, ok := m.grant(e, tried)
			if !ok {
				break
			}
			e.table.Release(g, routing.Report{}, m.clock.now)
			holders[g.Address] = append(holders[g.Address], e.name)
			tried = append(tried, g.InstanceID)
		}
	}
	return holders
}

// pause stops an entry for longer than its lease while the others go on.
func (m *slotModel) pause(t *rapid.T, paused *testEntry) {
	for range 8 {
		m.clock.now += 400 * time.Millisecond
		m.announceAll()
		for _, e := range m.entries {
			if e != paused {
				m.exchange(e)
			}
		}
		if rapid.Bool().Draw(t, "pass of the leader") {
			m.assign()
		}
	}
}

// lead starts a new leadership, after what was in the log has been applied.
func (m *slotModel) lead() {
	m.log.flush()
	m.log.since = m.clock.now
}

// TestOneHolder guards against two entries that use the slots of one instance at
// once, under lost and late questions and answers, pauses of entries, drains,
// restarts of instances, changes of the leader, and proposals whose outcome is
// not known.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSlotModel(3)
		for i := range 4 {
			m.versions[fmt.Sprintf("i%d", i)] = 1
		}
		m.settle(4 * time.Second)
		m.log.fate = func() int {
			if rapid.IntRange(0, 3).Draw(t, "unknown") > 0 {
				return fateApplied
			}
			return rapid.IntRange(1, fateCount-1).Draw(t, "fate")
		}
		entry := func(t *rapid.T) *testEntry { return rapid.SampledFrom(m.entries).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"ask":     func(t *rapid.T) { m.ask(entry(t)) },
			"serve":   func(t *rapid.T) { m.serve(entry(t)) },
			"receive": func(t *rapid.T) { m.receive(entry(t)) },
			"list":    func(t *rapid.T) { m.exchange(entry(t)) },
			"list2":   func(t *rapid.T) { m.exchange(entry(t)) },
			"list3":   func(t *rapid.T) { m.exchange(entry(t)) },
			"assign":  func(*rapid.T) { m.assign() },
			"announce": func(t *rapid.T) {
				id := fmt.Sprintf("i%d", rapid.IntRange(0, 3).Draw(t, "instance"))
				if rapid.IntRange(0, 2).Draw(t, "restart") == 0 {
					m.versions[id]++
				}
				m.announce(id, m.versions[id])
			},
			"call": func(t *rapid.T) {
				e := entry(t)
				if g, ok := m.grant(e, nil); ok {
					e.calls = append(e.calls, g)
				}
			},
			"end": func(t *rapid.T) {
				e := entry(t)
				for _, g := range e.calls {
					e.table.Release(g, routing.Report{Result: routing.Answered}, m.clock.now)
				}
				e.calls = nil
			},
			"drain": func(t *rapid.T) {
				if e := entry(t); rapid.IntRange(0, 3).Draw(t, "drain") == 0 {
					e.draining = true
					e.table.Drain()
				}
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					m.restarts++
					m.entries[rapid.IntRange(0, 2).Draw(t, "which")] = newTestEntry(fmt.Sprintf("r%d", m.restarts))
				}
			},
			"lead":   func(*rapid.T) { m.lead() },
			"commit": func(*rapid.T) { m.log.commitOne() },
			"pause":  func(t *rapid.T) { m.pause(t, entry(t)) },
			"pass": func(t *rapid.T) {
				m.clock.now += time.Duration(rapid.IntRange(1, 1200).Draw(t, "pass ms")) * time.Millisecond
				m.announceAll()
			},
			"": func(t *rapid.T) {
				for address, names := range m.holders() {
					if len(names) > 1 {
						t.Fatalf("at %v the slots of %s are used by %v", m.clock.now, address, names)
					}
				}
			},
		})
	})
}

// settle lets the system run for a time without faults.
func (m *slotModel) settle(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		m.clock.now += 100 * time.Millisecond
		m.announceAll()
		m.list()
		m.assign()
	}
}

func (m *slotModel) held() map[string]int {
	held := map[string]int{}
	for _, in := range m.group.Store.Instances() {
		held[in.Entry]++
	}
	return held
}

// TestSpread guards against slots that stay without an entry, with a dead or
// draining one, or heaped on one entry.
func TestSpread(t *testing.T) {
	cases := []struct {
		name   string
		change func(m *slotModel)
		within time.Duration
		want   map[string]int
	}{
		{"start", func(*slotModel) {}, 3200 * time.Millisecond, map[string]int{"e0": 5, "e1": 5}},
		{"entry dies", func(m *slotModel) { m.settle(5 * time.Second); m.entries = m.entries[:1] }, 3300 * time.Millisecond, map[string]int{"e0": 10}},
		{"entry drains", func(m *slotModel) {
			m.settle(5 * time.Second)
			m.entries[1].draining = true
			m.entries[1].table.Drain()
		}, 500 * time.Millisecond, map[string]int{"e0": 10}},
		{"entry joins", func(m *slotModel) { m.settle(5 * time.Second); m.entries = append(m.entries, newTestEntry("e2")) }, time.Second, map[string]int{"e0": 3, "e1": 4, "e2": 3}},
		{"entry pauses and returns", func(m *slotModel) {
			m.settle(5 * time.Second)
			paused := m.entries[1]
			m.entries = m.entries[:1]
			m.settle(4 * time.Second)
			m.entries = append(m.entries, paused)
		}, time.Second, map[string]int{"e0": 5, "e1": 5}},
		{"leader changes", func(m *slotModel) { m.settle(5 * time.Second); m.lead() }, 100 * time.Millisecond, map[string]int{"e0": 5, "e1": 5}},
		{"instance restarts", func(m *slotModel) { m.settle(5 * time.Second); m.versions["i3"]++ }, 200 * time.Millisecond, map[string]int{"e0": 5, "e1": 5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newSlotModel(2)
			for i := range 10 {
				m.versions[fmt.Sprintf("i%d", i)] = 1
			}
			c.change(m)
			m.settle(c.within)
			assert.DeepEqual(t, m.held(), c.want)
			assert.Equal(t, len(m.holders()), 10)
		})
	}
}

// TestNewLeaderWaits guards against a new leader that gives the slots of a dead
// entry away while the lease that an earlier leader granted may still run.
func TestNewLeaderWaits(t *testing.T) {
	m := newSlotModel(2)
	m.versions["i0"], m.versions["i1"] = 1, 1
	m.settle(5 * time.Second)
	m.lead()
	m.entries = m.entries[:1]
	m.settle(2900 * time.Millisecond)
	assert.Equal(t, m.held()["e1"], 1)
	m.settle(400 * time.Millisecond)
	assert.Equal(t, m.held()["e0"], 2)
}

// TestUnconfirmedAssignment guards against a second assignment of slots while an
// earlier one may still be committed, and against the use of slots by an entry
// that has said that it gave them back.
func TestUnconfirmedAssignment(t *testing.T) {
	m := newSlotModel(3)
	m.versions["i0"] = 1
	m.settle(4 * time.Second)
	assert.DeepEqual(t, m.holders(), map[string][]string{"addr-i0": {"e0"}})
	m.log.fate = func() int { return fateUnknownDelayed }
	drain := func(e *testEntry) {
		e.draining = true
		e.table.Drain()
		m.exchange(e)
		m.assign()
		m.exchange(e)
		m.exchange(e)
	}
	drain(m.entries[0])
	assert.Equal(t, len(m.holders()), 0, "the slots were given back")
	drain(m.entries[1])
	m.assign()
	for len(m.log.delayed) > 0 {
		m.log.commitOne()
		for _, e := range m.entries[1:] {
			if len(m.holders()) == 0 || e.name == "e2" {
				m.exchange(e)
			}
			assert.Assert(t, len(m.holders()["addr-i0"]) <= 1, "%v", m.holders())
		}
	}
}
