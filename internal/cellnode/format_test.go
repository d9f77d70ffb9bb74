package cellnode

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
)

// format returns the format of the state on a node.
func (s *testCluster) format(i int) uint32 {
	var format uint32
	s.nodes[i].node.leader.Store.View(func(v *cell.View) { format = v.Format() })
	return format
}

// announceEarlierRelease announces a replica of a release without formats through a node.
func (s *testCluster) announceEarlierRelease(i int) *cellapi.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return s.nodes[i].node.Do(ctx, &cellapi.Call{AnnounceReplica: &cellapi.AnnounceReplica{Replica: "earlier:1#1", Peer: "earlier:1", UnixMS: time.Now().UnixMilli()}})
}

// Guards against replicas of two releases that decide differently on one command: the new rules
// must not be in force while a process of an earlier release may be or become a member of the
// group, and none may join afterwards.
func TestFormatIsAdoptedWithoutEarlierReleases(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 3)
	s.start(0, true)
	s.start(1, true)
	s.putConfiguration(0, 1)
	assert.Equal(t, s.announceEarlierRelease(0).Refused, "")
	s.start(2, true)
	for until := time.Now().Add(4 * announceInterval); time.Now().Before(until); time.Sleep(announceInterval / 4) {
		s.announceEarlierRelease(0)
	}
	for i := range 3 {
		assert.Equal(t, s.format(i), cell.FormatNames, "node %d", i)
	}
	s.waitForFormat(cell.NewestFormat)
	r := s.announceEarlierRelease(1)
	assert.Assert(t, r.Refused != "")
	assert.Assert(t, !slices.Contains(s.nodes[s.waitForLeader()].node.liveAddresses(), "earlier:1"))
}

// waitForFormat waits until all running nodes have a format of the state.
func (s *testCluster) waitForFormat(format uint32) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		lag := 0
		for i, n := range s.nodes {
			if n != nil && s.format(i) != format {
				lag++
			}
		}
		if lag == 0 {
			return
		}
	}
	s.t.Fatalf("the nodes do not have format %d", format)
}

// Guards against a format that is adopted although a member of the group has not been heard of
// since the leader began, and against one that is forgotten with the processes.
func TestFormatWaitsForAllMembersAndLasts(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 3)
	s.start(0, true)
	s.start(1, true)
	s.putConfiguration(0, 1)
	time.Sleep(4 * announceInterval)
	assert.Equal(t, s.format(s.waitForLeader()), cell.FormatNames)
	s.start(2, true)
	s.waitForFormat(cell.NewestFormat)
	for i := range 3 {
		s.stop(i)
	}
	for i := range 3 {
		s.start(i, false)
	}
	s.putConfiguration(0, 2)
	s.waitForFormat(cell.NewestFormat)
}

// teamConfiguration returns a configuration with a queue and two teams.
func teamConfiguration(version int64, first, second string) *cell.Configuration {
	return &cell.Configuration{
		Version: version, Source: []byte{byte(version)}, Services: []cell.Service{{Name: "s"}},
		Queues: []cell.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", TimeoutMS: 1000, MaxFailures: 2}},
		Teams:  []cell.Team{{Name: first, Keys: []string{"k1"}}, {Name: second, Keys: []string{"k2"}}},
	}
}

// Guards against a job that goes to another team when two teams exchange their names, after which
// the leader fails, all processes start again, or a replica without a disk gets a snapshot.
func TestOwnersOutliveLeadersAndDisks(t *testing.T) {
	t.Parallel()
	const id = "00000000000000a1"
	s := newTestCluster(t, 3)
	for i := range 3 {
		s.start(i, true)
	}
	s.waitForLeader()
	s.waitForFormat(cell.NewestFormat)
	checkOwner := func(when string) {
		t.Helper()
		for key, verdict := range map[string]cell.Verdict{"k1": cell.Accepted, "k2": cell.NoJob} {
			r := s.call(0, &cellapi.Call{Status: &cell.Request{Host: "h", Path: "/q/" + id, Key: key}})
			assert.Equal(t, r.Verdict, verdict, "%s: %s", when, key)
		}
	}
	s.call(0, &cellapi.Call{Configure: teamConfiguration(1, "north", "south")})
	submission := &cell.Submit{Request: cell.Request{Host: "h", Path: "/q/" + id, Key: "k1"}, Job: cell.Submission{ID: id, Spec: "s", Steps: []cell.Step{{Count: 1}}}}
	assert.Equal(t, s.call(0, &cellapi.Call{Submit: submission}).Verdict, cell.Accepted)
	s.call(0, &cellapi.Call{Configure: teamConfiguration(2, "south", "north")})
	checkOwner("after the exchange")
	gone := s.waitForLeader()
	s.stop(gone)
	s.folders[gone] = t.TempDir()
	s.start(gone, false)
	checkOwner("under the next leader")
	s.waitForVoters(0, 1, 2)
	s.call(0, &cellapi.Call{Configure: teamConfiguration(3, "north", "south")})
	for i := range 3 {
		s.stop(i)
	}
	for i := range 3 {
		s.start(i, false)
	}
	checkOwner("after a restart of all processes")
	s.call(0, &cellapi.Call{Configure: teamConfiguration(4, "west", "east")})
	checkOwner("after another change")
}
