package raft

import (
	"slices"

	"laburnumgrade/gen/peerv1"
)

// appendEntry appends an entry of the current term to the node's own log.
func (n *Node) appendEntry(kind peerv1.RaftEntry_Kind, data []byte) *peerv1.RaftEntry {
	e := &peerv1.RaftEntry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	n.addMembershipOf(e)
	return e
}

// tickLeader runs the leader's timers: heartbeats, resending of snapshots, the
// transfer of leadership and the quorum check.
func (n *Node) tickLeader() {
	n.ticksSinceHeartbeat++
	if n.ticksSinceHeartbeat >= heartbeatTicks {
		n.sendHeartbeats()
	}
	for _, p := range n.progress {
		p.tickSnapshot()
	}
	n.tickTransfer()
	if n.role == Leader && n.ticksElapsed >= electionTicksMin {
		n.ticksElapsed = 0
		n.checkQuorum()
	}
}

// tickSnapshot ends the wait for the acknowledgement of a snapshot after
// snapshotResendTicks, so that it is sent again.
func (p *progress) tickSnapshot() {
	if p.snapshot == 0 {
		return
	}
	p.snapshotTicks++
	if p.snapshotTicks >= snapshotResendTicks {
		p.snapshot = 0
		p.startProbing()
	}
}

// checkQuorum makes the leader step down if it has received no answers from a quorum
// within an election timeout.
func (n *Node) checkQuorum() {
	active := 0
	for _, r := range n.membership().Voters {
		p := n.progress[r.Id]
		if r.Id == n.id || p != nil && p.active {
			active++
		}
	}
	if active < n.quorum() {
		n.becomeFollower(n.term, "")
		return
	}
	for _, p := range n.progress {
		p.active = false
	}
}

// sendHeartbeats sends a new heartbeat round to all other members.
func (n *Node) sendHeartbeats() {
	n.ticksSinceHeartbeat = 0
	n.lease.lastRound++
	n.lease.commitAtLastRound = n.log.commit
	n.lease.sentRounds = append(n.lease.sentRounds, sentRound{n.lease.lastRound, n.now})
	if len(n.lease.sentRounds) > maxTrackedRounds {
		n.lease.sentRounds = n.lease.sentRounds[1:]
	}
	for _, id := range n.otherMembers() {
		n.sendImmediately(&peerv1.RaftMessage{
			Type: peerv1.RaftMessage_HEARTBEAT, To: id, Round: n.lease.lastRound,
			Commit: min(n.log.commit, n.progress[id].match),
		})
	}
}

// sendAppends sends a member the entries that it lacks, as far as flow control allows.
func (n *Node) sendAppends(id string) {
	p := n.progress[id]
	for !p.paused() && (p.probing || p.next <= n.log.last()) {
		if !n.sendAppend(id, p) {
			return
		}
	}
}

// sendAppend sends one append, which may have no entries, or a snapshot if the entries
// that the member needs are no longer in memory. It reports whether anything was sent.
func (n *Node) sendAppend(id string, p *progress) bool {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		return n.sendSnapshot(id, p)
	}
	entries := n.log.slice(p.next, n.log.last(), maxAppendBytes)
	n.sendImmediately(&peerv1.RaftMessage{
		Type: peerv1.RaftMessage_APPEND, To: id, LogIndex: prev, LogTerm: term,
		Commit: n.log.commit, Entries: entries,
	})
	p.recordAppend(prev+uint64(len(entries)), len(entries))
	return true
}

// sendSnapshot sends the newest snapshot to an active member and reports whether it
// was sent.
func (n *Node) sendSnapshot(id string, p *progress) bool {
	if !p.active {
		return false // the member may be down; a snapshot is sent once it answers
	}
	p.snapshot = n.log.snapshot.GetIndex()
	p.snapshotTicks = 0
	p.inflight = nil
	n.sendImmediately(&peerv1.RaftMessage{Type: peerv1.RaftMessage_SNAPSHOT, To: id, Snapshot: n.log.snapshot})
	return true
}

// onFollowerReply handles the replies to appends, snapshots and heartbeats.
func (n *Node) onFollowerReply(m *peerv1.RaftMessage) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	p := n.progress[m.From]
	if n.role != Leader || m.Term != n.term || p == nil {
		return
	}
	p.active = true
	switch {
	case m.Type == peerv1.RaftMessage_HEARTBEAT_REPLY:
		n.onHeartbeatReply(m, p)
	case m.Reject:
		p.recordRejection(m.LogIndex, m.RejectHint)
	default:
		p.recordAck(m.LogIndex)
		n.maybeCommit()
		n.tryTransfer()
	}
}

// onHeartbeatReply records the answer for the lease. If the member has not
// acknowledged the whole log, it also sends another append to detect lost ones: a
// member that lacks an earlier entry rejects it.
func (n *Node) onHeartbeatReply(m *peerv1.RaftMessage, p *progress) {
	i := slices.IndexFunc(n.lease.sentRounds, func(r sentRound) bool { return r.number == m.Round })
	if i >= 0 {
		p.answeredRoundSentAt = max(p.answeredRoundSentAt, n.lease.sentRounds[i].sentAt)
		p.hasAnswered = true
	}
	p.probeSent = false
	if p.snapshot == 0 && !p.probing && p.match < n.log.last() {
		if len(p.inflight) >= maxInflightAppends {
			p.inflight = p.inflight[1:]
		}
		n.sendAppend(m.From, p)
	}
}

// maybeCommit raises the commit index to the highest index that a quorum has stored,
// if the entry there is of the leader's own term.
func (n *Node) maybeCommit() {
	var matches []uint64
	for _, r := range n.membership().Voters {
		if r.Id == n.id {
			matches = append(matches, n.log.stable)
		} else if p := n.progress[r.Id]; p != nil {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < n.quorum() {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.quorum()]
	if index > n.log.commit && n.log.matches(index, n.term) {
		n.log.commit = index
	}
}
