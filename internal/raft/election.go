package raft

import "laburnumgrade/gen/peerv1"

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role = Follower
	n.leader = leader
	n.votes, n.progress = nil, nil
	n.lease = leaderLease{}
	n.transferTo = ""
	n.resetElection()
}

func (n *Node) resetElection() {
	n.elapsed = 0
	n.timeout = electionTicksMin + n.rng.IntN(electionTicksMax-electionTicksMin+1)
}

// campaign asks whether an election could be won, without raising the term, so
// that a replica returning from a partition does not depose a working leader.
func (n *Node) campaign() {
	n.becomeFollower(n.term, "")
	n.role = PreCandidate
	n.votes = map[string]bool{n.id: true}
	if n.won() {
		n.elect(false)
		return
	}
	n.askVotes(peerv1.RaftMessage_PRE_VOTE, n.term+1, false)
}

// elect starts an election in the next term.
func (n *Node) elect(transfer bool) {
	n.becomeFollower(n.term+1, "")
	n.role = Candidate
	n.vote = n.id
	n.votes = map[string]bool{n.id: true}
	if n.won() {
		n.becomeLeader()
		return
	}
	n.askVotes(peerv1.RaftMessage_VOTE, n.term, transfer)
}

func (n *Node) askVotes(kind peerv1.RaftMessage_Type, term uint64, transfer bool) {
	for _, r := range n.members().Voters {
		if r.Id == n.id {
			continue
		}
		n.send(&peerv1.RaftMessage{
			Type: kind, To: r.Id, Term: term, Transfer: transfer,
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// send queues a message that leaves once the state behind it is stored.
func (n *Node) send(m *peerv1.RaftMessage) {
	n.messages = append(n.messages, n.complete(m))
}

// sendEarly queues a message of the leader that need not wait for its storage.
func (n *Node) sendEarly(m *peerv1.RaftMessage) {
	n.early = append(n.early, n.complete(m))
}

func (n *Node) complete(m *peerv1.RaftMessage) *peerv1.RaftMessage {
	m.From = n.id
	m.Generation = n.generation
	if m.Term == 0 {
		m.Term = n.term
	}
	return m
}

// won reports whether a quorum of the voters has granted its vote.
func (n *Node) won() bool {
	granted := 0
	for _, r := range n.members().Voters {
		if n.votes[r.Id] {
			granted++
		}
	}
	return granted >= n.quorum()
}

func (n *Node) onPreVote(m *peerv1.RaftMessage) {
	granted := m.Term > n.term && n.role != Leader && n.promiseOver() &&
		n.log.upToDate(m.LogIndex, m.LogTerm)
	reply := &peerv1.RaftMessage{Type: peerv1.RaftMessage_PRE_VOTE_REPLY, To: m.From, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	n.send(reply)
}

func (n *Node) onPreVoteReply(m *peerv1.RaftMessage) {
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, "")
		}
		return
	}
	if n.role != PreCandidate || m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	if n.won() && n.promiseOver() {
		n.elect(false)
	}
}

// onVote ignores a request that arrives while a leader may hold a lease: it
// neither answers nor raises its term, so that the leader is not disturbed.
func (n *Node) onVote(m *peerv1.RaftMessage) {
	if m.Term > n.term {
		if !n.mayVote(m) {
			return
		}
		n.becomeFollower(m.Term, "")
	}
	granted := m.Term == n.term && n.mayVote(m) && (n.vote == "" || n.vote == m.From) &&
		n.log.upToDate(m.LogIndex, m.LogTerm)
	if granted {
		n.vote = m.From
		n.resetElection()
	}
	n.send(&peerv1.RaftMessage{Type: peerv1.RaftMessage_VOTE_REPLY, To: m.From, Reject: !granted})
}

func (n *Node) onVoteReply(m *peerv1.RaftMessage) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	if n.role != Candidate || m.Term != n.term || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.won() {
		n.becomeLeader()
	}
}

// becomeLeader starts the term with an empty entry: entries of earlier terms
// are committed only together with an entry of the leader's own term.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.votes = nil
	n.elapsed = 0
	n.lease = leaderLease{since: n.now}
	n.progress = map[string]*progress{}
	n.updateProgress()
	n.appendOwn(peerv1.RaftEntry_EMPTY, nil)
	n.beat()
}
