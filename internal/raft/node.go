package raft

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/peerv1"
)

// Node is one replica of a group. Its methods must not be called concurrently.
type Node struct {
	id              string
	generation      uint64
	term            uint64
	votedFor        string
	role            Role
	leader          string
	now             time.Duration
	log             *entryLog
	retainedEntries uint64
	retainedBytes   int64
	// memberships holds the membership of the snapshot, followed by those of the
	// later entries of the log.
	memberships []membershipAt

	rng *rand.Rand
	// ticksElapsed counts the ticks since the last message of a leader or the last
	// granted vote; on a leader, since the last quorum check.
	ticksElapsed         int
	electionTimeoutTicks int // length of the current election timeout
	ticksSinceHeartbeat  int // since the last heartbeat round was sent
	votes                map[string]bool
	progress             map[string]*progress

	lease leaderLease
	// No vote is granted before promiseUntil, because the leader of promiseTerm or
	// of an earlier term may hold a lease until then.
	promiseUntil time.Duration
	promiseTerm  uint64

	transferee    string
	transferTicks int

	// The messages for the next Ready, see there.
	immediateMessages []*peerv1.RaftMessage
	messages          []*peerv1.RaftMessage
	unstoredMessages  []*peerv1.RaftMessage // for UrgentMessages only, see sendUnstored
	storedHardState   *peerv1.RaftHardState // as of the last Advance
	receivedSnapshot  *peerv1.RaftSnapshot  // to be stored and installed
	currentReady      Ready                 // not yet confirmed by Advance
}

// New returns a node that starts as a follower with the stored state of the Config.
func New(c Config) *Node {
	n := &Node{
		id:              c.ID,
		generation:      c.HardState.GetGeneration(),
		term:            c.HardState.GetTerm(),
		votedFor:        c.HardState.GetVote(),
		now:             c.Now,
		log:             newEntryLog(c.Snapshot, c.Entries),
		retainedEntries: c.RetainedEntries,
		retainedBytes:   c.RetainedBytes,
		rng:             rand.New(rand.NewPCG(c.Seed, 0x6c67)),
		storedHardState: c.HardState,
	}
	base := c.Membership
	if c.Snapshot != nil {
		base = c.Snapshot.Membership
	}
	n.memberships = []membershipAt{{index: c.Snapshot.GetIndex(), members: cloneMembership(base)}}
	for _, e := range c.Entries {
		n.addMembershipOf(e)
	}
	if n.generation == 0 && len(base.GetVoters()) > 0 {
		n.generation = 1
	}
	n.log.commit = max(n.log.commit, min(c.HardState.GetCommit(), n.log.last()))
	if c.HardState != nil {
		// Promises made before a restart are not stored, so the longest possible
		// one is assumed. It was made to a leader of at most the stored term.
		n.promiseUntil = c.Now + PromiseDuration
		n.promiseTerm = n.term
	}
	n.becomeFollower(n.term, "")
	return n
}

// Tick handles the passing of one tick interval; now is the current monotonic time.
func (n *Node) Tick(now time.Duration) {
	n.setNow(now)
	n.ticksElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.ticksElapsed < n.electionTimeoutTicks {
		return
	}
	if !n.isVoter(n.id) {
		n.leader = "" // it may have failed, or this replica may have been removed
		return
	}
	if n.promiseExpired() {
		n.startPreVote()
	}
}

// setNow sets the node's time, which never goes back.
func (n *Node) setNow(now time.Duration) { n.now = max(n.now, now) }

// Step handles a message received from another replica.
func (n *Node) Step(now time.Duration, m *peerv1.RaftMessage) {
	n.setNow(now)
	if m.To != n.id || m.From == n.id || !n.acceptGeneration(m) {
		return
	}
	switch m.Type {
	case peerv1.RaftMessage_PRE_VOTE:
		n.onPreVote(m)
	case peerv1.RaftMessage_PRE_VOTE_REPLY:
		n.onPreVoteReply(m)
	case peerv1.RaftMessage_VOTE:
		n.onVote(m)
	case peerv1.RaftMessage_VOTE_REPLY:
		n.onVoteReply(m)
	case peerv1.RaftMessage_APPEND, peerv1.RaftMessage_HEARTBEAT, peerv1.RaftMessage_SNAPSHOT:
		n.onLeaderMessage(m)
	case peerv1.RaftMessage_APPEND_REPLY, peerv1.RaftMessage_HEARTBEAT_REPLY:
		n.onFollowerReply(m)
	case peerv1.RaftMessage_TIMEOUT_NOW:
		n.onTimeoutNow(m)
	}
}

// acceptGeneration reports whether the message belongs to the node's generation of
// the group. A joining replica without state adopts the generation of the first
// message that it receives.
func (n *Node) acceptGeneration(m *peerv1.RaftMessage) bool {
	uninitialized := n.generation == 0 && n.log.last() == 0 && len(n.membership().Voters) == 0
	if uninitialized {
		n.generation = m.Generation
	}
	return m.Generation == n.generation
}

// Propose appends commands to the leader's log and returns the index of the first one
// and their term.
func (n *Node) Propose(commands [][]byte) (first, term uint64, err error) {
	if err := n.canPropose(); err != nil {
		return 0, 0, err
	}
	first = n.log.last() + 1
	for _, c := range commands {
		n.appendEntry(peerv1.RaftEntry_COMMAND, c)
	}
	return first, n.term, nil
}

// canPropose returns the reason for which proposals are refused, nil if there is none.
func (n *Node) canPropose() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transferee != "" || n.lease.released:
		return ErrTransferring
	}
	return nil
}

// UncommittedBytes returns the size of the entries beyond the commit index in bytes.
func (n *Node) UncommittedBytes() int64 {
	bytes := int64(0)
	for i := max(n.log.commit, n.log.prevIndex) + 1; i <= n.log.last(); i++ {
		bytes += int64(len(n.log.entries[i-n.log.first()].Data))
	}
	return bytes
}

// Ready returns what the caller must store, send and apply; see type Ready. The caller must
// call Advance when it has done so, or Unstored if it could not store it. Until then it may
// call only StepHeartbeat, UrgentMessages and, on a leader, Tick.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		for _, id := range n.otherMembers() {
			n.sendAppends(id)
		}
	}
	r := Ready{ImmediateMessages: n.immediateMessages, Messages: n.messages, Snapshot: n.receivedSnapshot}
	n.immediateMessages, n.messages, n.receivedSnapshot = nil, nil, nil
	if n.log.stable < n.log.last() {
		r.Entries = n.log.slice(n.log.stable+1, n.log.last(), maxInt)
	}
	changed := n.hardStateChanged()
	// A change of the commit index alone is not stored, to save a sync: after a
	// restart the leader sends it again.
	if changed || len(r.Entries) > 0 {
		r.HardState = &peerv1.RaftHardState{Term: n.term, Vote: n.votedFor, Commit: n.log.commit, Generation: n.generation}
	}
	if changed {
		// A sole voter becomes the leader in the step in which it votes for itself.
		// Its messages of the new term must not be sent before the vote is stored.
		r.Messages = append(r.ImmediateMessages, r.Messages...)
		r.ImmediateMessages = nil
	}
	r.CommittedEntries = n.log.slice(n.log.handedOut+1, n.log.commit, maxInt)
	n.currentReady = r
	return r
}

// hardStateChanged reports whether the hard state, apart from the commit index, differs from
// the one that was stored with the last Advance.
func (n *Node) hardStateChanged() bool {
	s := n.storedHardState
	return n.term != s.GetTerm() || n.votedFor != s.GetVote() || n.generation != s.GetGeneration()
}

// StepHeartbeat handles a heartbeat or the answer to one while the last Ready is being
// stored. It returns false, and does nothing, for other messages and for those that would
// change the hard state.
func (n *Node) StepHeartbeat(now time.Duration, m *peerv1.RaftMessage) bool {
	heartbeat := m.Type == peerv1.RaftMessage_HEARTBEAT || m.Type == peerv1.RaftMessage_HEARTBEAT_REPLY
	if !heartbeat || m.Term != n.term || m.Generation != n.generation {
		return false
	}
	n.Step(now, m)
	return true
}

// UrgentMessages returns the messages that may be sent while the last Ready is being stored.
func (n *Node) UrgentMessages() []*peerv1.RaftMessage {
	messages := n.unstoredMessages
	n.unstoredMessages = nil
	if n.hardStateChanged() {
		return messages
	}
	messages = append(messages, n.immediateMessages...)
	n.immediateMessages = nil
	return messages
}

// Advance must be called when the last Ready has been handled completely, apart from
// the work of the state machine.
func (n *Node) Advance() {
	r := n.currentReady
	n.currentReady = Ready{}
	if r.HardState != nil {
		n.storedHardState = r.HardState
	}
	if len(r.Entries) > 0 {
		n.log.stable = r.Entries[len(r.Entries)-1].Index
	}
	if len(r.CommittedEntries) > 0 {
		n.log.handedOut = r.CommittedEntries[len(r.CommittedEntries)-1].Index
	}
	if n.role == Leader {
		n.maybeCommit()
	}
}

// Unstored must be called instead of Advance if the caller could not store the last Ready and
// has carried out none of what follows; the storage holds no other entries than before, and may
// lack those that the Ready replaces. The
// next Ready has the same state to store. The messages are dropped, because they tell of state
// that is not stored; Raft tolerates that. A leader or candidate becomes a follower: it cannot
// count itself towards a commit or its own vote, and others may have a disk that has space.
//
// The result is the committed entries that are stored and were not handed out. The caller passes
// them to the state machine: a snapshot that covers them may make space.
//
// Until the state is stored, the caller calls StepHeartbeat, UrgentMessages, TickUnstored and
// StepReplacement, but neither Tick, which may campaign, nor Step.
func (n *Node) Unstored() []*peerv1.RaftEntry {
	r := n.currentReady
	n.currentReady = Ready{}
	n.receivedSnapshot = r.Snapshot
	n.immediateMessages, n.messages = nil, nil
	if n.role != Follower {
		n.becomeFollower(n.term, "")
	}
	if n.receivedSnapshot != nil {
		return nil // the state machine has to restore it first
	}
	committed := n.log.slice(n.log.handedOut+1, min(n.log.commit, n.log.stable), maxInt)
	n.log.handedOut += uint64(len(committed))
	return committed
}

// StepReplacement handles a message of a leader with which entries that the log holds are replaced,
// while the last Ready is not stored. It returns true if it did: the next Ready may then be stored,
// because replaced entries need no space any more.
//
// A heartbeat of a term that is not stored, and an append that does not follow the log, change
// nothing and are answered, so that the leader sends appends and finds the last entry that matches.
// The answers promise nothing that is not stored, therefore the term that they carry need not be
// stored either: a rejection promises nothing, an acknowledgement only entries that are committed
// and stored, and the answer to round 0, which is never sent, does not extend the lease. All other
// messages are ignored.
func (n *Node) StepReplacement(now time.Duration, m *peerv1.RaftMessage) bool {
	if m.To != n.id || m.Generation != n.generation || m.Term < n.term || n.role == Leader {
		return false
	}
	replaces := false
	switch m.Type {
	case peerv1.RaftMessage_HEARTBEAT:
		if m.Term != n.storedHardState.GetTerm() {
			n.sendUnstored(m, &peerv1.RaftMessage{Type: peerv1.RaftMessage_HEARTBEAT_REPLY, To: m.From})
		}
	case peerv1.RaftMessage_APPEND:
		if m.LogIndex < n.log.commit {
			if n.receivedSnapshot == nil && n.log.commit <= n.log.stable {
				n.sendUnstored(m, &peerv1.RaftMessage{Type: peerv1.RaftMessage_APPEND_REPLY, To: m.From, LogIndex: n.log.commit})
			}
			return false
		}
		if !n.log.matches(m.LogIndex, m.LogTerm) {
			n.sendUnstored(m, n.appendRejection(m))
			return false
		}
		replaces = slices.ContainsFunc(m.Entries, func(e *peerv1.RaftEntry) bool {
			return e.Index <= n.log.last() && !n.log.matches(e.Index, e.Term)
		})
	case peerv1.RaftMessage_SNAPSHOT:
		s := m.Snapshot
		replaces = n.receivedSnapshot == nil && s.GetIndex() > n.log.commit && !n.log.matches(s.Index, s.Term)
	}
	if replaces {
		n.Step(now, m)
	}
	return replaces
}

// sendUnstored queues the answer to a message that does not depend on any state to be stored.
func (n *Node) sendUnstored(m, reply *peerv1.RaftMessage) {
	reply.Term = m.Term
	n.unstoredMessages = append(n.unstoredMessages, n.withHeader(reply))
}

// TickUnstored handles the passing of one tick interval while the last Ready is not stored. The
// node does not campaign, but forgets a silent leader.
func (n *Node) TickUnstored(now time.Duration) {
	n.setNow(now)
	n.ticksElapsed++
	if n.ticksElapsed >= n.electionTimeoutTicks {
		n.leader = ""
		n.resetElectionTimeout()
	}
}

// Applied confirms that the state machine has applied the log up to index, from the
// snapshots and entries of handled Readys. It may be called with a lower index than
// before, which has no effect.
func (n *Node) Applied(index uint64) {
	if index > n.log.handedOut {
		panic("raft: applied an entry that was not handed out")
	}
	n.log.applied = max(n.log.applied, index)
}

// Snapshot returns a snapshot at an applied index; data is the encoded state of the
// state machine at that index. The caller stores it and then passes it to Compact. The
// snapshot is nil if there is one of that index or a later one already, which may have
// been received while the state was being encoded.
func (n *Node) Snapshot(index uint64, data []byte) *peerv1.RaftSnapshot {
	if index > n.log.applied {
		panic("raft: snapshot of an entry that is not applied")
	}
	if index <= n.log.snapshot.GetIndex() {
		return nil
	}
	term, _ := n.log.term(index)
	return &peerv1.RaftSnapshot{
		Index:      index,
		Term:       term,
		Membership: cloneMembership(n.membershipAtIndex(index)),
		Data:       data,
	}
}

// Compact drops the entries that a stored snapshot covers, except for the last
// Config.RetainedEntries and RetainedBytes.
func (n *Node) Compact(s *peerv1.RaftSnapshot) {
	n.log.compact(s, n.retainedEntries, n.retainedBytes)
	n.compactMemberships(s.Index)
}

// Recover makes this replica the only voter of a new generation of the group. An
// operator uses it after a permanent loss of the quorum. Entries that only lost
// replicas held are lost, uncommitted entries of this replica become committed, and
// messages of the old generation are ignored from then on. now is the current
// monotonic time, self the member entry of this replica.
func (n *Node) Recover(now time.Duration, self *peerv1.RaftReplica) error {
	n.setNow(now)
	if n.role == Leader {
		return ErrLeading
	}
	n.generation++
	n.becomeFollower(n.term+1, "")
	data, err := proto.Marshal(&peerv1.RaftMembership{Voters: []*peerv1.RaftReplica{self}})
	if err != nil {
		return err
	}
	n.appendEntry(peerv1.RaftEntry_MEMBERSHIP, data)
	n.promiseUntil = n.now + PromiseDuration
	n.promiseTerm = n.term
	return nil
}

// Status returns a snapshot of the node's state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Role: n.role, Term: n.term, Generation: n.generation, Leader: n.leader,
		FirstIndex: n.log.first(), LastIndex: n.log.last(), CommitIndex: n.log.commit, AppliedIndex: n.log.applied,
		Membership: n.membership(), ChangePending: n.changePending(), Transferring: n.transferee != "",
	}
	if n.role == Leader {
		s.Match = map[string]uint64{n.id: n.log.stable}
		for id, p := range n.progress {
			s.Match[id] = p.match
		}
	}
	return s
}

// maxInt is passed to entryLog.slice for no limit of the size.
const maxInt = int(^uint(0) >> 1)
