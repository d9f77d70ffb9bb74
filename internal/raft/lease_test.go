package raft

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
)

// votersOf returns a membership with the given voters.
func votersOf(ids ...string) *peerv1.RaftMembership {
	m := &peerv1.RaftMembership{}
	for _, id := range ids {
		m.Voters = append(m.Voters, &peerv1.RaftReplica{Id: id})
	}
	return m
}

// drainMessages handles Readys until there is none, applies their entries and returns
// their messages.
func drainMessages(n *Node) []*peerv1.RaftMessage {
	sent := drainWithoutApplying(n)
	n.Applied(n.log.handedOut)
	return sent
}

// drainWithoutApplying handles Readys until there is none, and returns their messages.
func drainWithoutApplying(n *Node) []*peerv1.RaftMessage {
	var sent []*peerv1.RaftMessage
	for {
		r := n.Ready()
		if r.Empty() {
			return sent
		}
		sent = append(append(sent, r.ImmediateMessages...), r.Messages...)
		n.Advance()
	}
}

func message(kind peerv1.RaftMessage_Type, term uint64) *peerv1.RaftMessage {
	return &peerv1.RaftMessage{Type: kind, From: "b.1", To: "a.1", Term: term, Generation: 1}
}

// TestNoVoteWhileLeaseMayBeValid guards against a vote while a leader whose heartbeat
// the voter has answered may still hold its lease. The leader's clock may be 1%
// slower than that of the voter.
func TestNoVoteWhileLeaseMayBeValid(t *testing.T) {
	answered := func() *Node {
		n := New(Config{ID: "a.1", Membership: votersOf("a.1", "b.1", "c.1")})
		n.Step(0, message(peerv1.RaftMessage_HEARTBEAT, 3))
		return n
	}
	restarted := func() *Node {
		return New(Config{
			ID: "a.1", Membership: votersOf("a.1", "b.1", "c.1"),
			HardState: &peerv1.RaftHardState{Term: 3, Generation: 1},
		})
	}
	end := LeaseDuration * 101 / 100
	cases := []struct {
		name     string
		node     func() *Node
		at       time.Duration
		kind     peerv1.RaftMessage_Type
		term     uint64
		transfer bool
		want     bool
	}{
		{"vote before the end", answered, end - 1, peerv1.RaftMessage_VOTE, 4, false, false},
		{"vote at the end", answered, end, peerv1.RaftMessage_VOTE, 4, false, true},
		{"pre-vote before the end", answered, end - 1, peerv1.RaftMessage_PRE_VOTE, 4, false, false},
		{"pre-vote at the end", answered, end, peerv1.RaftMessage_PRE_VOTE, 4, false, true},
		{"vote after a restart", restarted, end - 1, peerv1.RaftMessage_VOTE, 4, false, false},
		{"vote after the wait", restarted, end, peerv1.RaftMessage_VOTE, 4, false, true},
		{"transfer by the leader", answered, 0, peerv1.RaftMessage_VOTE, 4, true, true},
		{"transfer after a restart", restarted, 0, peerv1.RaftMessage_VOTE, 4, true, true},
		{"transfer by an older leader", answered, 0, peerv1.RaftMessage_VOTE, 3, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := c.node()
			drainMessages(n)
			m := message(c.kind, c.term)
			m.Transfer = c.transfer
			n.Step(c.at, m)
			granted := false
			for _, reply := range drainMessages(n) {
				granted = granted || !reply.Reject
			}
			assert.Equal(t, granted, c.want)
		})
	}
}

// newLeader returns a leader of term 4, elected at the given time, that has sent its
// first heartbeat round then. Its log holds one entry of term 2; nothing is committed.
func newLeader(t *testing.T, at time.Duration) *Node {
	n := New(Config{
		ID: "a.1", Membership: votersOf("a.1", "b.1", "c.1"),
		HardState: &peerv1.RaftHardState{Term: 3, Generation: 1},
		Entries:   []*peerv1.RaftEntry{{Index: 1, Term: 2}},
	})
	for range electionTicksMax {
		n.Tick(at)
	}
	drainMessages(n)
	n.Step(at, message(peerv1.RaftMessage_PRE_VOTE_REPLY, 4))
	n.Step(at, message(peerv1.RaftMessage_VOTE_REPLY, 4))
	drainMessages(n)
	assert.Equal(t, n.role, Leader)
	return n
}

// TestLeaseBeginAndEnd guards against a lease that is counted from the arrival of an
// answer instead of the sending of the round, and against a lease that is reported
// before the leader has committed and applied an entry of its term.
func TestLeaseBeginAndEnd(t *testing.T) {
	const elected = 2 * time.Second
	const answered = LeaseDuration - 100*time.Millisecond
	n := newLeader(t, elected)
	reply := message(peerv1.RaftMessage_HEARTBEAT_REPLY, 4)
	reply.Round = 1
	n.Step(elected+answered, reply)
	_, _, valid := n.Lease()
	assert.Assert(t, !valid, "lease without an own commit")

	ack := message(peerv1.RaftMessage_APPEND_REPLY, 4)
	ack.LogIndex = 1
	n.Step(elected+answered, ack)
	assert.Equal(t, n.log.commit, uint64(0), "entry of an earlier term committed by count")
	_, _, err := n.ProposeChange(Change{Remove, &peerv1.RaftReplica{Id: "c.1"}})
	assert.ErrorIs(t, err, ErrNoCommitInTerm)

	ack.LogIndex = 2
	n.Step(elected+answered, ack)
	_, _, valid = n.Lease()
	assert.Assert(t, !valid, "lease before the own entry is applied")
	drainWithoutApplying(n)
	_, _, valid = n.Lease()
	assert.Assert(t, !valid, "lease before the own entry is confirmed as applied")
	n.Applied(1)
	_, _, valid = n.Lease()
	assert.Assert(t, !valid, "lease after an entry of an earlier term")
	n.Applied(2)
	until, since, valid := n.Lease()
	assert.Assert(t, valid)
	assert.Equal(t, since, elected)
	assert.Equal(t, until, elected+LeaseDuration)
	n.Step(until, message(peerv1.RaftMessage_APPEND_REPLY, 4))
	_, _, valid = n.Lease()
	assert.Assert(t, !valid, "lease past its end")

	_, _, err = n.ProposeChange(Change{Remove, &peerv1.RaftReplica{Id: "c.1"}})
	assert.NilError(t, err)
	_, _, err = n.ProposeChange(Change{AddLearner, &peerv1.RaftReplica{Id: "d.1"}})
	assert.ErrorIs(t, err, ErrChangePending)
}

// TestTransferReleasesLease guards against a lease that is still valid, or becomes
// valid again in the same term, when a transfer may have elected another voter.
func TestTransferReleasesLease(t *testing.T) {
	now := 2 * time.Second
	n := newLeader(t, now)
	answer := func() {
		ack := message(peerv1.RaftMessage_APPEND_REPLY, 4)
		ack.LogIndex = n.log.last()
		n.Step(now, ack)
		reply := message(peerv1.RaftMessage_HEARTBEAT_REPLY, 4)
		reply.Round = n.lease.lastRound
		n.Step(now, reply)
	}
	answer()
	drainMessages(n)
	_, _, valid := n.Lease()
	assert.Assert(t, valid)
	assert.NilError(t, n.TransferLeadership("b.1"))
	_, _, valid = n.Lease()
	assert.Assert(t, !valid, "lease kept after TIMEOUT_NOW")
	for range electionTicksMin + heartbeatTicks {
		now += TickInterval
		n.Tick(now)
		if n.role == Leader {
			answer()
		}
		_, _, valid = n.Lease()
		assert.Assert(t, !valid, "lease regained in the term of the transfer")
	}
	assert.Equal(t, n.role, Follower, "a failed transfer must end the leadership")
}

// TestRecoverStartsNewGeneration guards against a recovered group that still accepts
// messages of its old replicas, and against one that cannot continue alone.
func TestRecoverStartsNewGeneration(t *testing.T) {
	n := New(Config{ID: "a.1", Membership: votersOf("a.1", "b.1", "c.1")})
	heartbeat := message(peerv1.RaftMessage_HEARTBEAT, 3)
	n.Step(0, heartbeat)
	assert.NilError(t, n.Recover(0, &peerv1.RaftReplica{Id: "a.1"}))
	drainMessages(n)
	heartbeat.Term = 9
	n.Step(0, heartbeat)
	assert.Equal(t, n.term, uint64(4), "message of the old generation accepted")
	for i := range electionTicksMax {
		n.Tick(time.Duration(i) * TickInterval)
	}
	drainMessages(n)
	_, _, valid := n.Lease()
	assert.Assert(t, valid)
	assert.Equal(t, n.Status().Generation, uint64(2))
}
