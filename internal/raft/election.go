package raft

import "laburnumgrade/gen/peerv1"

// becomeFollower makes the node a follower in the term, without a vote if the term
// is new. The leader is empty if it is not known.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term, n.votedFor = term, ""
	}
	n.role = Follower
	n.leader = leader
	n.votes, n.progress = nil, nil
	n.lease = leaderLease{}
	n.transferee = ""
	n.resetElectionTimeout()
}

// resetElectionTimeout restarts the election timeout with a new random length.
func (n *Node) resetElectionTimeout() {
	n.ticksElapsed = 0
	n.electionTimeoutTicks = electionTicksMin + n.rng.IntN(electionTicksMax-electionTicksMin+1)
}

// startPreVote asks the voters whether they would grant a vote. It does not raise
// the term, so a replica that returns from a partition does not depose a working
// leader.
func (n *Node) startPreVote() {
	n.becomeFollower(n.term, "")
	n.role = PreCandidate
	n.votes = map[string]bool{n.id: true}
	if n.hasVoteQuorum() {
		n.startElection(false)
		return
	}
	n.requestVotes(peerv1.RaftMessage_PRE_VOTE, n.term+1, false)
}

// startElection starts an election in the next term. transfer marks the requests of
// a candidate to which the leader transfers leadership.
func (n *Node) startElection(transfer bool) {
	n.becomeFollower(n.term+1, "")
	n.role = Candidate
	n.votedFor = n.id
	n.votes = map[string]bool{n.id: true}
	if n.hasVoteQuorum() {
		n.becomeLeader()
		return
	}
	n.requestVotes(peerv1.RaftMessage_VOTE, n.term, transfer)
}

// requestVotes sends a vote or pre-vote request to all other voters.
func (n *Node) requestVotes(kind peerv1.RaftMessage_Type, term uint64, transfer bool) {
	for _, r := range n.membership().Voters {
		if r.Id == n.id {
			continue
		}
		n.send(&peerv1.RaftMessage{
			Type: kind, To: r.Id, Term: term, Transfer: transfer,
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// send queues a message that is sent after the state that it depends on is stored.
func (n *Node) send(m *peerv1.RaftMessage) {
	n.messages = append(n.messages, n.withHeader(m))
}

// sendImmediately queues a message that may be sent before the entries of the log are
// stored.
func (n *Node) sendImmediately(m *peerv1.RaftMessage) {
	n.immediateMessages = append(n.immediateMessages, n.withHeader(m))
}

// withHeader sets the sender, the generation and, unless it is set, the term of a
// message.
func (n *Node) withHeader(m *peerv1.RaftMessage) *peerv1.RaftMessage {
	m.From = n.id
	m.Generation = n.generation
	if m.Term == 0 {
		m.Term = n.term
	}
	return m
}

// hasVoteQuorum reports whether a quorum of the voters has granted the vote or
// pre-vote.
func (n *Node) hasVoteQuorum() bool {
	granted := 0
	for _, r := range n.membership().Voters {
		if n.votes[r.Id] {
			granted++
		}
	}
	return granted >= n.quorum()
}

func (n *Node) onPreVote(m *peerv1.RaftMessage) {
	granted := m.Term > n.term && n.role != Leader && n.promiseExpired() &&
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
	if n.hasVoteQuorum() && n.promiseExpired() {
		n.startElection(false)
	}
}

// onVote answers a vote request. A request of a later term that arrives while a
// leader may hold a lease is ignored: the node neither answers nor raises its term,
// so that the leader is not deposed.
func (n *Node) onVote(m *peerv1.RaftMessage) {
	if m.Term > n.term {
		if !n.mayVote(m) {
			return
		}
		n.becomeFollower(m.Term, "")
	}
	granted := m.Term == n.term && n.mayVote(m) && (n.votedFor == "" || n.votedFor == m.From) &&
		n.log.upToDate(m.LogIndex, m.LogTerm)
	if granted {
		n.votedFor = m.From
		n.resetElectionTimeout()
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
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

// becomeLeader makes the node the leader of its term. It appends an empty entry,
// because entries of earlier terms are committed only together with an entry of the
// leader's own term.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.votes = nil
	n.ticksElapsed = 0
	n.lease = leaderLease{electedAt: n.now}
	n.progress = map[string]*progress{}
	n.updateProgress()
	n.appendEntry(peerv1.RaftEntry_EMPTY, nil)
	n.sendHeartbeats()
}
