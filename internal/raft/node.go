package raft

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/peerv1"
)

// Node is one replica of a group. Its methods are called from one goroutine.
type Node struct {
	id         string
	generation uint64
	term       uint64
	vote       string
	role       Role
	leader     string
	now        time.Duration
	log        *entryLog
	tail       uint64
	// memberships holds the membership of the snapshot, then each later one in
	// the log.
	memberships []membershipAt

	rng       *rand.Rand
	elapsed   int // ticks since the last sign of a leader, or since leading
	timeout   int // ticks of the current election timeout
	sinceBeat int // ticks since the last heartbeat round
	votes     map[string]bool
	progress  map[string]*progress

	lease leaderLease
	// Until promiseUntil no vote is granted, because the leader of promiseTerm
	// or of an earlier term may hold a lease.
	promiseUntil time.Duration
	promiseTerm  uint64

	transferTo    string
	transferTicks int

	early       []*peerv1.RaftMessage
	messages    []*peerv1.RaftMessage
	stored      *peerv1.RaftHardState
	newSnapshot *peerv1.RaftSnapshot
	handed      Ready
}

// New returns a node with the given state.
func New(c Config) *Node {
	n := &Node{
		id:         c.ID,
		generation: c.HardState.GetGeneration(),
		term:       c.HardState.GetTerm(),
		vote:       c.HardState.GetVote(),
		now:        c.Now,
		log:        newEntryLog(c.Snapshot, c.Entries),
		tail:       c.RetainedEntries,
		rng:        rand.New(rand.NewPCG(c.Seed, 0x6c67)),
		stored:     c.HardState,
	}
	base := c.Membership
	if c.Snapshot != nil {
		base = c.Snapshot.Membership
	}
	n.memberships = []membershipAt{{index: c.Snapshot.GetIndex(), members: cloneMembership(base)}}
	for _, e := range c.Entries {
		n.noteMembership(e)
	}
	if n.generation == 0 && len(base.GetVoters()) > 0 {
		n.generation = 1
	}
	n.log.commit = max(n.log.commit, min(c.HardState.GetCommit(), n.log.last()))
	if c.HardState != nil {
		// The promises made before the restart are not stored; any of them was
		// made to a leader of at most the stored term.
		n.promiseUntil = c.Now + PromiseDuration
		n.promiseTerm = n.term
	}
	n.becomeFollower(n.term, "")
	return n
}

// Tick advances the node by one tick interval.
func (n *Node) Tick(now time.Duration) {
	n.setNow(now)
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout && n.isVoter(n.id) && n.promiseOver() {
		n.campaign()
	}
}

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

// acceptGeneration reports whether the message belongs to the node's generation
// of the group. A joining replica without state adopts that of the first message.
func (n *Node) acceptGeneration(m *peerv1.RaftMessage) bool {
	blank := n.generation == 0 && n.log.last() == 0 && len(n.members().Voters) == 0
	if blank {
		n.generation = m.Generation
	}
	return m.Generation == n.generation
}

// Propose appends commands to the leader's log and returns the index of the
// first and the term of all.
func (n *Node) Propose(commands [][]byte) (first, term uint64, err error) {
	if err := n.canPropose(); err != nil {
		return 0, 0, err
	}
	first = n.log.last() + 1
	for _, c := range commands {
		n.appendOwn(peerv1.RaftEntry_COMMAND, c)
	}
	return first, n.term, nil
}

func (n *Node) canPropose() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transferTo != "" || n.lease.released:
		return ErrTransferring
	}
	return nil
}

// Ready returns what is to be done, see type Ready. Advance must follow.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		for _, id := range n.others() {
			n.sendAppends(id)
		}
	}
	r := Ready{ImmediateMessages: n.early, Messages: n.messages, Snapshot: n.newSnapshot}
	n.early, n.messages, n.newSnapshot = nil, nil, nil
	if n.log.stable < n.log.last() {
		r.Entries = n.log.slice(n.log.stable+1, n.log.last(), maxInt)
	}
	hard := &peerv1.RaftHardState{Term: n.term, Vote: n.vote, Commit: n.log.commit, Generation: n.generation}
	changed := hard.Term != n.stored.GetTerm() || hard.Vote != n.stored.GetVote() ||
		hard.Generation != n.stored.GetGeneration()
	// The commit index alone is not worth a sync: it is learned again.
	if changed || len(r.Entries) > 0 {
		r.HardState = hard
	}
	if changed {
		// A sole voter leads a term in the same step in which it votes for
		// itself: nothing of that term may be seen before the vote is stored.
		r.Messages = append(r.ImmediateMessages, r.Messages...)
		r.ImmediateMessages = nil
	}
	r.CommittedEntries = n.log.slice(n.log.applied+1, n.log.commit, maxInt)
	n.handed = r
	return r
}

// Advance says that the last Ready has been handled completely.
func (n *Node) Advance() {
	r := n.handed
	n.handed = Ready{}
	if r.HardState != nil {
		n.stored = r.HardState
	}
	if len(r.Entries) > 0 {
		n.log.stable = r.Entries[len(r.Entries)-1].Index
	}
	if len(r.CommittedEntries) > 0 {
		n.log.applied = r.CommittedEntries[len(r.CommittedEntries)-1].Index
	}
	if n.role == Leader {
		n.maybeCommit()
	}
}

// Snapshot returns the snapshot of the state machine's encoded state at the
// applied index, to be stored and then passed to Compact.
func (n *Node) Snapshot(data []byte) *peerv1.RaftSnapshot {
	term, _ := n.log.term(n.log.applied)
	return &peerv1.RaftSnapshot{
		Index:      n.log.applied,
		Term:       term,
		Membership: cloneMembership(n.membershipAtIndex(n.log.applied)),
		Data:       data,
	}
}

// Compact drops the entries that a stored snapshot covers, but for the tail.
func (n *Node) Compact(s *peerv1.RaftSnapshot) {
	n.log.compact(s, n.tail)
	n.compactMemberships(s.Index)
}

// Recover makes this replica the only voter of a new generation of the group.
// It is the operator's answer to a quorum that is lost for good: entries that
// only lost replicas held are lost, uncommitted entries held here become
// committed, and replicas of the old generation are ignored from then on.
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
	n.appendOwn(peerv1.RaftEntry_MEMBERSHIP, data)
	n.promiseUntil = n.now + PromiseDuration
	n.promiseTerm = n.term
	return nil
}

// Status returns a view of the node.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Role: n.role, Term: n.term, Generation: n.generation, Leader: n.leader,
		FirstIndex: n.log.first(), LastIndex: n.log.last(), CommitIndex: n.log.commit, AppliedIndex: n.log.applied,
		Membership: n.members(), ChangePending: n.changePending(), Transferring: n.transferTo != "",
	}
	if n.role == Leader {
		s.Match = map[string]uint64{n.id: n.log.stable}
		for id, p := range n.progress {
			s.Match[id] = p.match
		}
	}
	return s
}

const maxInt = int(^uint(0) >> 1)
