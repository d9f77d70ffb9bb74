package cellnode

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/membership"
	"laburnumgrade/internal/port"
)

// Guards against seeds that cannot name the leader: spare replicas, processes that are
// silent, and those whose replica in the group is one of a lost disk.
func TestLeaderAnnouncesItselfToSeedsOutsideGroup(t *testing.T) {
	seeds := []string{"voter:1", "spare:1", "silent:1", "emptied:1", "self:1"}
	n := &Node{config: Config{PeerAddress: "self:1", Clock: port.NewSystemClock()}, client: cellapi.NewClient(seeds, nil, slog.New(slog.DiscardHandler))}
	n.announcements.byName = map[string]membership.Candidate{}
	for _, id := range []string{"voter:1#1", "spare:1#1", "emptied:1#2"} {
		n.recordAnnouncement(&cellapi.AnnounceReplica{Replica: id, Peer: membership.ProcessName(id)})
	}
	var members []*peerv1.RaftReplica
	for _, id := range []string{"voter:1#1", "silent:1#1", "emptied:1#1", "self:1#1", "other:1#1"} {
		members = append(members, &peerv1.RaftReplica{Id: id, Address: membership.ProcessName(id)})
	}
	assert.DeepEqual(t, n.seedsOutsideGroup(members), []string{"spare:1", "silent:1", "emptied:1"})
}

// Guards against a process that names a former leader, or none while one leads.
func TestAnnouncedLeaderIsNewest(t *testing.T) {
	var l announcedLeader
	now := time.Minute
	assert.Equal(t, l.address(now), "")
	l.record(&cellapi.AnnounceLeader{Leader: "b", Term: 3}, now)
	l.record(&cellapi.AnnounceLeader{Leader: "a", Term: 2}, now+announceInterval)
	assert.Equal(t, l.address(now+announceInterval), "b")
	assert.Equal(t, l.address(now+announcedLeaderTTL+1), "")
	l.record(&cellapi.AnnounceLeader{Leader: "a", Term: 2}, now+announcedLeaderTTL+1)
	assert.Equal(t, l.address(now+announcedLeaderTTL+1), "a")
}
