package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"pgregory.net/rapid"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/routing"
)

// testClock is a clock that the test advances.
type testClock struct{ now time.Duration }

func (c *testClock) Now() time.Duration { return c.now }

var errOutcomeUnknown = errors.New("the outcome is not known")

// testLog is a log whose proposals may end with an unknown outcome: applied, applied
// before the next command, or never applied.
type testLog struct {
	group *DataCentreGroup
	// since is the start of the current leadership.
	since time.Duration
	index uint64
	// delayed holds the commands that are applied before the next one.
	delayed [][]byte
	// outcome returns what happens to the next proposal; if nil, each is applied.
	outcome func() int
}

// Outcomes of a proposal.
const (
	// outcomeApplied means that the command is applied and its result returned.
	outcomeApplied = iota
	// The others return errOutcomeUnknown: the command is applied at once, before a
	// later one, or never.
	unknownApplied
	unknownDelayed
	unknownLost
	outcomeCount // number of outcomes
)

func (l *testLog) apply(command []byte) any {
	l.index++
	return l.group.Store.Apply(l.index, command)
}

// commitAll applies the delayed commands.
func (l *testLog) commitAll() {
	for _, c := range l.delayed {
		l.apply(c)
	}
	l.delayed = nil
}

// commitOne applies the first delayed command.
func (l *testLog) commitOne() {
	if len(l.delayed) > 0 {
		l.apply(l.delayed[0])
		l.delayed = l.delayed[1:]
	}
}

func (l *testLog) Propose(_ context.Context, command []byte) (any, error) {
	outcome := outcomeApplied
	if l.outcome != nil {
		outcome = l.outcome()
	}
	switch outcome {
	case unknownApplied:
		l.commitAll()
		l.apply(command)
		return nil, errOutcomeUnknown
	case unknownDelayed:
		l.delayed = append(l.delayed, command)
		return nil, errOutcomeUnknown
	case unknownLost:
		return nil, errOutcomeUnknown
	}
	l.commitAll()
	return l.apply(command), nil
}

func (l *testLog) Lease() (time.Duration, bool) { return l.since, true }
func (l *testLog) Leader() (string, string)     { return "c", "c:1" }

// testEntry is an entry with a real routing table and its requests in flight.
type testEntry struct {
	name     string
	table    *routing.Table
	draining bool
	// request is a request that the leader has not received.
	request     *peerv1.ListInstancesRequest
	requestedAt time.Duration
	// reply is a reply that the entry has not received.
	reply            *peerv1.ListInstancesResponse
	replyRequestedAt time.Duration
	calls            []routing.Grant // in progress
}

// slotModel is a leader with entries and instances, all under one test clock.
type slotModel struct {
	clock    *testClock
	log      *testLog
	group    *DataCentreGroup
	server   *Server
	dc       *DataCentreServer
	entries  []*testEntry
	restarts int // of entries
	// incarnations holds the incarnation of each instance by id.
	incarnations map[string]uint64
}

func newSlotModel(entries int) *slotModel {
	m := &slotModel{clock: &testClock{}, incarnations: map[string]uint64{}}
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
	return &testEntry{name: name, table: routing.NewTable(routing.Config{Self: name, DataCentre: "x", MaxWaitingPerTeam: 10})}
}

func (m *slotModel) announce(id string, incarnation uint64) {
	_, _ = m.dc.Announce(context.Background(), &apiv1.AnnounceRequest{
		InstanceId: id, Incarnation: incarnation, DataCentre: "x", Team: "t", Service: "s", Address: "addr-" + id, Slots: 8, Connections: 64,
	})
}

func (m *slotModel) announceAll() {
	for id, v := range m.incarnations {
		m.announce(id, v)
	}
}

func (m *slotModel) assign() {
	m.server.assignSlots(context.Background(), m.group, m.log.since, m.clock.now)
}

// requestInstances creates the entry's next request, which is not yet received.
func (m *slotModel) requestInstances(e *testEntry) {
	e.request = &peerv1.ListInstancesRequest{DataCentre: "x", Entry: e.name, EntryAddress: e.name + ":1", Draining: e.draining, Released: e.table.CompletedReleases()}
	e.requestedAt = m.clock.now
}

// answerRequest makes the leader receive the entry's request. The reply is not yet
// received.
func (m *slotModel) answerRequest(e *testEntry) {
	if e.request == nil {
		return
	}
	reply, err := m.dc.ListInstances(context.Background(), e.request)
	if err == nil {
		e.reply, e.replyRequestedAt = reply, e.requestedAt
	}
	e.request = nil
}

// applyReply makes the entry receive the leader's reply.
func (m *slotModel) applyReply(e *testEntry) {
	if e.reply == nil {
		return
	}
	e.table.Update("x", e.reply.Instances, e.replyRequestedAt, time.Duration(e.reply.LeaseMs)*time.Millisecond, m.clock.now)
	e.reply = nil
}

// listInstancesOfAll runs a listing of instances for each entry without delay.
func (m *slotModel) listInstancesOfAll() {
	for _, e := range m.entries {
		m.listInstances(e)
	}
}

func (m *slotModel) listInstances(e *testEntry) {
	m.requestInstances(e)
	m.answerRequest(e)
	m.applyReply(e)
}

// grant takes a slot for one call in the entry; it returns false if there is no free slot.
func (m *slotModel) grant(e *testEntry, tried []string) (routing.Grant, bool) {
	ticket, err := e.table.Submit(routing.Call{
		Service: routing.ServiceID{Team: "t", Service: "s"}, Deadline: m.clock.now + time.Hour, Forwarded: true, Tried: tried,
	}, m.clock.now)
	if err != nil || e.table.Cancel(ticket) {
		return routing.Grant{}, false
	}
	return <-ticket.Ready(), true
}

// holders returns the entries that would use the slots of each instance now, by the address
// of the instance. The incarnations of an instance share an address.
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

// pause pauses an entry for longer than its lease while the other entries continue.
func (m *slotModel) pause(t *rapid.T, paused *testEntry) {
	for range 8 {
		m.clock.now += 400 * time.Millisecond
		m.announceAll()
		for _, e := range m.entries {
			if e != paused {
				m.listInstances(e)
			}
		}
		if rapid.Bool().Draw(t, "pass of the leader") {
			m.assign()
		}
	}
}

// startLeadership starts a new leadership, after all delayed proposals have been applied.
func (m *slotModel) startLeadership() {
	m.log.commitAll()
	m.log.since = m.clock.now
}
