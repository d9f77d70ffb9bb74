package cellnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/membership"
)

const (
	// announceInterval is how often a process tells the leader that it lives.
	announceInterval = 500 * time.Millisecond
	// repairInterval is how often the leader looks for membership changes.
	repairInterval = 250 * time.Millisecond
	// repairTimeout bounds one change, including the copy of the state.
	repairTimeout = 10 * time.Second
	// voters is how many voters the group has: it works on while one is lost.
	voters = 3
	// silent is how long a voter may be silent before a spare replaces it:
	// longer than the restart of a process, shorter than most partitions.
	silent = 5 * time.Second
)

// members is what the leader knows of the replicas.
type members struct {
	mu         sync.Mutex
	candidates map[string]membership.Candidate
}

// joined notes a replica that announces itself.
func (n *Node) joined(id, address string) {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	n.members.candidates[membership.ProcessName(id)] = membership.Candidate{
		Replica: membership.Replica{ID: id, Address: address}, LastSeen: n.c.Clock.Now(),
	}
}

// peers returns the addresses of the control processes that live.
func (n *Node) peers() []string {
	var list []string
	for _, v := range n.replica.Status().Voters {
		list = append(list, v.Address)
	}
	now := n.c.Clock.Now()
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	for _, c := range n.members.candidates {
		if now-c.LastSeen < silent && !slices.Contains(list, c.Address) {
			list = append(list, c.Address)
		}
	}
	slices.Sort(list)
	return list
}

// announce tells the leader that the replica lives, until the context ends.
func (n *Node) announce(ctx context.Context) {
	replica := n.replica.Status().ID
	for {
		join := &cellapi.AnnounceReplica{Replica: replica, Peer: n.c.PeerAddress, UnixMS: time.Now().UnixMilli()}
		call, cancel := context.WithTimeout(ctx, announceInterval)
		if r := n.Do(call, &cellapi.Call{AnnounceReplica: join}); r.Refused != "" || r.Unknown != "" {
			n.c.Logger.Debug("replica not announced", logging.Step("join"), "reason", r.Refused+r.Unknown)
		} else {
			n.leader.SetAdviceCallers(r.AdviceCallers)
		}
		cancel()
		if !cellapi.Pause(ctx, announceInterval) {
			return
		}
	}
}

// repair makes the membership changes that are due while the process leads.
func (n *Node) repair(ctx context.Context) {
	for cellapi.Pause(ctx, repairInterval) {
		since, leads := n.replica.Lease()
		if !leads {
			continue
		}
		change := membership.Next(n.view(since))
		if change.Kind != membership.None {
			n.change(ctx, change)
		}
	}
}

func (n *Node) change(ctx context.Context, change membership.Change) {
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
		n.c.Logger.Warn("membership not changed", logging.Step("repair"), "old", change.OldID, "new", change.New.ID, logging.Error(err))
		return
	}
	n.c.Logger.Info("membership changed", logging.Step("repair"), "old", change.OldID, "new", change.New.ID)
}

// view returns what the leader knows of the group.
func (n *Node) view(since time.Duration) *membership.View {
	s := n.replica.Status()
	now := n.c.Clock.Now()
	v := &membership.View{Candidates: map[string]membership.Candidate{}, Now: now, VoterTimeout: silent}
	n.members.mu.Lock()
	for name, c := range n.members.candidates {
		v.Candidates[name] = c
	}
	n.members.mu.Unlock()
	for _, r := range s.Voters {
		v.Voters = append(v.Voters, membership.Replica{ID: r.Id, Address: r.Address})
		v.PreferredVoters = append(v.PreferredVoters, membership.ProcessName(r.Id))
	}
	for len(v.PreferredVoters) < voters {
		v.PreferredVoters = append(v.PreferredVoters, "")
	}
	v.PreferredVoters = v.PreferredVoters[:voters]
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
