package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/membership"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
	"laburnumgrade/internal/timeline"
)

const (
	// announceInterval is how often a replica announces itself to its leader.
	announceInterval = time.Second
	// repairInterval is how often a leader looks for changes to its group.
	repairInterval = 500 * time.Millisecond
	// repairTimeout bounds one membership change, which includes copying the state to
	// a new replica.
	repairTimeout = time.Minute
)

// Replica is the process's replica of a group with its operations for changes of
// membership.
type Replica interface {
	port.ReplicatedLog
	// ID returns the id of the replica itself.
	ID() string
	// HasState reports whether the replica has any state of the group.
	HasState() bool
	// StateKnown reports whether it is known if the replica has any state of the group,
	// which it is not until its data folder was opened.
	StateKnown() bool
	// Membership returns the members by the replica's own log, which may be behind.
	Membership() *peerv1.RaftMembership
	// Term returns the current term and the commit index.
	Term() (term, commit uint64)
	// Add makes a new replica a voter once it has the whole log.
	Add(ctx context.Context, r *peerv1.RaftReplica) error
	// Replace makes a new replica a voter in place of another.
	Replace(ctx context.Context, old string, r *peerv1.RaftReplica) error
	// Remove removes a replica.
	Remove(ctx context.Context, id string) error
	// Recover makes the replica the only voter of a new generation of the group.
	Recover(ctx context.Context) error
}

// HostedGroup is a group of which the process hosts a replica, and the replicas that
// have asked to join it while the process leads.
type HostedGroup struct {
	// Group is the name of the group: that of a data centre, or "fleet".
	Group   string
	Replica Replica
	// Address is the address of this replica for the other ones.
	Address string
	// PreferredVoters are the names of the processes that should be voters, in order of
	// preference.
	PreferredVoters []string
	// Peers sends calls to the group's leader; it finds the leader through the preferred
	// voters.
	Peers *peer.GroupClient

	mu         sync.Mutex
	candidates map[string]membership.Candidate
}

// GroupServer serves GroupService.
type GroupServer struct{ server *Server }

// Describe reports whether the process has any state of the group, and its leader. It returns
// an error while that is not known: with the answer "none", a process that has lost its disk
// and restarts together with this one would bootstrap the group a second time, under the id
// that it has in the first.
func (s *GroupServer) Describe(_ context.Context, r *peerv1.DescribeRequest) (*peerv1.DescribeReply, error) {
	m := s.server.hostedGroups[r.Group]
	if m == nil {
		return &peerv1.DescribeReply{}, nil
	}
	if !m.Replica.StateKnown() {
		return nil, twirp.NewError(twirp.Unavailable, "the data folder of group "+r.Group+" is being opened")
	}
	leader, _ := m.Replica.Leader()
	return &peerv1.DescribeReply{Known: m.Replica.HasState(), Leader: leader}, nil
}

// Join records a replica that announces itself as a candidate for membership and
// reports whether it is a voter. Voters announce themselves too. The loop in
// repairMembership makes the membership changes.
func (s *GroupServer) Join(_ context.Context, r *peerv1.JoinRequest) (*peerv1.JoinReply, error) {
	m := s.server.hostedGroups[r.Group]
	if m == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this process holds no replica of group "+r.Group)
	}
	if _, err := leadershipSince(r.Group, m.Replica); err != nil {
		return nil, err
	}
	if r.Replica.GetId() != "" {
		m.recordCandidate(r.Replica, s.server.clock.Now())
	}
	reply := &peerv1.JoinReply{}
	for _, v := range m.Replica.Membership().GetVoters() {
		reply.Voter = reply.Voter || v.Id == r.Replica.GetId()
	}
	return reply, nil
}

// Recover makes the process's replica the only voter of a new generation of the group.
// An operator calls it when a quorum of the group is lost permanently.
func (s *GroupServer) Recover(ctx context.Context, r *apiv1.RecoverGroupRequest) (*apiv1.RecoverGroupResponse, error) {
	m := s.server.hostedGroups[r.Group]
	if m == nil {
		return nil, twirp.NotFoundError("this process holds no replica of group " + r.Group)
	}
	if !m.Replica.HasState() {
		return nil, twirp.NewError(twirp.Aborted, "the replica of this process holds no state of group "+r.Group)
	}
	s.server.logger.Warn("recovering the group with one replica at the request of the operator", "step", "recover", "group", r.Group, "replica", m.Replica.ID())
	if err := m.Replica.Recover(ctx); err != nil {
		return nil, recoverError(err)
	}
	term, _ := m.Replica.Term()
	s.server.events.Record(timeline.Event{Kind: timeline.MembershipChanged, Peer: m.Replica.ID(), Detail: "group " + r.Group + " recovered by the operator"})
	return &apiv1.RecoverGroupResponse{Replica: m.Replica.ID(), Term: term}, nil
}

// recoverError converts the error of a recovery. Aborted says that it has not begun; after
// any other error the replica may be in the new generation.
func recoverError(err error) error {
	var notStarted *port.NotLeaderError
	if errors.Is(err, raft.ErrLeading) || errors.As(err, &notStarted) {
		return twirp.NewError(twirp.Aborted, err.Error())
	}
	return twirp.InternalErrorWith(err)
}

// recordCandidate records that the replica has announced itself.
func (m *HostedGroup) recordCandidate(r *peerv1.RaftReplica, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.candidates == nil {
		m.candidates = map[string]membership.Candidate{}
	}
	membership.Record(m.candidates, membership.Candidate{Replica: membership.Replica{ID: r.GetId(), Address: r.GetAddress()}, LastSeen: now})
}

// announceReplica announces the replica to the group's leader at each interval until the
// context ends.
func (s *Server) announceReplica(ctx context.Context, m *HostedGroup) {
	once := func() {
		// The id is empty until the replica is started; the leader ignores it.
		request := &peerv1.JoinRequest{Group: m.Group, Replica: &peerv1.RaftReplica{Id: m.Replica.ID(), Address: m.Address}}
		call, cancel := context.WithTimeout(ctx, announceInterval)
		defer cancel()
		_, err := peer.Call(call, m.Peers, func(ctx context.Context, c *http.Client, url string) (*peerv1.JoinReply, error) {
			return peerv1.NewGroupServiceProtobufClient(url, c).Join(ctx, request)
		})
		if err != nil && ctx.Err() == nil {
			s.logger.Debug("failed to announce the replica to the group's leader", "step", "join", "group", m.Group, "error", err)
		}
	}
	once()
	every(ctx, announceInterval, once)
}

// repairMembership makes the membership changes that are due while this process leads
// the group.
func (s *Server) repairMembership(ctx context.Context, m *HostedGroup) {
	whileLeading(ctx, m.Replica, repairInterval, func(since time.Duration) { s.repairMembershipOnce(ctx, m, since) })
}

// repairMembershipOnce makes the next membership change, if there is one.
func (s *Server) repairMembershipOnce(ctx context.Context, m *HostedGroup, since time.Duration) {
	change := membership.Next(m.membershipView(since, s.clock.Now()))
	if change.Kind == membership.None {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	began := time.Now()
	added := &peerv1.RaftReplica{Id: change.New.ID, Address: change.New.Address}
	var err error
	switch change.Kind {
	case membership.Add:
		err = m.Replica.Add(ctx, added)
	case membership.Replace:
		err = m.Replica.Replace(ctx, change.OldID, added)
	case membership.Remove:
		err = m.Replica.Remove(ctx, change.OldID)
	}
	log := s.logger.With("step", "repair", "group", m.Group, "old", change.OldID, "new", change.New.ID, "duration_ms", time.Since(began).Milliseconds())
	if err != nil {
		log.Warn("membership change failed", "error", err)
		return
	}
	log.Info("membership changed")
	s.events.Record(timeline.Event{Kind: timeline.MembershipChanged, Peer: change.New.ID, Detail: "group " + m.Group + ", old " + change.OldID})
}

// membershipView returns the input for membership.Next. A voter that has not announced
// itself during this leadership counts as last seen when the leadership began.
func (m *HostedGroup) membershipView(since, now time.Duration) *membership.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := &membership.View{PreferredVoters: m.PreferredVoters, Candidates: map[string]membership.Candidate{}, Now: now}
	for name, c := range m.candidates {
		v.Candidates[name] = c
	}
	members := m.Replica.Membership()
	for _, r := range members.GetVoters() {
		v.Voters = append(v.Voters, membership.Replica{ID: r.Id, Address: r.Address})
	}
	for _, r := range members.GetLearners() {
		v.Learners = append(v.Learners, membership.Replica{ID: r.Id, Address: r.Address})
	}
	self := m.Replica.ID()
	v.LastSeen = func(id string) time.Duration {
		if id == self {
			return now
		}
		if c, ok := v.Candidates[membership.ProcessName(id)]; ok && c.ID == id {
			return max(c.LastSeen, since)
		}
		return since
	}
	return v
}

// status returns the leader, term and members of the group as this replica has them.
func (m *HostedGroup) status() *apiv1.GroupStatus {
	leader, _ := m.Replica.Leader()
	term, commit := m.Replica.Term()
	s := &apiv1.GroupStatus{Group: m.Group, Leader: leader, Term: term, Commit: commit, Replica: m.Replica.ID()}
	members := m.Replica.Membership()
	for _, v := range members.GetVoters() {
		s.Voters = append(s.Voters, v.Id)
	}
	for _, l := range members.GetLearners() {
		s.Learners = append(s.Learners, l.Id)
	}
	return s
}
