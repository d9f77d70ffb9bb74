package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"laburnumgrade/gen/peerv1"
)

// simNode is one replica in the simulated cluster.
type simNode struct {
	id          string
	node        *Node
	disk        bool
	up          bool
	pausedUntil time.Duration
	crashAt     crashPoint
	// Until fullUntil nothing can be stored; unstored is set until the next try after it.
	fullUntil time.Duration
	unstored  bool
	rate      float64 // of its clock, relative to true time
	offset    time.Duration
	nextTick  time.Duration // local time
	// hard, snapshot and entries are the stored state.
	hard     *peerv1.RaftHardState
	snapshot *peerv1.RaftSnapshot
	entries  []*peerv1.RaftEntry
	commit   uint64
	inbox    []*peerv1.RaftMessage // received while paused

	handedOut uint64
	applied   uint64      // by the state machine
	applying  []applyTask // not yet done, in order
	confirmed uint64      // highest index passed to Node.Applied
	encoded   []uint64    // indexes of snapshots not yet passed to Node.Snapshot
}

// applyTask is work that a Ready has handed out to the state machine: a snapshot, or
// the entries up to the index.
type applyTask struct {
	due      time.Duration
	first    uint64 // index of the first entry
	index    uint64
	snapshot bool
}

// crashPoint is the point of handling a Ready at which a node crashes.
type crashPoint int

const (
	crashNever crashPoint = iota
	crashBeforeStore
	crashAfterStore
)

// delayedMessage is a message in transit.
type delayedMessage struct {
	due time.Duration
	m   *peerv1.RaftMessage
}

// committedEntry holds the term of an entry and the term in which it was committed.
type committedEntry struct{ term, commitTerm uint64 }

type entryKey struct{ index, term uint64 }

// simCluster runs nodes over a simulated network that loses, delays, duplicates and
// reorders messages, and checks the invariants after every event.
type simCluster struct {
	t           *rapid.T
	rng         *rand.Rand
	now         time.Duration // true time
	nodes       map[string]*simNode
	inFlight    []delayedMessage
	initial     *peerv1.RaftMembership
	lossRate    float64 // probability that a message is lost or duplicated
	maxDelay    time.Duration
	maxApply    time.Duration      // longest time for which the state machines lag behind
	partitioned map[string]bool    // nodes on the second side of the partition
	cutLinks    map[[2]string]bool // cut links between two replicas
	lostState   map[string]bool    // ids of replicas that have lost their state

	leaders           map[uint64]string         // by term
	committed         map[uint64]committedEntry // by index
	maxCommit         uint64
	commitInTerm      map[uint64]uint64 // highest commit index of each term's leader
	entryContents     map[entryKey]string
	commands          int // number of proposed commands
	elections         int
	transfers         int
	unstored          int // number of Readys that could not be stored
	membershipChanges int
}

func newSimCluster(t *rapid.T, voters, diskless int) *simCluster {
	c := &simCluster{
		t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		nodes: map[string]*simNode{}, partitioned: map[string]bool{}, lostState: map[string]bool{},
		leaders: map[uint64]string{}, committed: map[uint64]committedEntry{}, entryContents: map[entryKey]string{},
		commitInTerm: map[uint64]uint64{},
		maxDelay:     5 * time.Millisecond, cutLinks: map[[2]string]bool{},
	}
	c.initial = &peerv1.RaftMembership{}
	for i := range voters {
		id := fmt.Sprintf("%c.1", 'a'+i)
		c.initial.Voters = append(c.initial.Voters, &peerv1.RaftReplica{Id: id})
	}
	for i, v := range c.initial.Voters {
		c.start(v.Id, c.initial, i >= diskless)
	}
	return c
}

func (c *simCluster) start(id string, m *peerv1.RaftMembership, disk bool) *simNode {
	s := &simNode{id: id, disk: disk, rate: 0.9951 + 0.0098*c.rng.Float64()}
	s.offset = time.Duration(c.rng.Int64N(int64(time.Hour)))
	c.nodes[id] = s
	c.boot(s, m)
	return s
}

func (c *simCluster) boot(s *simNode, m *peerv1.RaftMembership) {
	c.load(s, m)
	s.up, s.crashAt, s.commit = true, crashNever, 0
	s.unstored = false
	s.applied = s.snapshot.GetIndex()
	s.handedOut, s.confirmed = s.applied, s.applied
	s.applying, s.encoded = nil, nil
	s.nextTick = c.local(s) + time.Duration(c.rng.Int64N(int64(TickInterval)))
}

// load creates the node from its stored state.
func (c *simCluster) load(s *simNode, m *peerv1.RaftMembership) {
	s.node = New(Config{
		ID: s.id, Membership: m, HardState: s.hard, Snapshot: s.snapshot,
		Entries: slices.Clone(s.entries), RetainedEntries: 3, Seed: c.rng.Uint64(), Now: c.local(s),
	})
}

// local returns the time on the node's clock.
func (c *simCluster) local(s *simNode) time.Duration {
	return s.offset + time.Duration(float64(c.now)*s.rate)
}

func (c *simCluster) ids() []string {
	var ids []string
	for id := range c.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *simCluster) running() []*simNode {
	var found []*simNode
	for _, id := range c.ids() {
		if c.nodes[id].up {
			found = append(found, c.nodes[id])
		}
	}
	return found
}

// run advances true time in steps of 5 ms.
func (c *simCluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 5 * time.Millisecond
		c.deliver()
		for _, s := range c.running() {
			if s.pausedUntil > c.now {
				continue
			}
			for _, m := range s.inbox {
				c.step(s, m)
			}
			s.inbox = nil
			c.runStateMachine(s)
			if s.up && c.local(s) >= s.nextTick {
				s.nextTick = c.local(s) + TickInterval
				c.tick(s)
			}
		}
		c.checkLeases()
	}
}

func (c *simCluster) deliver() {
	due := c.inFlight
	c.inFlight = nil
	for _, f := range due {
		s := c.nodes[f.m.To]
		switch {
		case f.due > c.now:
			c.inFlight = append(c.inFlight, f)
		case s == nil || !s.up || c.partitioned[f.m.From] != c.partitioned[f.m.To], c.cutLinks[link(f.m.From, f.m.To)]:
		case s.pausedUntil > c.now:
			s.inbox = append(s.inbox, f.m)
		default:
			c.step(s, f.m)
		}
	}
}

// link identifies the link between two VMs, which stays cut when a VM gets a new id.
func link(a, b string) [2]string {
	a, _, _ = strings.Cut(a, ".")
	b, _, _ = strings.Cut(b, ".")
	return [2]string{min(a, b), max(a, b)}
}

// tick passes a tick to a node. A node that could not store a Ready tries again.
func (c *simCluster) tick(s *simNode) {
	if s.unstored {
		s.node.TickUnstored(c.local(s))
	} else {
		s.node.Tick(c.local(s))
	}
	c.handleReady(s)
}

func (c *simCluster) step(s *simNode, m *peerv1.RaftMessage) {
	if s.up && s.unstored {
		if m.Type == peerv1.RaftMessage_HEARTBEAT {
			s.node.StepHeartbeat(c.local(s), m)
		}
		c.transmit(s.node.UrgentMessages())
		c.checkNode(s)
		return
	}
	if s.up {
		s.node.Step(c.local(s), m)
		c.handleReady(s)
	}
}

// handleReady handles Readys like the caller of the package, and crashes the node at
// its crash point.
func (c *simCluster) handleReady(s *simNode) {
	c.checkNode(s)
	for s.up {
		r := s.node.Ready()
		if r.Empty() {
			return
		}
		c.transmit(r.ImmediateMessages)
		c.stepHeartbeats(s, r)
		if s.crashAt == crashBeforeStore && (r.HardState != nil || r.Snapshot != nil) {
			c.crash(s)
			return
		}
		if c.now < s.fullUntil && (r.HardState != nil || r.Snapshot != nil) {
			c.handOut(s, Ready{CommittedEntries: s.node.Unstored()})
			s.unstored = true
			c.unstored++
			c.checkNode(s)
			return
		}
		s.unstored = false
		c.store(s, r)
		if s.crashAt == crashAfterStore && r.HardState != nil {
			c.crash(s)
			return
		}
		c.transmit(r.Messages)
		c.handOut(s, r)
		s.node.Advance()
		c.checkNode(s)
		c.runStateMachine(s)
	}
}

// stepHeartbeats handles heartbeats, and on a leader a tick, like a caller that is storing
// a Ready.
func (c *simCluster) stepHeartbeats(s *simNode, r Ready) {
	if r.HardState == nil && r.Snapshot == nil || c.rng.IntN(2) == 0 {
		return
	}
	var others []delayedMessage
	for _, f := range c.inFlight {
		cut := c.partitioned[f.m.From] != c.partitioned[f.m.To] || c.cutLinks[link(f.m.From, f.m.To)]
		if f.m.To != s.id || cut || !s.node.StepHeartbeat(c.local(s), f.m) {
			others = append(others, f)
		}
	}
	c.inFlight = others
	if s.node.role == Leader {
		s.node.Tick(c.local(s))
	}
	c.transmit(s.node.UrgentMessages())
}

func (c *simCluster) store(s *simNode, r Ready) {
	if r.Snapshot != nil {
		s.snapshot = r.Snapshot
		s.entries = nil
	}
	if r.HardState != nil {
		s.hard = r.HardState
	}
	for _, e := range r.Entries {
		keep := e.Index - s.snapshot.GetIndex() - 1
		s.entries = append(s.entries[:keep:keep], e)
		c.checkWritten(s, e)
	}
}

// checkWritten checks the log matching property: entries with the same index and
// term are equal and follow entries with the same term.
func (c *simCluster) checkWritten(s *simNode, e *peerv1.RaftEntry) {
	prev, _ := s.node.log.term(e.Index - 1)
	content := fmt.Sprintf("%d %v %x", prev, e.Kind, e.Data)
	key := entryKey{e.Index, e.Term}
	if old, ok := c.entryContents[key]; ok && old != content {
		c.t.Fatalf("log matching: entry %v on %s is %q, elsewhere %q", key, s.id, content, old)
	}
	c.entryContents[key] = content
}

// handOut queues the snapshot and the committed entries of a Ready for the state
// machine, and checks that each entry is handed out once and is committed with one term.
func (c *simCluster) handOut(s *simNode, r Ready) {
	due := c.now
	if c.maxApply > 0 {
		due += time.Duration(c.rng.Int64N(int64(c.maxApply)))
	}
	if r.Snapshot != nil {
		s.handedOut = r.Snapshot.Index
		s.applying = append(s.applying, applyTask{due: due, index: r.Snapshot.Index, snapshot: true})
	}
	if last := len(r.CommittedEntries) - 1; last >= 0 {
		s.applying = append(s.applying, applyTask{due: due, first: r.CommittedEntries[0].Index, index: r.CommittedEntries[last].Index})
	}
	for _, e := range r.CommittedEntries {
		if e.Index != s.handedOut+1 {
			c.t.Fatalf("%s hands out %d after %d", s.id, e.Index, s.handedOut)
		}
		s.handedOut = e.Index
		old, ok := c.committed[e.Index]
		if ok && old.term != e.Term {
			c.t.Fatalf("%s commits index %d of term %d, which was committed with term %d", s.id, e.Index, e.Term, old.term)
		}
		if !ok {
			c.committed[e.Index] = committedEntry{e.Term, s.node.term}
		}
	}
}

// runStateMachine does the work of the state machine that is due, and confirms it
// unless the confirmation is delayed.
func (c *simCluster) runStateMachine(s *simNode) {
	if !s.up {
		return
	}
	for len(s.applying) > 0 && s.applying[0].due <= c.now {
		task := s.applying[0]
		s.applying = s.applying[1:]
		if !task.snapshot && task.first != s.applied+1 {
			c.t.Fatalf("%s applies %d after %d", s.id, task.first, s.applied)
		}
		s.applied = task.index
	}
	if c.maxApply > 0 && c.rng.IntN(4) > 0 {
		return
	}
	if s.confirmed < s.applied {
		s.confirmed = s.applied
		s.node.Applied(s.applied)
	}
	for _, index := range s.encoded {
		c.storeSnapshot(s, index)
	}
	s.encoded = nil
}

func (c *simCluster) transmit(messages []*peerv1.RaftMessage) {
	for _, m := range messages {
		copies := 1
		if c.rng.Float64() < c.lossRate {
			copies = c.rng.IntN(2) * 2 // lost or duplicated
		}
		for range copies {
			due := c.now + time.Duration(c.rng.Int64N(int64(c.maxDelay)+1))
			c.inFlight = append(c.inFlight, delayedMessage{due, m})
		}
	}
}

// crash stops a node. A node without a disk loses its state and returns under a new
// id as an empty replica that belongs to no membership.
func (c *simCluster) crash(s *simNode) {
	s.up, s.inbox = false, nil
	if s.disk {
		c.load(s, c.initial) // drops what was not stored, for mayLoseState
		return
	}
	c.lostState[s.id] = true
	delete(c.nodes, s.id)
	name, number, _ := strings.Cut(s.id, ".")
	var n int
	fmt.Sscan(number, &n)
	c.start(fmt.Sprintf("%s.%d", name, n+1), nil, false)
}

// mayLoseState reports whether a node without a disk may crash. Every membership that
// a node or a message in transit holds must keep a quorum of voters that have not
// lost their state.
func (c *simCluster) mayLoseState(id string) bool {
	var memberships []*peerv1.RaftMembership
	messages := []*peerv1.RaftMessage{}
	for _, f := range c.inFlight {
		messages = append(messages, f.m)
	}
	for _, s := range c.nodes {
		memberships = append(memberships, s.node.membership())
		messages = append(messages, s.inbox...)
	}
	for _, m := range messages {
		n := &Node{}
		for _, e := range m.Entries {
			n.addMembershipOf(e)
		}
		for _, at := range n.memberships {
			memberships = append(memberships, at.members)
		}
	}
	for _, m := range memberships {
		lost := 0
		for _, v := range m.Voters {
			if c.lostState[v.Id] || v.Id == id {
				lost++
			}
		}
		if len(m.Voters) > 0 && lost > (len(m.Voters)-1)/2 {
			return false
		}
	}
	return true
}

// checkNode checks three invariants: one leader per term, leader completeness (a
// leader holds all committed entries) and a commit index that never decreases.
func (c *simCluster) checkNode(s *simNode) {
	n := s.node
	if n.log.commit < s.commit {
		c.t.Fatalf("%s: commit went back from %d to %d", s.id, s.commit, n.log.commit)
	}
	s.commit = n.log.commit
	if n.role != Leader {
		return
	}
	if other, ok := c.leaders[n.term]; ok && other != s.id {
		c.t.Fatalf("%s and %s lead term %d", other, s.id, n.term)
	}
	if _, ok := c.leaders[n.term]; !ok {
		c.elections++
		for index, e := range c.committed {
			// A candidate may receive the votes late. It need not hold the entries
			// that leaders of later terms have committed in the meantime.
			if e.commitTerm < n.term && index >= n.log.first() && !n.log.matches(index, e.term) {
				c.t.Fatalf("leader %s of term %d lacks committed entry %d", s.id, n.term, index)
			}
		}
	}
	c.leaders[n.term] = s.id
	c.commitInTerm[n.term] = max(c.commitInTerm[n.term], n.log.commit)
	c.maxCommit = max(c.maxCommit, n.log.commit)
}

// checkLeases checks that at the current true time at most one replica, running or
// paused, holds a valid lease, that its commit index is the highest one, and that its
// state machine has applied everything that was committed in earlier terms.
func (c *simCluster) checkLeases() {
	holder := ""
	for _, s := range c.running() {
		until, _, _ := s.node.Lease()
		if until == 0 || c.local(s) >= until {
			continue
		}
		if holder != "" {
			c.t.Fatalf("%s and %s both hold a valid lease at %v", holder, s.id, c.now)
		}
		holder = s.id
		if s.node.log.commit < c.maxCommit {
			c.t.Fatalf("lease holder %s has commit %d, another leader committed %d", s.id, s.node.log.commit, c.maxCommit)
		}
		for term, commit := range c.commitInTerm {
			if term < s.node.term && s.applied < commit {
				c.t.Fatalf("lease holder %s has applied %d, the leader of term %d committed %d", s.id, s.applied, term, commit)
			}
		}
	}
}

func (c *simCluster) leader() *simNode {
	var found *simNode
	for _, s := range c.running() {
		if s.node.role == Leader && (found == nil || s.node.term > found.node.term) {
			found = s
		}
	}
	return found
}

// takeSnapshot encodes the state machine at its applied index. The node gets to know the
// snapshot with the next confirmation.
func (c *simCluster) takeSnapshot(s *simNode) {
	s.encoded = append(s.encoded, s.applied)
	c.runStateMachine(s)
}

func (c *simCluster) storeSnapshot(s *simNode, index uint64) {
	snapshot := s.node.Snapshot(index, nil)
	if snapshot == nil {
		return
	}
	if snapshot.Index != index {
		c.t.Fatalf("%s: snapshot of %d has index %d", s.id, index, snapshot.Index)
	}
	if e, ok := c.committed[index]; ok && snapshot.Term != e.term {
		c.t.Fatalf("%s: snapshot of %d has term %d, the entry %d", s.id, index, snapshot.Term, e.term)
	}
	if want := s.membershipAt(index); want != nil && !proto.Equal(snapshot.Membership, want) {
		c.t.Fatalf("%s: snapshot of %d has membership %v, the log %v", s.id, index, snapshot.Membership, want)
	}
	s.entries = slices.Clone(s.entries[snapshot.Index-s.snapshot.GetIndex():])
	s.snapshot = proto.Clone(snapshot).(*peerv1.RaftSnapshot)
	s.node.Compact(snapshot)
}

// membershipAt returns the membership that the stored snapshot and entries hold for the
// index, nil if they hold none.
func (s *simNode) membershipAt(index uint64) *peerv1.RaftMembership {
	n := &Node{}
	if s.snapshot != nil {
		n.memberships = []membershipAt{{index: s.snapshot.Index, members: s.snapshot.Membership}}
	}
	for _, e := range s.entries {
		if e.Index <= index {
			n.addMembershipOf(e)
		}
	}
	if len(n.memberships) == 0 {
		return nil
	}
	return n.membership()
}
