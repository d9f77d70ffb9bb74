package raft

import (
	"slices"

	"laburnumgrade/gen/peerv1"
)

// appendOwn appends an entry of the node's term to its own log.
func (n *Node) appendOwn(kind peerv1.RaftEntry_Kind, data []byte) *peerv1.RaftEntry {
	e := &peerv1.RaftEntry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	n.noteMembership(e)
	return e
}

func (n *Node) tickLeader() {
	n.sinceBeat++
	if n.sinceBeat >= heartbeatTicks {
		n.beat()
	}
	for _, p := range n.progress {
		p.tickSnapshot()
	}
	n.tickTransfer()
	if n.role == Leader && n.elapsed >= electionTicksMin {
		n.elapsed = 0
		n.checkQuorum()
	}
}

// tickSnapshot gives a snapshot up that is not answered, so that it is resent.
func (p *progress) tickSnapshot() {
	if p.snapshot == 0 {
		return
	}
	p.snapshotTicks++
	if p.snapshotTicks >= snapshotTicks {
		p.snapshot = 0
		p.probe()
	}
}

// checkQuorum makes a leader step down that no quorum has answered for an
// election timeout.
func (n *Node) checkQuorum() {
	active := 0
	for _, r := range n.members().Voters {
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

// beat starts a heartbeat round.
func (n *Node) beat() {
	n.sinceBeat = 0
	n.lease.round++
	n.lease.commit = n.log.commit
	n.lease.rounds = append(n.lease.rounds, sentRound{n.lease.round, n.now})
	if len(n.lease.rounds) > maxRounds {
		n.lease.rounds = n.lease.rounds[1:]
	}
	for _, id := range n.others() {
		n.sendEarly(&peerv1.RaftMessage{
			Type: peerv1.RaftMessage_HEARTBEAT, To: id, Round: n.lease.round,
			Commit: min(n.log.commit, n.progress[id].match),
		})
	}
}

// sendAppends sends a member all entries that it misses and flow control allows.
func (n *Node) sendAppends(id string) {
	p := n.progress[id]
	for !p.paused() && (p.probing || p.next <= n.log.last()) {
		if !n.sendAppend(id, p) {
			return
		}
	}
}

// sendAppend sends one append, perhaps without entries, or a snapshot; it
// reports whether anything was sent.
func (n *Node) sendAppend(id string, p *progress) bool {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		return n.sendSnapshot(id, p)
	}
	entries := n.log.slice(p.next, n.log.last(), maxAppendBytes)
	n.sendEarly(&peerv1.RaftMessage{
		Type: peerv1.RaftMessage_APPEND, To: id, LogIndex: prev, LogTerm: term,
		Commit: n.log.commit, Entries: entries,
	})
	p.sent(prev+uint64(len(entries)), len(entries))
	return true
}

func (n *Node) sendSnapshot(id string, p *progress) bool {
	if !p.active {
		return false // may be gone; a snapshot is sent once it answers
	}
	p.snapshot = n.log.snapshot.GetIndex()
	p.snapshotTicks = 0
	p.inflight = nil
	n.sendEarly(&peerv1.RaftMessage{Type: peerv1.RaftMessage_SNAPSHOT, To: id, Snapshot: n.log.snapshot})
	return true
}

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
		p.rejected(m.LogIndex, m.RejectHint)
	default:
		p.acked(m.LogIndex)
		n.maybeCommit()
		n.tryTransfer()
	}
}

// onHeartbeatReply notes the answer for the lease and finds lost appends: an
// append after the last one sent is refused by a member that misses any.
func (n *Node) onHeartbeatReply(m *peerv1.RaftMessage, p *progress) {
	i := slices.IndexFunc(n.lease.rounds, func(r sentRound) bool { return r.round == m.Round })
	if i >= 0 {
		p.answered = max(p.answered, n.lease.rounds[i].at)
		p.hasAnswered = true
	}
	p.probeSent = false
	if p.snapshot == 0 && !p.probing && p.match < n.log.last() {
		if len(p.inflight) >= maxInflight {
			p.inflight = p.inflight[1:]
		}
		n.sendAppend(m.From, p)
	}
}

// maybeCommit commits the highest index stored at a quorum whose entry is of
// the leader's own term.
func (n *Node) maybeCommit() {
	var matches []uint64
	for _, r := range n.members().Voters {
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
