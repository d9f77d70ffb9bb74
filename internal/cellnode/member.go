package cellnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/membership"
)

const (
	// announceInterval is the interval at which a process announces its replica to the
	// leader.
	announceInterval = 500 * time.Millisecond
	// repairInterval is the interval at which the leader checks for due membership
	// changes.
	repairInterval = 250 * time.Millisecond
	// repairTimeout is the timeout of one membership change, including the transfer of a
	// snapshot to the new replica. A change that is not finished then is continued unless
	// a more urgent one is due.
	repairTimeout = 2 * time.Second
	// settleTime is how long a new leader collects announcements before it adds voters.
	settleTime = 2 * announceInterval
	// voterSilenceTimeout is the time without an announcement after which a voter is
	// replaced by a spare replica: longer than the restart of a process, shorter than
	// most partitions.
	voterSilenceTimeout = 5 * time.Second
)

// announcedReplicas contains the newest announcement of each process, by the name of the
// process.
type announcedReplicas struct {
	mu     sync.Mutex
	byName map[string]membership.Candidate
}

// recordAnnouncement records the announcement of a replica with its time.
func (n *Node) recordAnnouncement(a *cellapi.AnnounceReplica) {
	n.announcements.mu.Lock()
	defer n.announcements.mu.Unlock()
	membership.Record(n.announcements.byName, membership.Candidate{
		Replica: membership.Replica{ID: a.Replica, Address: a.Peer}, DataCentre: a.DataCentre, LastSeen: n.config.Clock.Now(), Format: a.Format,
	})
}

// voterCount returns the number of voters that the group should have: a majority of them
// remains after the loss of as many VMs, or data centres with one voter each, as must be
// tolerated.
func (t Tolerance) voterCount() int { return 2*t.lostVoters() + 1 }

// lostVoters returns the number of voters that may be lost at the same time.
func (t Tolerance) lostVoters() int { return max(1, t.VMs, t.DataCentres) }

// maxPerDataCentre returns the number of voters that one data centre may have, 0 if no loss
// of a data centre need be tolerated.
func (t Tolerance) maxPerDataCentre() int {
	if t.DataCentres == 0 {
		return 0
	}
	return t.lostVoters() / t.DataCentres
}

// liveAddresses returns the sorted addresses of the voters and of all other control
// processes that announced a replica within voterSilenceTimeout.
func (n *Node) liveAddresses() []string {
	var list []string
	for _, v := range n.replica.Status().Voters {
		list = append(list, v.Address)
	}
	now := n.config.Clock.Now()
	n.announcements.mu.Lock()
	defer n.announcements.mu.Unlock()
	for _, c := range n.announcements.byName {
		if now-c.LastSeen < voterSilenceTimeout && !slices.Contains(list, c.Address) {
			list = append(list, c.Address)
		}
	}
	slices.Sort(list)
	return list
}

// groupFormat returns the newest format of the state that all members of the group apply, and
// all processes that may become members. It is cell.FormatNames as long as that is not known of a
// member.
func (n *Node) groupFormat() uint32 {
	s := n.replica.Status()
	now := n.config.Clock.Now()
	n.announcements.mu.Lock()
	defer n.announcements.mu.Unlock()
	format := cell.NewestFormat
	for _, member := range slices.Concat(s.Voters, s.Learners) {
		c, announced := n.announcements.byName[membership.ProcessName(member.Id)]
		if !announced || c.ID != member.Id {
			return cell.FormatNames
		}
		format = min(format, c.Format)
	}
	for _, c := range n.announcements.byName {
		if now-c.LastSeen < voterSilenceTimeout {
			format = min(format, c.Format)
		}
	}
	return format
}

// announceReplica announces the replica to the leader at each announceInterval, and
// receives the advice callers, until the context ends.
func (n *Node) announceReplica(ctx context.Context) {
	replica := n.replica.Status().ID
	for {
		announcement := &cellapi.AnnounceReplica{Replica: replica, Peer: n.config.PeerAddress, UnixMS: time.Now().UnixMilli(), DataCentre: n.config.DataCentre, Format: cell.NewestFormat}
		callCtx, cancel := context.WithTimeout(ctx, announceInterval)
		if r := n.Do(callCtx, &cellapi.Call{AnnounceReplica: announcement}); r.Refused != "" || r.Unknown != "" {
			n.config.Logger.Debug("replica not announced", logging.Step("join"), "reason", r.Refused+r.Unknown)
		} else {
			n.leader.SetAdviceCallers(r.AdviceCallers)
		}
		cancel()
		if !cellapi.Pause(ctx, announceInterval) {
			return
		}
	}
}

// repairMembership applies the membership changes that are due while the process leads,
// until the context ends.
func (n *Node) repairMembership(ctx context.Context) {
	for cellapi.Pause(ctx, repairInterval) {
		since, leads := n.replica.Lease()
		if !leads {
			continue
		}
		change := membership.Next(n.membershipView(since))
		settled := n.config.Clock.Now()-since >= settleTime
		if change.Kind != membership.None && (change.Kind != membership.Add || settled) {
			n.applyChange(ctx, change)
		}
	}
}

// applyChange applies a membership change and logs its outcome.
func (n *Node) applyChange(ctx context.Context, change membership.Change) {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	added := &peerv1.RaftReplica{Id: change.New.ID, Address: change.New.Address}
	var err error
	switch change.Kind {
	case membership.Add:
		err = n.replica.Add(ctx, added)
	case membership.Replace:
		err = n.replica.Replace(ctx, change.OldID, added)
	case membership.Remove:
		err = n.replica.Remove(ctx, change.OldID)
	}
	if err != nil {
		n.config.Logger.Warn("membership not changed", logging.Step("repair"), "old", change.OldID, "new", change.New.ID, logging.Error(err))
		return
	}
	n.config.Logger.Info("membership changed", logging.Step("repair"), "old", change.OldID, "new", change.New.ID)
}

// membershipView returns the leader's view of the group. since is the start of its
// leadership, which is also LastSeen of every voter that has sent no announcement since.
func (n *Node) membershipView(since time.Duration) *membership.View {
	s := n.replica.Status()
	now := n.config.Clock.Now()
	v := &membership.View{Candidates: map[string]membership.Candidate{}, Now: now, VoterTimeout: voterSilenceTimeout,
		Leader: s.ID, LeaderSince: since, PreferredVoters: make([]string, n.config.Tolerance.voterCount()), MaxPerDataCentre: n.config.Tolerance.maxPerDataCentre()}
	n.announcements.mu.Lock()
	for name, c := range n.announcements.byName {
		v.Candidates[name] = c
	}
	n.announcements.mu.Unlock()
	for _, r := range s.Voters {
		v.Voters = append(v.Voters, membership.Replica{ID: r.Id, Address: r.Address})
	}
	for _, r := range s.Learners {
		v.Learners = append(v.Learners, membership.Replica{ID: r.Id, Address: r.Address})
	}
	v.LastSeen = func(id string) time.Duration {
		if id == s.ID {
			return now
		}
		if c, ok := v.Candidates[membership.ProcessName(id)]; ok && c.ID == id {
			return max(c.LastSeen, since)
		}
		return since
	}
	return v
}
