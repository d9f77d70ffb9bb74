package raft

import (
	"slices"
	"time"

	"laburnumgrade/gen/peerv1"
)

// leaderLease is the leader's state for its lease in the current term.
type leaderLease struct {
	electedAt  time.Duration
	lastRound  uint64      // number of the newest heartbeat round
	sentRounds []sentRound // the newest heartbeat rounds, oldest first
	// commitAtLastRound is the commit index when the last round was sent. A learner
	// that holds it counts as caught up. The current commit index is not used for
	// this, because under load no learner ever holds it.
	commitAtLastRound uint64
	// released is set when TIMEOUT_NOW may be sent for a transfer of leadership.
	// The leader then holds no lease for the rest of the term.
	released bool
}

// sentRound is a heartbeat round and the time when it was sent.
type sentRound struct {
	number uint64
	sentAt time.Duration
}

// Lease returns the time at which the leader lease ends and the time since which the
// node leads; valid is false if it holds no lease. Both are times of the clock that
// is passed to Tick and Step. To act under the lease, the caller must read that
// clock after its decision to act and compare it with until.
//
// The lease ends LeaseDuration after the newest heartbeat round was sent that a
// quorum of the membership in effect has answered. It is computed at each call from
// the members' newest answers, so that after a membership change only the answers
// of the new voters count: a quorum of the membership two changes later need not
// intersect a quorum that answered earlier.
func (n *Node) Lease() (until, since time.Duration, valid bool) {
	if n.role != Leader || n.lease.released || !n.appliedInTerm() {
		return 0, 0, false
	}
	answered, ok := n.newestQuorumAnswer()
	if !ok {
		return 0, 0, false
	}
	until = answered + LeaseDuration
	return until, n.lease.electedAt, n.now < until
}

// newestQuorumAnswer returns the latest time such that a quorum of the voters has
// answered a heartbeat round that was sent at that time or later; false if no
// quorum has answered yet.
func (n *Node) newestQuorumAnswer() (time.Duration, bool) {
	var times []time.Duration
	for _, r := range n.membership().Voters {
		if r.Id == n.id {
			times = append(times, n.now)
		} else if p := n.progress[r.Id]; p != nil && p.hasAnswered {
			times = append(times, p.answeredRoundSentAt)
		}
	}
	if len(times) < n.quorum() {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-n.quorum()], true
}

// appliedInTerm reports whether the leader has applied an entry of its own term, and
// with it every entry that was committed in earlier terms. Before that, a read of
// the state machine could miss commands that an earlier leader has acknowledged.
func (n *Node) appliedInTerm() bool { return n.log.matches(n.log.applied, n.term) }

// committedInTerm reports whether the leader has committed an entry of its own term.
func (n *Node) committedInTerm() bool { return n.log.matches(n.log.commit, n.term) }

// promiseExpired reports whether every lease that depends on a heartbeat answer of
// this node has expired.
func (n *Node) promiseExpired() bool { return n.now >= n.promiseUntil }

// extendPromise withholds votes for PromiseDuration, because a heartbeat of the
// current term is being answered. The time is counted from when this node handles
// the heartbeat. The leader counts its lease from when it sent the heartbeat, which
// is never later.
func (n *Node) extendPromise() {
	n.promiseUntil = max(n.promiseUntil, n.now+PromiseDuration)
	n.promiseTerm = max(n.promiseTerm, n.term)
}

// mayVote reports whether a vote for the sender is safe, that is, cannot elect a
// second holder of a valid lease.
//
// A vote of term T+1 requested for a transfer of leadership overrides the promises
// made to leaders of terms up to T. This is safe for two reasons. The candidate
// received TIMEOUT_NOW from the leader of T, which had released its lease before for
// the rest of T, even if the transfer fails. And every leader of an earlier term had
// lost its lease before the leader of T was elected: a quorum of voters granted that
// vote, and the promise of each of them had expired or was itself overridden by a
// transfer.
func (n *Node) mayVote(m *peerv1.RaftMessage) bool {
	if m.Transfer {
		return n.promiseTerm < m.Term
	}
	if until, _, valid := n.Lease(); valid && n.now < until {
		return false
	}
	return n.promiseExpired()
}

// TransferLeadership starts a transfer of leadership to a voter; an empty id selects
// the active voter with the longest log. New proposals are refused from now on. Once
// the voter holds the whole log, the lease is released and TIMEOUT_NOW is sent. If
// the transfer has not finished within an election timeout, a leader that still has
// its lease continues, and one that has released it steps down.
func (n *Node) TransferLeadership(to string) error {
	if err := n.canPropose(); err != nil {
		return err
	}
	if to == "" {
		to = n.mostUpToDateVoter()
	}
	if to == n.id || !n.isVoter(to) {
		return ErrNotMember
	}
	n.transferee = to
	n.transferTicks = 0
	n.tryTransfer()
	return nil
}

// mostUpToDateVoter returns the active voter that holds the most of the log, or "" if
// no other voter is active.
func (n *Node) mostUpToDateVoter() string {
	best, match := "", uint64(0)
	for _, id := range n.otherMembers() {
		p := n.progress[id]
		if n.isVoter(id) && p.active && (best == "" || p.match > match) {
			best, match = id, p.match
		}
	}
	return best
}

// tryTransfer releases the lease and sends TIMEOUT_NOW if the transferee holds the
// whole log. The message is one of Ready.Messages, so the caller can publish the
// loss of the lease before it sends the message.
func (n *Node) tryTransfer() {
	p := n.progress[n.transferee]
	if n.transferee == "" || p == nil || p.match < n.log.last() || n.lease.released {
		return
	}
	n.lease.released = true
	n.sendTimeoutNow()
}

func (n *Node) sendTimeoutNow() {
	n.send(&peerv1.RaftMessage{Type: peerv1.RaftMessage_TIMEOUT_NOW, To: n.transferee})
}

// tickTransfer repeats TIMEOUT_NOW during a transfer, and ends a transfer that takes
// longer than an election timeout.
func (n *Node) tickTransfer() {
	if n.transferee == "" {
		return
	}
	n.transferTicks++
	if n.transferTicks < electionTicksMin {
		if n.lease.released && n.isVoter(n.transferee) {
			n.sendTimeoutNow() // the previous one may have been lost
		}
		return
	}
	n.transferee = ""
	if n.lease.released {
		n.becomeFollower(n.term, "")
	}
}

// onTimeoutNow starts an election at once, because the leader transfers leadership to
// this node.
func (n *Node) onTimeoutNow(m *peerv1.RaftMessage) {
	if m.Term != n.term || n.role == Leader || !n.isVoter(n.id) {
		return
	}
	if n.promiseTerm > m.Term {
		return
	}
	n.startElection(true)
}
