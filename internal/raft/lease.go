package raft

import (
	"slices"
	"time"

	"laburnumgrade/gen/peerv1"
)

// leaderLease is the leader's part of the lease.
type leaderLease struct {
	since  time.Duration // when it was elected
	round  uint64
	rounds []sentRound // the newest heartbeat rounds, oldest first
	// commit is the commit index when the last round was sent. A learner that
	// holds it is caught up: under load none ever holds the current one.
	commit uint64
	// released is set for the rest of the term once TIMEOUT_NOW may be sent.
	released bool
}

type sentRound struct {
	round uint64
	at    time.Duration
}

// Lease returns until when the leader lease is valid and since when the node
// leads; valid is false if it holds none. The caller compares until with its
// own clock, read after it decided to act.
//
// The lease ends LeaseDuration after the sending of the newest heartbeat round
// that a quorum of the membership in effect has answered. It is computed from
// each member's newest answer at the time of the call: after a membership
// change only answers of the new voters count, because a quorum two changes
// later need not intersect the quorum that answered before.
func (n *Node) Lease() (until, since time.Duration, valid bool) {
	if n.role != Leader || n.lease.released || !n.ownApplied() {
		return 0, 0, false
	}
	answered, ok := n.quorumAnswered()
	if !ok {
		return 0, 0, false
	}
	until = answered + LeaseDuration
	return until, n.lease.since, n.now < until
}

// quorumAnswered returns the newest sending time such that a quorum answered a
// round sent then or later.
func (n *Node) quorumAnswered() (time.Duration, bool) {
	var times []time.Duration
	for _, r := range n.members().Voters {
		if r.Id == n.id {
			times = append(times, n.now)
		} else if p := n.progress[r.Id]; p != nil && p.hasAnswered {
			times = append(times, p.answered)
		}
	}
	if len(times) < n.quorum() {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-n.quorum()], true
}

// ownApplied reports whether the leader has applied an entry of its own term,
// and with it every entry committed in earlier terms. Before that, a read of
// the state machine could miss what an earlier leader has acknowledged.
func (n *Node) ownApplied() bool { return n.log.matches(n.log.applied, n.term) }

// ownCommit reports whether the leader has committed an entry of its own term.
func (n *Node) ownCommit() bool { return n.log.matches(n.log.commit, n.term) }

// promiseOver reports whether no leader can hold a lease that rests on a
// heartbeat answer of this node.
func (n *Node) promiseOver() bool { return n.now >= n.promiseUntil }

// promise notes that a heartbeat round of the current term is being answered.
// The promise is counted from the time read before the answer leaves; the
// leader counts its lease from the sending, which is never later.
func (n *Node) promise() {
	n.promiseUntil = max(n.promiseUntil, n.now+PromiseDuration)
	n.promiseTerm = max(n.promiseTerm, n.term)
}

// mayVote reports whether a vote for the sender cannot elect a second holder of
// a lease.
//
// A transferred vote of term T+1 overrides promises made to leaders of terms up
// to T. This is safe because the transferee was told by the leader of T, which
// had first given up its lease for the rest of T, even if the transfer fails;
// and any leader of an earlier term lost its lease before the leader of T was
// elected: a quorum of voters granted that vote, every voter of it with its
// promise run out or itself overridden by a transfer.
func (n *Node) mayVote(m *peerv1.RaftMessage) bool {
	if m.Transfer {
		return n.promiseTerm < m.Term
	}
	if until, _, valid := n.Lease(); valid && n.now < until {
		return false
	}
	return n.promiseOver()
}

// TransferLeadership starts handing leadership to a voter; an empty id selects
// the voter with the longest log. New proposals are refused from now on. Once
// the voter holds the whole log the lease is released and TIMEOUT_NOW is sent.
// If the transfer is not finished within an election timeout, a leader that
// still has its lease continues; one that released it steps down.
func (n *Node) TransferLeadership(to string) error {
	if err := n.canPropose(); err != nil {
		return err
	}
	if to == "" {
		to = n.mostComplete()
	}
	if to == n.id || !n.isVoter(to) {
		return ErrNotMember
	}
	n.transferTo = to
	n.transferTicks = 0
	n.tryTransfer()
	return nil
}

// mostComplete returns the active voter with the highest match, or "".
func (n *Node) mostComplete() string {
	best, match := "", uint64(0)
	for _, id := range n.others() {
		p := n.progress[id]
		if n.isVoter(id) && p.active && (best == "" || p.match > match) {
			best, match = id, p.match
		}
	}
	return best
}

// tryTransfer sends TIMEOUT_NOW if the transferee holds the whole log. The
// message is among those sent after the Ready's state, so the caller can
// publish the loss of the lease first.
func (n *Node) tryTransfer() {
	p := n.progress[n.transferTo]
	if n.transferTo == "" || p == nil || p.match < n.log.last() || n.lease.released {
		return
	}
	n.lease.released = true
	n.sendTimeoutNow()
}

func (n *Node) sendTimeoutNow() {
	n.send(&peerv1.RaftMessage{Type: peerv1.RaftMessage_TIMEOUT_NOW, To: n.transferTo})
}

// tickTransfer ends a transfer that takes longer than an election timeout.
func (n *Node) tickTransfer() {
	if n.transferTo == "" {
		return
	}
	n.transferTicks++
	if n.transferTicks < electionTicksMin {
		if n.lease.released && n.isVoter(n.transferTo) {
			n.sendTimeoutNow() // the first may have been lost
		}
		return
	}
	n.transferTo = ""
	if n.lease.released {
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) onTimeoutNow(m *peerv1.RaftMessage) {
	if m.Term != n.term || n.role == Leader || !n.isVoter(n.id) {
		return
	}
	if n.promiseTerm > m.Term {
		return
	}
	n.elect(true)
}
