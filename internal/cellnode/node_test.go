package cellnode

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/descriptor"
	"laburnumgrade/internal/dispatch"
	"laburnumgrade/internal/port"
)

// noAdviser is an adviser that has no advice service.
type noAdviser struct{}

func (noAdviser) Advise(context.Context, *cellapi.AdviceRequest) *cellapi.AdviceReply {
	return &cellapi.AdviceReply{Error: "there is no service"}
}

// testCluster is a set of nodes on loopback addresses; a node that is not running is nil.
type testCluster struct {
	t         *testing.T
	addresses []string
	folders   []string
	// listeners holds the listeners of nodes that have not been started yet.
	listeners []net.Listener
	nodes     []*runningNode
	tolerance Tolerance
	// seeds holds the nodes that are the seeds of a node; the first three if it has none here.
	seeds map[int][]int
	// dataCentres holds the data centre of each node; nil if they have none.
	dataCentres []string
	// peers and consensus bound the connections of each node, if they are set.
	peers, consensus func() *descriptor.Part
}

// runningNode is a node with its HTTP server.
type runningNode struct {
	node   *Node
	server *http.Server
	cancel context.CancelFunc
}

// waitTimeout is the timeout of each wait of a test: elections take up to 1.2 s, and a
// voter is replaced after 5 s without an announcement.
const waitTimeout = 20 * time.Second

func newTestCluster(t *testing.T, nodes int) *testCluster {
	s := &testCluster{t: t, nodes: make([]*runningNode, nodes)}
	// Connections of other tests come from 127.0.0.1, so none of them takes the port of a
	// node that is not running.
	pid := os.Getpid()
	address := fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
	for range nodes {
		l := listenAtNewPort(t, address)
		s.addresses = append(s.addresses, l.Addr().String())
		s.folders = append(s.folders, t.TempDir())
		s.listeners = append(s.listeners, l)
	}
	t.Cleanup(func() {
		for i := range s.nodes {
			s.stop(i)
		}
		for _, l := range s.listeners {
			if l != nil {
				l.Close()
			}
		}
	})
	return s
}

// usedPorts holds the ports of all nodes of this process.
var usedPorts sync.Map

// listenAtNewPort returns a listener at a port that no node of this process has, also none that is
// not running: clusters of tests that run in parallel have the same address.
func listenAtNewPort(t *testing.T, address string) net.Listener {
	for {
		l, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		if _, used := usedPorts.LoadOrStore(l.Addr().(*net.TCPAddr).Port, true); !used {
			return l
		}
		_ = l.Close()
	}
}

// listen returns a listener at the address of a node. The port is reserved until the first
// call.
func (s *testCluster) listen(i int) net.Listener {
	s.t.Helper()
	if l := s.listeners[i]; l != nil {
		s.listeners[i] = nil
		return l
	}
	l, err := net.Listen("tcp", s.addresses[i])
	assert.NilError(s.t, err)
	return l
}

// start starts a node.
func (s *testCluster) start(i int, bootstrap bool) {
	s.t.Helper()
	l := s.listen(i)
	ctx, cancel := context.WithCancel(context.Background())
	dataCentre := ""
	if s.dataCentres != nil {
		dataCentre = s.dataCentres[i]
	}
	seeds := s.addresses[:3]
	if list := s.seeds[i]; list != nil {
		seeds = nil
		for _, seed := range list {
			seeds = append(seeds, s.addresses[seed])
		}
	}
	var peers, consensus *descriptor.Part
	if s.peers != nil {
		peers, consensus = s.peers(), s.consensus()
	}
	node, err := Start(ctx, Config{
		Peers: peers, Consensus: consensus,
		PeerAddress: s.addresses[i], PublicAddress: "public-" + s.addresses[i], Seeds: seeds, Folder: s.folders[i], Bootstrap: bootstrap, Tolerance: s.tolerance, DataCentre: dataCentre,
		Clock: port.NewBootClock(), Adviser: noAdviser{}, Bounds: dispatch.Bounds{EndedJobRetention: time.Hour, MaxLease: 6 * time.Second, RemoteFactor: 2},
		Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	assert.NilError(s.t, err)
	server := &http.Server{Handler: node.Handler()}
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	s.nodes[i] = &runningNode{node, server, cancel}
}

// stop stops a node without a leadership transfer, like a crash.
func (s *testCluster) stop(i int) {
	if s.nodes[i] == nil {
		return
	}
	s.nodes[i].cancel()
	_ = s.nodes[i].server.Close() // closes open connections without waiting for them
	s.nodes[i].node.Stop()
	s.nodes[i] = nil
}

// call calls the leader through a node and retries until it gets a verdict.
func (s *testCluster) call(i int, c *cellapi.Call) *cellapi.Reply {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r := s.nodes[i].node.Do(ctx, c)
		cancel()
		if r.Refused == "" && r.Unknown == "" && !r.NotLeader {
			return r
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("no answer: %s%s", r.Refused, r.Unknown)
		}
	}
}

func (s *testCluster) putConfiguration(i int, version int64) {
	s.t.Helper()
	source := []byte{byte(version)}
	r := s.call(i, &cellapi.Call{Configure: &cell.Configuration{Version: version, Source: source}})
	assert.Equal(s.t, r.Verdict, cell.Accepted)
}

func (s *testCluster) readVersion(i int) byte {
	s.t.Helper()
	r := s.call(i, &cellapi.Call{ReadConfiguration: &cellapi.ReadConfiguration{}})
	assert.Equal(s.t, r.Verdict, cell.Accepted)
	return r.Source[0]
}

// leader returns the index of the node that leads, or -1.
func (s *testCluster) leader() int {
	for i, n := range s.nodes {
		if n == nil {
			continue
		}
		if _, leads := n.node.replica.Lease(); leads {
			return i
		}
	}
	return -1
}

// waitForLeader waits until a node leads and returns its index. Beside other work a leader
// may be without a lease for a moment.
func (s *testCluster) waitForLeader() int {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if i := s.leader(); i >= 0 {
			return i
		}
	}
	s.t.Fatal("no node leads")
	return -1
}

// waitForVoters waits until the voters of the group are exactly the current replicas of
// the wanted nodes.
func (s *testCluster) waitForVoters(want ...int) {
	s.t.Helper()
	var addresses []string
	for _, i := range want {
		addresses = append(addresses, s.addresses[i])
	}
	slices.Sort(addresses)
	var got []string
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		i := s.leader()
		if i < 0 {
			continue
		}
		got = nil
		settled := true
		for _, v := range s.nodes[i].node.replica.Status().Voters {
			got = append(got, v.Address)
			for k, n := range s.nodes {
				settled = settled && (n == nil || s.addresses[k] != v.Address || n.node.replica.Status().ID == v.Id)
			}
		}
		slices.Sort(got)
		if settled && slices.Equal(got, addresses) {
			return
		}
	}
	s.t.Fatalf("voters are %v, not %v", got, addresses)
}

// Guards against bootstrapping two groups, or none, when all processes start at the same time
// in any order, and against losing a configuration in a crash of all processes.
func TestBootstrapFormsOneGroup(t *testing.T) {
	s := newTestCluster(t, 4)
	for _, i := range []int{3, 1, 0, 2} {
		s.start(i, true)
	}
	s.putConfiguration(3, 1)
	s.waitForVoters(0, 1, 2)
	for i := range 4 {
		assert.Equal(t, s.readVersion(i), byte(1))
	}
	for i := range 4 {
		s.stop(i)
	}
	for _, i := range []int{2, 3, 0, 1} {
		s.start(i, false)
	}
	assert.Equal(t, s.readVersion(3), byte(1))
}

// Guards against losing a configuration with one disk, and against a group that does not
// tolerate the loss of another VM after the replica has rejoined.
func TestReplicaRejoinsAfterLostDisk(t *testing.T) {
	s := newTestCluster(t, 3)
	for i := range 3 {
		s.start(i, true)
	}
	s.putConfiguration(0, 1)
	lost := s.waitForLeader()
	s.stop(lost)
	s.folders[lost] = t.TempDir()
	s.start(lost, false)
	s.putConfiguration(lost, 2)
	s.waitForVoters(0, 1, 2)
	next := (lost + 1) % 3
	s.stop(next)
	assert.Equal(t, s.readVersion(lost), byte(2))
	s.putConfiguration(lost, 3)
}

// Guards against a group that does not replace the voter on a lost VM by the spare replica.
func TestSpareReplacesLostVoter(t *testing.T) {
	s := newTestCluster(t, 4)
	for i := range 4 {
		s.start(i, true)
	}
	s.putConfiguration(0, 1)
	gone := s.waitForLeader()
	s.stop(gone)
	var rest []int
	for i := range 4 {
		if i != gone {
			rest = append(rest, i)
		}
	}
	s.waitForVoters(rest...)
	assert.Equal(t, s.readVersion(3), byte(1))
}

// waitForGrowth waits until the group has the given number of voters.
func (s *testCluster) waitForGrowth(voters int) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if i := s.leader(); i >= 0 && len(s.nodes[i].node.replica.Status().Voters) == voters {
			return
		}
	}
	s.t.Fatalf("the group does not have %d voters", voters)
}

// loseDisks stops all nodes at once and starts them again; the leader and the other
// voters that joined last, as many in all as given, start with empty disks.
func (s *testCluster) loseDisks(lost int) {
	s.t.Helper()
	leader := s.waitForLeader()
	assert.Assert(s.t, leader >= 0, "no node leads")
	gone := []string{s.addresses[leader]}
	voters := s.nodes[leader].node.replica.Status().Voters
	for i := len(voters) - 1; i >= 0 && len(gone) < lost; i-- {
		if voters[i].Address != s.addresses[leader] {
			gone = append(gone, voters[i].Address)
		}
	}
	for i := range s.nodes {
		s.stop(i)
	}
	for i, address := range s.addresses {
		if slices.Contains(gone, address) {
			s.folders[i] = s.t.TempDir()
		}
		s.start(i, false)
	}
}

// slowStorage is a storage whose appends take the given time.
type slowStorage struct {
	port.LogStorage
	delay time.Duration
}

func (s slowStorage) Append(*peerv1.RaftHardState, []*peerv1.RaftEntry) error {
	time.Sleep(s.delay)
	return nil
}

// Guards against a count of slow appends that does not grow, so that a leader with a slow
// disk keeps leadership, and against one that a fast append does not reset.
func TestSlowAppendsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &timedStorage{clock: port.NewSystemClock()}
		for _, c := range []struct {
			takes time.Duration
			want  int64
		}{{slowAppendThreshold, 1}, {time.Second, 2}, {slowAppendThreshold / 2, 0}, {slowAppendThreshold, 1}} {
			s.LogStorage = slowStorage{delay: c.takes}
			assert.NilError(t, s.Append(nil, nil))
			assert.Equal(t, s.consecutiveSlowAppends.Load(), c.want)
		}
	})
}

// pausedClock is a clock of which the process has missed the given time.
type pausedClock struct {
	port.Clock
	missed atomic.Int64 // nanoseconds
}

func (c *pausedClock) Now() time.Duration { return c.Clock.Now() + time.Duration(c.missed.Load()) }

// pausedStorage is a storage on a disk that takes the given time for an append, of a
// process that in turn runs and is paused for the given times.
type pausedStorage struct {
	port.LogStorage
	clock            *pausedClock
	disk, run, pause time.Duration
}

func (s pausedStorage) Append(*peerv1.RaftHardState, []*peerv1.RaftEntry) error {
	for began := s.clock.Now(); s.clock.Now()-began < s.disk; {
		time.Sleep(s.run)
		s.clock.missed.Add(int64(s.pause))
	}
	return nil
}

// Guards against a leader on a healthy disk that transfers leadership because its process
// waits for the processor, and against a slow disk that is overlooked because of that.
func TestBusyProcessorIsNotSlowDisk(t *testing.T) {
	const ms = time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		clock := &pausedClock{Clock: port.NewSystemClock()}
		s := &timedStorage{clock: clock}
		for _, c := range []struct {
			disk, run, pause time.Duration
			want             int64
		}{
			{disk: 4 * ms, run: 4 * ms, pause: 211 * ms, want: 0},
			{disk: 6 * ms, run: 4 * ms, pause: 60 * ms, want: 0},
			{disk: 120 * ms, run: 120 * ms, pause: 100 * ms, want: 1},
			{disk: 120 * ms, run: 9 * ms, pause: 27 * ms, want: 2},
			{disk: 120 * ms, run: 60 * ms, pause: 36 * ms, want: 3},
			{disk: 4 * ms, run: 4 * ms, pause: 100 * ms, want: 0},
		} {
			s.LogStorage = pausedStorage{clock: clock, disk: c.disk, run: c.run, pause: c.pause}
			assert.NilError(t, s.Append(nil, nil))
			assert.Equal(t, s.consecutiveSlowAppends.Load(), c.want, "%+v", c)
		}
	})
}

// Guards against a leader that keeps leadership although its slow disk delays all commits.
func TestLeaderOnSlowDiskTransfersLeadership(t *testing.T) {
	s := newTestCluster(t, 3)
	for i := range 3 {
		s.start(i, true)
	}
	s.putConfiguration(0, 1)
	slow := s.waitForLeader()
	s.nodes[slow].node.storage.consecutiveSlowAppends.Store(maxSlowAppends)
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if now := s.leader(); now >= 0 && now != slow {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "node %d still leads", slow)
	}
	s.putConfiguration(slow, 2)
}

// Guards against a process with an empty disk that bootstraps a second group without the
// bootstrap setting.
func TestEmptyDiskDoesNotBootstrapGroup(t *testing.T) {
	s := newTestCluster(t, 3)
	s.start(0, false)
	s.start(1, false)
	time.Sleep(2 * time.Second)
	assert.Equal(t, s.leader(), -1)
}

// Guards against a group that loses acknowledged configurations, or its quorum for good,
// when as many voters lose their disks at once as it must tolerate, while all other
// processes restart.
func TestGroupSurvivesTwoLostDisks(t *testing.T) {
	s := newTestCluster(t, 5)
	s.tolerance = Tolerance{VMs: 2}
	for i := range 5 {
		s.start(i, true)
	}
	s.putConfiguration(0, 1)
	s.waitForGrowth(5)
	s.putConfiguration(3, 2)
	s.loseDisks(2)
	assert.Equal(t, s.readVersion(0), byte(2))
	s.putConfiguration(4, 3)
}

// Guards against a group that a former voter with an outdated membership keeps from
// electing a leader, after it was away for so long that it was replaced and two voters
// have lost their disks since.
func TestGroupWithReplacedVoterSurvivesTwoLostDisks(t *testing.T) {
	for _, nodes := range []int{5, 6} {
		t.Run(fmt.Sprintf("%d processes", nodes), func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, nodes)
			s.tolerance = Tolerance{VMs: 2}
			for i := range nodes {
				s.start(i, true)
			}
			s.putConfiguration(0, 1)
			s.waitForGrowth(5)
			away := (s.waitForLeader() + 1) % 3
			s.stop(away)
			time.Sleep(voterSilenceTimeout + 2*time.Second)
			s.start(away, false)
			s.waitForGrowth(5)
			s.putConfiguration(3, 2)
			s.loseDisks(2)
			assert.Equal(t, s.readVersion(0), byte(2))
			s.putConfiguration(4, 3)
		})
	}
}

// Guards against a leader that no other process finds after all have restarted, because one
// seed is no longer a voter and the others have lost their disks.
func TestLeaderIsFoundWithoutSeedInGroup(t *testing.T) {
	s := newTestCluster(t, 6)
	s.tolerance = Tolerance{VMs: 2}
	for i := range 6 {
		s.start(i, true)
	}
	s.putConfiguration(0, 1)
	s.waitForGrowth(5)
	s.stop(0)
	s.waitForVoters(1, 2, 3, 4, 5)
	s.start(0, false)
	s.putConfiguration(0, 2)
	for i := range 6 {
		s.stop(i)
	}
	for i := range 6 {
		if i == 1 || i == 2 {
			s.folders[i] = t.TempDir()
		}
		s.start(i, false)
	}
	for i := range 6 {
		assert.Equal(t, s.readVersion(i), byte(2))
	}
	s.putConfiguration(5, 3)
	s.waitForVoters(1, 2, 3, 4, 5)
}

// Guards against a process that does not find the leader because its seeds, which it was given
// later than the leader, are spare replicas: these know the leader, but do not name it.
func TestLeaderIsFoundThroughSpareReplicas(t *testing.T) {
	s := newTestCluster(t, 6)
	s.seeds = map[int][]int{5: {3, 4}}
	for i := range 5 {
		s.start(i, i < 3)
	}
	s.putConfiguration(3, 1)
	s.putConfiguration(4, 2)
	s.start(5, false)
	assert.Equal(t, s.readVersion(5), byte(2))
}

// Guards against a group of which the loss of one data centre takes the majority although
// there is a process in another.
func TestVotersMoveOutOfCrowdedDataCentre(t *testing.T) {
	s := newTestCluster(t, 4)
	s.tolerance = Tolerance{VMs: 1, DataCentres: 1}
	s.dataCentres = []string{"a", "a", "b", "c"}
	for i := range 4 {
		s.start(i, true)
	}
	s.putConfiguration(0, 1)
	var got []string
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		got = nil
		if i := s.leader(); i >= 0 {
			for _, v := range s.nodes[i].node.replica.Status().Voters {
				got = append(got, s.dataCentres[slices.Index(s.addresses, v.Address)])
			}
		}
		slices.Sort(got)
		if slices.Equal(got, []string{"a", "b", "c"}) {
			return
		}
	}
	t.Fatalf("the voters are in the data centres %v", got)
}

// Guards against an impossible number of voters, and against one that follows from only
// one of the two tolerances.
func TestVotersFollowFromTolerance(t *testing.T) {
	for _, c := range []struct {
		tolerance                Tolerance
		voters, maxPerDataCentre int
	}{
		{Tolerance{}, 3, 0}, {Tolerance{1, 1}, 3, 1}, {Tolerance{2, 1}, 5, 2}, {Tolerance{2, 0}, 5, 0}, {Tolerance{1, 2}, 5, 1}, {Tolerance{3, 2}, 7, 1},
	} {
		assert.Equal(t, c.tolerance.voterCount(), c.voters)
		assert.Equal(t, c.tolerance.maxPerDataCentre(), c.maxPerDataCentre)
	}
}
