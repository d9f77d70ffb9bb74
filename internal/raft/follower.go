package raft

import "laburnumgrade/gen/peerv1"

// onLeaderMessage handles messages that only a leader sends. A message of an older
// term is answered with the current term, so that its sender steps down.
func (n *Node) onLeaderMessage(m *peerv1.RaftMessage) {
	if m.Term < n.term {
		n.send(&peerv1.RaftMessage{
			Type: peerv1.RaftMessage_APPEND_REPLY, To: m.From, Reject: true, LogIndex: m.LogIndex,
		})
		return
	}
	if m.Term == n.term && n.role == Leader {
		return // impossible, since a term has at most one leader
	}
	if m.Term > n.term || n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader = m.From
	n.ticksElapsed = 0
	switch m.Type {
	case peerv1.RaftMessage_APPEND:
		n.onAppend(m)
	case peerv1.RaftMessage_HEARTBEAT:
		n.onHeartbeat(m)
	case peerv1.RaftMessage_SNAPSHOT:
		n.onSnapshot(m)
	}
}

func (n *Node) onHeartbeat(m *peerv1.RaftMessage) {
	n.commitTo(m.Commit)
	n.extendPromise()
	n.sendImmediately(&peerv1.RaftMessage{Type: peerv1.RaftMessage_HEARTBEAT_REPLY, To: m.From, Round: m.Round})
}

func (n *Node) onAppend(m *peerv1.RaftMessage) {
	if m.LogIndex < n.log.commit {
		n.sendAppendReply(m.From, n.log.commit)
		return
	}
	if !n.log.matches(m.LogIndex, m.LogTerm) {
		n.send(n.appendRejection(m))
		return
	}
	n.mergeEntries(m.Entries)
	last := m.LogIndex + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.sendAppendReply(m.From, last)
}

// appendRejection returns the answer to an append that does not follow the log.
func (n *Node) appendRejection(m *peerv1.RaftMessage) *peerv1.RaftMessage {
	return &peerv1.RaftMessage{
		Type: peerv1.RaftMessage_APPEND_REPLY, To: m.From, Reject: true,
		LogIndex: m.LogIndex, RejectHint: n.log.findConflict(m.LogIndex, m.LogTerm),
	}
}

// mergeEntries appends the entries that the log does not hold. From the first entry
// that conflicts with the log, the log's own entries are replaced.
func (n *Node) mergeEntries(entries []*peerv1.RaftEntry) {
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
			n.log.truncate(e.Index)
			n.truncateMemberships(e.Index)
		}
		for _, e := range entries[i:] {
			n.log.entries = append(n.log.entries, e)
			n.addMembershipOf(e)
		}
		return
	}
}

// sendAppendReply acknowledges that the log is stored up to index.
func (n *Node) sendAppendReply(to string, index uint64) {
	n.send(&peerv1.RaftMessage{Type: peerv1.RaftMessage_APPEND_REPLY, To: to, LogIndex: index})
}

// commitTo raises the commit index, at most to the end of the log.
func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.last()))
}

// onSnapshot replaces the log by a snapshot, unless the log already holds the
// entries that the snapshot covers.
func (n *Node) onSnapshot(m *peerv1.RaftMessage) {
	s := m.Snapshot
	switch {
	case s.GetIndex() <= n.log.commit:
	case n.log.matches(s.Index, s.Term):
		n.commitTo(s.Index)
	default:
		n.log.install(s)
		n.memberships = []membershipAt{{index: s.Index, members: cloneMembership(s.Membership)}}
		n.receivedSnapshot = s
	}
	n.sendAppendReply(m.From, n.log.commit)
}
