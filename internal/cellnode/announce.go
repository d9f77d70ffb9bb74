package cellnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/membership"
)

// announcedLeaderTTL is how long after its last announcement a leader is named to others.
const announcedLeaderTTL = 4 * announceInterval

// announcedLeader is the newest leader that announced itself to this process.
type announcedLeader struct {
	mu     sync.Mutex
	leader cellapi.AnnounceLeader
	at     time.Duration
}

// record records an announcement. One of an earlier term is ignored while the later
// leader's is valid.
func (l *announcedLeader) record(a *cellapi.AnnounceLeader, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Term >= l.leader.Term || now-l.at > announcedLeaderTTL {
		l.leader, l.at = *a, now
	}
}

// address returns the peer address of the leader, empty if its last announcement is older
// than announcedLeaderTTL.
func (l *announcedLeader) address(now time.Duration) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.at > announcedLeaderTTL {
		return ""
	}
	return l.leader.Leader
}

// announceLeader announces this process, while it leads, to the seeds that do not learn of
// the leader as members of the group, until the context ends. Processes that know no other
// ones find the leader through the seeds.
func (n *Node) announceLeader(ctx context.Context) {
	for cellapi.Pause(ctx, announceInterval) {
		if _, leads := n.replica.Lease(); !leads {
			continue
		}
		s := n.replica.Status()
		a := &cellapi.AnnounceLeader{Leader: n.config.PeerAddress, Term: s.Term}
		for _, address := range n.seedsOutsideGroup(slices.Concat(s.Voters, s.Learners)) {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, announceInterval)
				defer cancel()
				_ = n.client.AnnounceLeader(ctx, address, a) // repeated at the next interval
			}()
		}
	}
}

// seedsOutsideGroup returns the seeds other than this process whose replica is not known to
// be one of the members: after the loss of a disk a process has another replica at the same
// address.
func (n *Node) seedsOutsideGroup(members []*peerv1.RaftReplica) []string {
	now := n.config.Clock.Now()
	inside := map[string]bool{n.config.PeerAddress: true}
	n.announcements.mu.Lock()
	for _, r := range members {
		c, announced := n.announcements.byName[membership.ProcessName(r.Id)]
		if announced && c.ID == r.Id && now-c.LastSeen < announcedLeaderTTL {
			inside[r.Address] = true
		}
	}
	n.announcements.mu.Unlock()
	return slices.DeleteFunc(n.client.Seeds(), func(seed string) bool { return inside[seed] })
}
