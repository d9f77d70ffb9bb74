package cellnode

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/dispatch"
	"laburnumgrade/internal/port"
)

// noAdviser and noWorkers stand for a cell without work.
type noAdviser struct{}

func (noAdviser) Advise(context.Context, *cellapi.AdviceRequest) *cellapi.AdviceReply {
	return &cellapi.AdviceReply{Error: "there is no service"}
}

// site is a set of nodes on loopback addresses.
type site struct {
	t         *testing.T
	addresses []string
	folders   []string
	nodes     []*running
}

// running is a node with its server.
type running struct {
	node   *Node
	server *http.Server
	cancel context.CancelFunc
}

// siteLimit bounds each wait of a test: elections take up to 1.2 s, a voter is
// replaced after 5 s of silence.
const siteLimit = 20 * time.Second

func newSite(t *testing.T, nodes int) *site {
	s := &site{t: t, nodes: make([]*running, nodes)}
	for range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s.addresses = append(s.addresses, l.Addr().String())
		s.folders = append(s.folders, t.TempDir())
		assert.NilError(t, l.Close())
	}
	t.Cleanup(func() {
		for i := range s.nodes {
			s.stop(i)
		}
	})
	return s
}

// start starts a node; the first three addresses are the seeds.
func (s *site) start(i int, bootstrap bool) {
	s.t.Helper()
	l, err := net.Listen("tcp", s.addresses[i])
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	node, err := Start(ctx, Config{
		PeerAddress: s.addresses[i], PublicAddress: "public-" + s.addresses[i], Seeds: s.addresses[:3], Folder: s.folders[i], Bootstrap: bootstrap,
		Clock: port.NewBootClock(), Adviser: noAdviser{}, Bounds: dispatch.Bounds{EndedJobRetention: time.Hour, MaxLease: 6 * time.Second, RemoteFactor: 2},
		Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	assert.NilError(s.t, err)
	server := &http.Server{Handler: node.Handler()}
	go func() { _ = server.Serve(l) }() // ends with the server
	s.nodes[i] = &running{node, server, cancel}
}

// stop ends a node without a hand-over, as a crash does.
func (s *site) stop(i int) {
	if s.nodes[i] == nil {
		return
	}
	s.nodes[i].cancel()
	_ = s.nodes[i].server.Close() // what is cut off is not waited for
	s.nodes[i].node.Stop()
	s.nodes[i] = nil
}

// call calls the leader through a node until it answers with a verdict.
func (s *site) call(i int, c *cellapi.Call) *cellapi.Reply {
	s.t.Helper()
	deadline := time.Now().Add(siteLimit)
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

func (s *site) put(i int, version int64) {
	s.t.Helper()
	source := []byte{byte(version)}
	r := s.call(i, &cellapi.Call{Configure: &cell.Configuration{Version: version, Source: source}})
	assert.Equal(s.t, r.Verdict, cell.Accepted)
}

func (s *site) version(i int) byte {
	s.t.Helper()
	r := s.call(i, &cellapi.Call{ReadConfiguration: &cellapi.ReadConfiguration{}})
	assert.Equal(s.t, r.Verdict, cell.Accepted)
	return r.Source[0]
}

// leader returns the number of the node that leads.
func (s *site) leader() int {
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

// voters waits until the voters are at the addresses of the nodes.
func (s *site) voters(want ...int) {
	s.t.Helper()
	var addresses []string
	for _, i := range want {
		addresses = append(addresses, s.addresses[i])
	}
	slices.Sort(addresses)
	var got []string
	for deadline := time.Now().Add(siteLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
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

// Guards against two groups, or none, when all processes start at once in any
// order, and against a configuration that a crash of all of them loses.
func TestFounding(t *testing.T) {
	s := newSite(t, 4)
	for _, i := range []int{3, 1, 0, 2} {
		s.start(i, true)
	}
	s.put(3, 1)
	s.voters(0, 1, 2)
	for i := range 4 {
		assert.Equal(t, s.version(i), byte(1))
	}
	for i := range 4 {
		s.stop(i)
	}
	for _, i := range []int{2, 3, 0, 1} {
		s.start(i, false)
	}
	assert.Equal(t, s.version(3), byte(1))
}

// Guards against a configuration that is lost with a disk, and against a repair
// that is not complete when the next VM is lost.
func TestLostDisk(t *testing.T) {
	s := newSite(t, 3)
	for i := range 3 {
		s.start(i, true)
	}
	s.put(0, 1)
	lost := s.leader()
	s.stop(lost)
	s.folders[lost] = t.TempDir()
	s.start(lost, false)
	s.put(lost, 2)
	s.voters(0, 1, 2)
	next := (lost + 1) % 3
	s.stop(next)
	assert.Equal(t, s.version(lost), byte(2))
	s.put(lost, 3)
}

// Guards against a group that stays without a spare voter after a VM is gone.
func TestSpareReplacesSilentVoter(t *testing.T) {
	s := newSite(t, 4)
	for i := range 4 {
		s.start(i, true)
	}
	s.put(0, 1)
	gone := s.leader()
	s.stop(gone)
	var rest []int
	for i := range 4 {
		if i != gone {
			rest = append(rest, i)
		}
	}
	s.voters(rest...)
	assert.Equal(t, s.version(3), byte(1))
}

// slowStorage takes a time for each append.
type slowStorage struct {
	port.LogStorage
	takes time.Duration
}

func (s slowStorage) Append(*peerv1.RaftHardState, []*peerv1.RaftEntry) error {
	time.Sleep(s.takes)
	return nil
}

// Guards against a leader that stays on a slow disk, and against one that hands
// over for a single slow sync.
func TestSlowAppendsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &timedStorage{clock: port.NewSystemClock()}
		for _, c := range []struct {
			takes time.Duration
			want  int64
		}{{slowAppend, 1}, {time.Second, 2}, {slowAppend / 2, 0}, {slowAppend, 1}} {
			s.LogStorage = slowStorage{takes: c.takes}
			assert.NilError(t, s.Append(nil, nil))
			assert.Equal(t, s.slow.Load(), c.want)
		}
	})
}

// Guards against a slow disk that slows the whole cell down.
func TestLeaderOnSlowDiskHandsOver(t *testing.T) {
	s := newSite(t, 3)
	for i := range 3 {
		s.start(i, true)
	}
	s.put(0, 1)
	slow := s.leader()
	s.nodes[slow].node.storage.slow.Store(slowAppends)
	for deadline := time.Now().Add(siteLimit); ; time.Sleep(20 * time.Millisecond) {
		if now := s.leader(); now >= 0 && now != slow {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "node %d still leads", slow)
	}
	s.put(slow, 2)
}

// Guards against a process with an empty disk that founds a second group.
func TestEmptyDiskDoesNotFound(t *testing.T) {
	s := newSite(t, 3)
	s.start(0, false)
	s.start(1, false)
	time.Sleep(2 * time.Second)
	assert.Equal(t, s.leader(), -1)
}
