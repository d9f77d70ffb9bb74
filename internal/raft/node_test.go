package raft

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/gen/peerv1"
)

// TestMain sets a fixed seed, so that every run tests the same histories. The flags
// -rapid.seed and -rapid.checks select others.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20", "rapid.checks": "100", "rapid.steps": "200", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestInvariantsUnderRandomFaults runs three or five replicas, with and without
// disks, through random faults, full disks among them. It guards against two leaders in a term, differing
// logs, loss of committed entries, two valid leases at the same time and a lease
// holder that lacks a commit.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	var elections, transfers, replaced, commands, committed, unstored int
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "voters")
		c := newSimCluster(t, voters, rapid.IntRange(0, 3).Draw(t, "diskless"))
		c.run(2 * time.Second)
		t.Repeat(c.actions())
		c.healAndCheckLiveness()
		elections += c.elections
		transfers += c.transfers
		unstored += c.unstored
		replaced += c.membershipChanges
		commands += c.commands
		committed += len(c.committed)
	})
	t.Logf("%d elections, %d transfers, %d membership changes, %d commands, %d entries committed, %d Readys not stored",
		elections, transfers, replaced, commands, committed, unstored)
	if elections < 100 || transfers == 0 || replaced == 0 || committed < 1000 || unstored < 100 {
		t.Error("the histories exercise too little")
	}
}

func (c *simCluster) actions() map[string]func(*rapid.T) {
	anyNode := func(t *rapid.T) *simNode {
		return c.nodes[rapid.SampledFrom(c.ids()).Draw(t, "node")]
	}
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			c.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
		},
		"runLong": func(t *rapid.T) { c.run(2 * time.Second) },
		"propose": func(t *rapid.T) { c.propose(rapid.IntRange(1, 5).Draw(t, "count")) },
		"partition": func(t *rapid.T) {
			s := anyNode(t)
			c.partitioned[s.id] = !c.partitioned[s.id]
		},
		"cutLink": func(t *rapid.T) { c.cutLinks[link(anyNode(t).id, anyNode(t).id)] = true },
		"heal": func(t *rapid.T) {
			c.partitioned, c.cutLinks = map[string]bool{}, map[[2]string]bool{}
		},
		"network": func(t *rapid.T) {
			c.lossRate = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
			c.maxDelay = time.Duration(rapid.SampledFrom([]int{5, 40, 400}).Draw(t, "delay")) * time.Millisecond
		},
		"apply": func(t *rapid.T) {
			c.maxApply = time.Duration(rapid.SampledFrom([]int{0, 50, 1500}).Draw(t, "lag")) * time.Millisecond
		},
		"pause": func(t *rapid.T) {
			anyNode(t).pausedUntil = c.now + time.Duration(rapid.IntRange(50, 1500).Draw(t, "ms"))*time.Millisecond
		},
		"full": func(t *rapid.T) {
			anyNode(t).fullUntil = c.now + time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms"))*time.Millisecond
		},
		"crash": func(t *rapid.T) {
			s := anyNode(t)
			if !s.up || !s.disk && !c.mayLoseState(s.id) {
				return
			}
			if s.crashAt = crashPoint(rapid.IntRange(0, 2).Draw(t, "point")); s.crashAt == crashNever || !s.disk {
				c.crash(s)
			}
		},
		"restart": func(t *rapid.T) {
			for _, id := range c.ids() {
				if s := c.nodes[id]; !s.up {
					c.boot(s, c.initial)
				}
			}
		},
		"bounce": func(t *rapid.T) {
			if s := anyNode(t); s.up && s.disk {
				c.crash(s)
				c.run(50 * time.Millisecond)
				c.boot(s, c.initial)
			}
		},
		"transfer": func(t *rapid.T) {
			if l := c.leader(); l != nil && l.node.TransferLeadership("") == nil {
				c.transfers++
				c.handleReady(l)
			}
		},
		"change": func(t *rapid.T) { c.change() },
		"compact": func(t *rapid.T) {
			if s := anyNode(t); s.up {
				c.takeSnapshot(s)
			}
		},
		"": func(t *rapid.T) { c.checkLeases() },
	}
}

func (c *simCluster) propose(count int) {
	l := c.leader()
	if l == nil {
		return
	}
	var commands [][]byte
	for range count {
		c.commands++
		commands = append(commands, fmt.Append(nil, c.commands))
	}
	if _, _, err := l.node.Propose(commands); err == nil {
		c.handleReady(l)
	}
}

// change makes a membership change. It removes a member whose state is lost. If there
// is none, it promotes a learner or adds a replica that is in no membership;
// otherwise it removes a voter, which can be added again later. Lost members must be
// removed first: with 2 of 4 voters lost (one, and a learner that loses its state
// while it is being promoted) the group could never elect a leader again.
func (c *simCluster) change() {
	l := c.leader()
	if l == nil {
		return
	}
	m := l.node.membership()
	var changes []Change
	for _, v := range slices.Concat(m.Voters, m.Learners) {
		if c.lostState[v.Id] {
			changes = append(changes, Change{Remove, v})
		}
	}
	lost := len(changes) > 0
	for _, v := range m.Learners {
		if !lost {
			changes = append(changes, Change{Promote, v})
		}
	}
	for _, id := range c.ids() {
		if !lost && !l.node.isMember(id) {
			changes = append(changes, Change{AddLearner, &peerv1.RaftReplica{Id: id}})
		}
	}
	if len(changes) == 0 && len(m.Voters) >= 3 {
		changes = append(changes, Change{Remove, m.Voters[c.rng.IntN(len(m.Voters))]})
	}
	c.rng.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
	for _, change := range changes {
		if _, _, err := l.node.ProposeChange(change); err == nil {
			c.membershipChanges++
			c.handleReady(l)
			return
		}
	}
}

// healAndCheckLiveness ends all faults and checks that the group becomes live again:
// a leader with a lease commits a new command and every running member applies it.
func (c *simCluster) healAndCheckLiveness() {
	c.partitioned, c.cutLinks = map[string]bool{}, map[[2]string]bool{}
	c.lossRate, c.maxDelay, c.maxApply = 0, 5*time.Millisecond, 0
	for _, id := range c.ids() {
		s := c.nodes[id]
		s.pausedUntil, s.fullUntil = 0, 0
		if !s.up {
			c.boot(s, c.initial)
		}
		s.crashAt = crashNever
	}
	for range 20 {
		c.run(2 * time.Second)
		before := len(c.committed)
		c.propose(1)
		c.run(time.Second)
		if len(c.committed) > before && c.converged() {
			return
		}
	}
	for _, s := range c.running() {
		c.t.Logf("%s: %+v promise %v now %v", s.id, s.node.Status(), s.node.promiseUntil, s.node.now)
	}
	c.t.Fatalf("the group does not become live")
}

// converged reports whether a leader holds a lease and every running member has
// applied as many entries as it.
func (c *simCluster) converged() bool {
	l := c.leader()
	if l == nil {
		return false
	}
	if _, _, valid := l.node.Lease(); !valid {
		return false
	}
	for _, s := range c.running() {
		if l.node.isMember(s.id) && s.applied != l.applied {
			return false
		}
	}
	return true
}

// TestSnapshotInstalledIsNotApplied guards against a snapshot that counts as applied
// before the state machine has restored it, and against a state that was encoded before
// it and replaces it.
func TestSnapshotInstalledIsNotApplied(t *testing.T) {
	n := New(Config{ID: "a.1", Membership: votersOf("a.1", "b.1", "c.1")})
	entries := message(peerv1.RaftMessage_APPEND, 3)
	entries.Entries = []*peerv1.RaftEntry{{Index: 1, Term: 3}, {Index: 2, Term: 3}}
	entries.Commit = 2
	n.Step(0, entries)
	drainMessages(n)
	install := message(peerv1.RaftMessage_SNAPSHOT, 4)
	install.Snapshot = &peerv1.RaftSnapshot{Index: 9, Term: 4, Membership: votersOf("a.1", "b.1", "c.1")}
	n.Step(0, install)
	drainWithoutApplying(n)
	assert.Equal(t, n.Status().CommitIndex, uint64(9))
	assert.Equal(t, n.Status().AppliedIndex, uint64(2))
	assert.Assert(t, n.Snapshot(2, nil) == nil, "an older snapshot")
	n.Applied(9)
	assert.Equal(t, n.Status().AppliedIndex, uint64(9))
	more := message(peerv1.RaftMessage_APPEND, 4)
	more.LogIndex, more.LogTerm, more.Commit = 9, 4, 11
	more.Entries = []*peerv1.RaftEntry{{Index: 10, Term: 4}, {Index: 11, Term: 4}}
	n.Step(0, more)
	drainWithoutApplying(n)
	n.Applied(10)
	s := n.Snapshot(10, []byte("x"))
	assert.Equal(t, s.Index, uint64(10))
	assert.Equal(t, s.Term, uint64(4))
}

// Guards against a learner that names a leader from which it has heard nothing since: it may
// have been removed from the group while it was cut off, and learns of no later leader.
func TestLearnerForgetsSilentLeader(t *testing.T) {
	const start = time.Second
	n := New(Config{ID: "b", Now: start, Membership: &peerv1.RaftMembership{
		Voters: []*peerv1.RaftReplica{{Id: "a"}}, Learners: []*peerv1.RaftReplica{{Id: "b"}},
	}})
	n.Step(start, &peerv1.RaftMessage{Type: peerv1.RaftMessage_HEARTBEAT, From: "a", To: "b", Term: 1, Generation: 1})
	assert.Equal(t, n.Status().Leader, "a")
	for i := 1; i <= electionTicksMax; i++ {
		if i == electionTicksMin {
			assert.Equal(t, n.Status().Leader, "a")
		}
		n.Tick(start + time.Duration(i)*TickInterval)
	}
	assert.Equal(t, n.Status().Leader, "")
	assert.Equal(t, n.Status().Role, Follower)
}

// Guards against a heartbeat that is answered before the term of its leader is stored: after
// a crash the replica could vote in an earlier term, and must not have extended a lease.
func TestHeartbeatIsNotAnsweredBeforeTermIsStored(t *testing.T) {
	heartbeat := func(term, round uint64) *peerv1.RaftMessage {
		return &peerv1.RaftMessage{Type: peerv1.RaftMessage_HEARTBEAT, From: "b.1", To: "a.1", Term: term, Round: round, Generation: 1}
	}
	n := New(Config{ID: "a.1", Membership: votersOf("a.1", "b.1", "c.1")})
	n.Step(0, heartbeat(2, 1))
	r := n.Ready()
	assert.Equal(t, r.HardState.Term, uint64(2))
	assert.Equal(t, len(r.ImmediateMessages), 0)
	assert.Equal(t, len(r.Messages), 1)
	assert.Assert(t, n.StepHeartbeat(0, heartbeat(2, 2)))
	assert.Equal(t, len(n.UrgentMessages()), 0, "the term is being stored")
	n.Advance()
	assert.Equal(t, len(n.UrgentMessages()), 1)

	assert.Assert(t, !n.StepHeartbeat(0, heartbeat(3, 1)), "a later term has to be stored")
	assert.Equal(t, n.Status().Term, uint64(2))
	n.Step(0, heartbeat(2, 3))
	r = n.Ready()
	assert.Assert(t, r.HardState == nil)
	assert.Equal(t, len(r.ImmediateMessages), 1)
}

// Guards against a vote or an acknowledgement of entries that leaves the node although it could
// not be stored, and against state that is not offered again.
func TestUnstoredStateIsOfferedAgain(t *testing.T) {
	n := New(Config{ID: "a.1", Membership: votersOf("a.1", "b.1", "c.1")})
	n.Step(0, &peerv1.RaftMessage{Type: peerv1.RaftMessage_VOTE, From: "b.1", To: "a.1", Term: 3, Generation: 1})
	assert.Equal(t, len(n.Ready().Messages), 1)
	n.Unstored()
	r := n.Ready()
	assert.Equal(t, len(r.Messages)+len(r.ImmediateMessages), 0)
	assert.Equal(t, r.HardState.Vote, "b.1")
	n.Advance()

	entries := message(peerv1.RaftMessage_APPEND, 3)
	entries.Entries = []*peerv1.RaftEntry{{Index: 1, Term: 3}, {Index: 2, Term: 3}}
	entries.Commit = 1
	n.Step(0, entries)
	assert.Equal(t, len(n.Ready().Messages), 1)
	assert.Equal(t, len(n.Unstored()), 0, "handed out entries that are not stored")
	r = n.Ready()
	assert.Equal(t, len(r.Messages), 0)
	assert.Equal(t, len(r.Entries), 2)
	assert.Equal(t, len(r.CommittedEntries), 1)
}

// Guards against a leader that counts itself towards a commit of entries that it could not
// store, and one that goes on leading or campaigns.
func TestLeaderThatCannotStoreFollows(t *testing.T) {
	n := New(Config{ID: "a.1", Membership: votersOf("a.1")})
	for i := 1; n.Status().Role != Leader; i++ {
		n.Tick(time.Duration(i) * TickInterval)
	}
	for i := range 5 * electionTicksMax {
		if r := n.Ready(); i%10 == 0 && r.HardState == nil {
			t.Fatal("the state is not offered again")
		}
		n.Unstored()
		n.TickUnstored(time.Minute + time.Duration(i)*TickInterval)
		assert.Equal(t, n.Status().Role, Follower)
		assert.Equal(t, n.Status().CommitIndex, uint64(0))
	}
}

// Guards against entries that are kept for lagging followers by their number alone and do not
// fit in the memory.
func TestRetainedEntriesAreBoundedByBytes(t *testing.T) {
	for bytes, kept := range map[int64]uint64{0: 5, 350: 3, 1000: 5, 99: 0} {
		l := newEntryLog(nil, nil)
		for i := range uint64(8) {
			l.entries = append(l.entries, &peerv1.RaftEntry{Index: i + 1, Term: 1, Data: make([]byte, 100)})
		}
		l.compact(&peerv1.RaftSnapshot{Index: 7, Term: 1}, 5, bytes)
		assert.Equal(t, l.prevIndex, 7-kept, "%d bytes", bytes)
		assert.Equal(t, l.last(), uint64(8))
	}
}
