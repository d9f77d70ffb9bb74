package control

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/internal/lease"
	"laburnumgrade/internal/routing"
	"laburnumgrade/internal/structs"
)

// TestMain sets rapid's seed and limits, unless flags set them, so that results are the
// same in each run.
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

// TestSlotsHaveOneHolder guards against two entries that use the slots of one instance
// at the same time. It runs arbitrary sequences of lost and late requests and replies,
// pauses and drains of entries, restarts of instances, changes of leader, and proposals
// whose outcome is unknown.
func TestSlotsHaveOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSlotModel(3)
		for i := range 4 {
			m.incarnations[fmt.Sprintf("i%d", i)] = 1
		}
		m.settle(4 * time.Second)
		m.log.outcome = func() int {
			if rapid.IntRange(0, 3).Draw(t, "unknown") > 0 {
				return outcomeApplied
			}
			return rapid.IntRange(1, outcomeCount-1).Draw(t, "fate")
		}
		entry := func(t *rapid.T) *testEntry { return rapid.SampledFrom(m.entries).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"ask":     func(t *rapid.T) { m.requestInstances(entry(t)) },
			"serve":   func(t *rapid.T) { m.answerRequest(entry(t)) },
			"receive": func(t *rapid.T) { m.applyReply(entry(t)) },
			"list":    func(t *rapid.T) { m.listInstances(entry(t)) },
			"list2":   func(t *rapid.T) { m.listInstances(entry(t)) },
			"list3":   func(t *rapid.T) { m.listInstances(entry(t)) },
			"assign":  func(*rapid.T) { m.assign() },
			"announce": func(t *rapid.T) {
				id := fmt.Sprintf("i%d", rapid.IntRange(0, 3).Draw(t, "instance"))
				if rapid.IntRange(0, 2).Draw(t, "restart") == 0 {
					m.incarnations[id]++
				}
				m.announce(id, m.incarnations[id])
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
			"lead":   func(*rapid.T) { m.startLeadership() },
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

// settle runs the system without faults for the given time.
func (m *slotModel) settle(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		m.clock.now += 100 * time.Millisecond
		m.announceAll()
		m.listInstancesOfAll()
		m.assign()
	}
}

// held returns the number of instances whose slots each entry has in the state.
func (m *slotModel) held() map[string]int {
	held := map[string]int{}
	for _, in := range m.group.Store.Instances() {
		held[in.Entry]++
	}
	return held
}

// TestSlotsAreBalanced guards against slots that stay without an entry, with a dead or
// draining one, or unevenly distributed.
func TestSlotsAreBalanced(t *testing.T) {
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
		{"leader changes", func(m *slotModel) { m.settle(5 * time.Second); m.startLeadership() }, 100 * time.Millisecond, map[string]int{"e0": 5, "e1": 5}},
		{"instance restarts", func(m *slotModel) { m.settle(5 * time.Second); m.incarnations["i3"]++ }, 200 * time.Millisecond, map[string]int{"e0": 5, "e1": 5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newSlotModel(2)
			for i := range 10 {
				m.incarnations[fmt.Sprintf("i%d", i)] = 1
			}
			c.change(m)
			m.settle(c.within)
			assert.DeepEqual(t, m.held(), c.want)
			assert.Equal(t, len(m.holders()), 10)
		})
	}
}

// TestNewLeaderWaitsForSlotLeases guards against a new leader that reassigns the slots
// of a dead entry while the lease granted by an earlier leader may still be valid.
func TestNewLeaderWaitsForSlotLeases(t *testing.T) {
	m := newSlotModel(2)
	m.incarnations["i0"], m.incarnations["i1"] = 1, 1
	m.settle(5 * time.Second)
	m.startLeadership()
	m.entries = m.entries[:1]
	m.settle(2900 * time.Millisecond)
	assert.Equal(t, m.held()["e1"], 1)
	m.settle(400 * time.Millisecond)
	assert.Equal(t, m.held()["e0"], 2)
}

// TestUnconfirmedAssignment guards against a second assignment of slots while an earlier
// one may still be committed, and against an entry that uses slots after it has reported
// their release.
func TestUnconfirmedAssignment(t *testing.T) {
	m := newSlotModel(3)
	m.incarnations["i0"] = 1
	m.settle(4 * time.Second)
	assert.DeepEqual(t, m.holders(), map[string][]string{"addr-i0": {"e0"}})
	m.log.outcome = func() int { return unknownDelayed }
	drain := func(e *testEntry) {
		e.draining = true
		e.table.Drain()
		m.listInstances(e)
		m.assign()
		m.listInstances(e)
		m.listInstances(e)
	}
	drain(m.entries[0])
	assert.Equal(t, len(m.holders()), 0, "the slots were released")
	drain(m.entries[1])
	m.assign()
	for len(m.log.delayed) > 0 {
		m.log.commitOne()
		for _, e := range m.entries[1:] {
			if len(m.holders()) == 0 || e.name == "e2" {
				m.listInstances(e)
			}
			assert.Assert(t, len(m.holders()["addr-i0"]) <= 1, "%v", m.holders())
		}
	}
}

// TestPausedEntryReturns guards against renewing the lease of an entry whose slots are
// being reassigned because its previous lease has expired.
func TestPausedEntryReturns(t *testing.T) {
	m := newSlotModel(2)
	m.incarnations["i0"] = 1
	m.settle(4 * time.Second)
	paused, other := m.entries[0], m.entries[1]
	m.entries = m.entries[1:]
	for range 32 {
		m.clock.now += 100 * time.Millisecond
		m.announceAll()
		m.listInstancesOfAll()
	}
	m.log.outcome = func() int { return unknownDelayed }
	m.assign()
	m.entries = []*testEntry{paused, other}
	m.listInstances(paused)
	assert.Equal(t, len(m.holders()), 0, "the slots are being reassigned")
	m.log.outcome = nil
	m.assign()
	m.listInstances(other)
	assert.DeepEqual(t, m.holders(), map[string][]string{"addr-i0": {"e1"}})
}

// TestLateAnnouncementOfEarlierIncarnation guards against an announcement of an instance's
// earlier incarnation that arrives while the later one is being committed, and that ends the
// validity of the later one or begins the time for which its slots may be in use by the
// earlier one's holder too early.
func TestLateAnnouncementOfEarlierIncarnation(t *testing.T) {
	h := newSlotHolders()
	earlier := structs.Instance{ID: "i0", Incarnation: 1, Entry: "e0"}
	later := structs.Instance{ID: "i0", Incarnation: 2}
	h.recordRestart(0, &earlier, 2)
	h.recordAnnouncement(0, 1100*time.Millisecond, 1100*time.Millisecond, "i0", 1)
	r, _ := h.previousHolder(0, "i0")
	assert.Equal(t, r.until, time.Duration(0), "the later incarnation is not committed yet")
	h.recordAnnouncement(0, time.Second, 1200*time.Millisecond, "i0", 2)
	h.recordAnnouncement(0, 1100*time.Millisecond, 1300*time.Millisecond, "i0", 1)
	r, _ = h.previousHolder(0, "i0")
	assert.Equal(t, r.until, 1200*time.Millisecond+lease.AddDriftMargin(lease.SlotDuration))
	assert.Equal(t, h.validFor(0, 1300*time.Millisecond, &later), lease.InstanceDuration-300*time.Millisecond)
}
