package cellnode

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/disk"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/dispatch"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/membership"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
	"laburnumgrade/internal/replica"
)

const (
	group = "cell"
	// snapshotThreshold bounds the log on a disk of 128 MB: 4,000 entries of at
	// most a few kilobytes, beside configurations of up to some hundred.
	snapshotThreshold = 4000
	// batchDelay gathers proposals for one round to the followers, which costs
	// bytes between data centres whatever it carries; a commit takes 10 ms.
	batchDelay = 5 * time.Millisecond
	// transferTimeout bounds the hand-over of leadership at shutdown.
	transferTimeout = time.Second
)

// Config states what a node is made of.
type Config struct {
	// Name is the process's own name.
	Name string
	// PeerAddress and PublicAddress are the process's own addresses.
	PeerAddress   string
	PublicAddress string
	// Seeds are the peer addresses of some control processes.
	Seeds     []string
	Folder    string
	Bootstrap bool
	Clock     port.Clock
	Workers   dispatch.Workers
	// Machines is nil if there is no service for machines.
	Machines dispatch.Machines
	Adviser  cellapi.Adviser
	Bounds   dispatch.Bounds
	Logger   *slog.Logger
	Scope    tally.Scope
}

// Node is a running control process.
type Node struct {
	c         Config
	replica   *replica.Replica
	transport *peer.RaftTransport
	raft      *peer.RaftServer
	client    *cellapi.Client
	leader    *dispatch.Leader
	members   members
	storage   *timedStorage
}

// Start opens or creates the replica and runs the node until the context ends.
func Start(ctx context.Context, c Config) (*Node, error) {
	n := &Node{c: c, raft: peer.NewRaftServer(), client: cellapi.NewClient(c.Seeds, c.Logger)}
	n.members.candidates = map[string]membership.Candidate{}
	n.transport = peer.NewRaftTransport(cellapi.NewHTTPClient(peerConnections), membership.ProcessName, c.Logger)
	store := cell.NewStore(func(command *cell.Command) {
		if n.leader != nil {
			n.leader.Applied(command)
		}
	})
	opened, id, founders, err := n.open()
	if err != nil {
		return nil, err
	}
	n.storage = &timedStorage{LogStorage: opened, clock: c.Clock}
	started := make(chan struct{})
	n.leader = dispatch.New(dispatch.Config{
		Log: log{n, started}, Store: store, Clock: c.Clock, Workers: c.Workers, AdviceClient: callers{n}, Machines: c.Machines, Name: c.Name, PeerAddress: c.PeerAddress, PublicAddress: c.PublicAddress,
		Members: n.peers, OnJoin: n.joined, Bounds: c.Bounds, Logger: c.Logger, Scope: c.Scope,
	})
	n.replica, err = replica.Start(replica.Config{
		Group: group, ID: id, Address: c.PeerAddress, Membership: founders, Storage: n.storage, StateMachine: store,
		Transport: n.transport, Clock: c.Clock, Logger: c.Logger, SnapshotThreshold: snapshotThreshold, BatchDelay: batchDelay, Supersedes: supersedes,
	})
	if err != nil {
		return nil, err
	}
	close(started)
	n.raft.Register(group, n.replica)
	c.Logger.Info("replica started", logging.Step("start replica"), "id", id, "founder", founders != nil)
	go n.announce(ctx)
	go n.repair(ctx)
	go n.watchDisk(ctx, n.storage)
	go n.leader.Run(ctx)
	return n, nil
}

// peerConnections is how many idle connections to another control process are
// kept: one for the log and some for calls.
const peerConnections = 8

// open returns the storage of the replica and, for a founder, the membership of
// the group. All founders start with the same three seeds, so each derives the
// same membership without asking. A founder's id ends in #0 and is used once:
// a process that lost its disk has another id and joins.
func (n *Node) open() (port.LogStorage, string, *peerv1.RaftMembership, error) {
	folder := filepath.Join(n.c.Folder, group)
	founder := n.c.PeerAddress + "#0"
	s, err := disk.Open(disk.OS{}, folder, group)
	switch {
	case err == nil && s.ID() == founder:
		return s, s.ID(), n.founders(), nil
	case err == nil:
		return s, s.ID(), nil, nil
	case !errors.Is(err, disk.ErrIdentityMissing):
		return nil, "", nil, port.AtStep("open data folder", "", err)
	}
	id, founders := fmt.Sprintf("%s#%d", n.c.PeerAddress, time.Now().UnixNano()), (*peerv1.RaftMembership)(nil)
	if n.c.Bootstrap && slices.Contains(n.c.Seeds, n.c.PeerAddress) {
		id, founders = founder, n.founders()
	}
	created, err := disk.Create(disk.OS{}, folder, group, id)
	return created, id, founders, port.AtStep("create data folder", "", err)
}

// founders returns the membership that the seeds found.
func (n *Node) founders() *peerv1.RaftMembership {
	m := &peerv1.RaftMembership{}
	for _, seed := range n.c.Seeds {
		m.Voters = append(m.Voters, &peerv1.RaftReplica{Id: seed + "#0", Address: seed})
	}
	return m
}

// supersedes reports whether a replica is a later one of the same process.
func supersedes(newID, oldID string) bool {
	return newID != oldID && membership.ProcessName(newID) == membership.ProcessName(oldID)
}

// Handler returns the handler of calls of other processes.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1.RaftServicePathPrefix, n.raft.Handler())
	mux.Handle("/", cellapi.Handler(n.leader, n.c.Adviser))
	return mux
}

// Do calls the leader, which may be this process.
func (n *Node) Do(ctx context.Context, c *cellapi.Call) *cellapi.Reply {
	if r := n.leader.Do(ctx, c); !r.NotLeader {
		return r
	}
	return n.client.Do(ctx, c)
}

// SetSeeds replaces the seeds after the settings have changed.
func (n *Node) SetSeeds(seeds []string) { n.client.SetSeeds(seeds) }

// Done is closed when the replica has stopped.
func (n *Node) Done() <-chan struct{} { return n.replica.Done() }

// Err returns why the replica stopped.
func (n *Node) Err() error { return n.replica.Err() }

// Resign hands leadership over, if this process leads.
func (n *Node) Resign() {
	if n.replica.Status().Role != raft.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := n.replica.TransferLeadership(ctx); err != nil {
		n.c.Logger.Warn("leadership not handed over", logging.Step("resign"), logging.Error(err))
	}
}

// Stop stops the replica.
func (n *Node) Stop() {
	n.replica.Stop()
	n.transport.Close()
}

// log is the group's log once the replica has started.
type log struct {
	n       *Node
	started <-chan struct{}
}

func (l log) ready() bool {
	select {
	case <-l.started:
		return true
	default:
		return false
	}
}

// Propose implements port.ReplicatedLog.
func (l log) Propose(ctx context.Context, command []byte) (any, error) {
	if !l.ready() {
		return nil, &port.NotLeaderError{Group: group}
	}
	return l.n.replica.Propose(ctx, command)
}

// Lease implements port.ReplicatedLog.
func (l log) Lease() (time.Duration, bool) {
	if !l.ready() {
		return 0, false
	}
	return l.n.replica.Lease()
}

// Leader implements port.ReplicatedLog.
func (l log) Leader() (id, address string) {
	if !l.ready() {
		return "", ""
	}
	return l.n.replica.Leader()
}

// Term implements dispatch.Log.
func (l log) Term() (term, commit uint64) {
	if !l.ready() {
		return 0, 0
	}
	s := l.n.replica.Status()
	return s.Term, s.CommitIndex
}

// callers asks other processes, and this one, for advice.
type callers struct{ n *Node }

// Ask implements dispatch.AdviceClient.
func (c callers) Ask(ctx context.Context, address string, q *cellapi.AdviceRequest) *cellapi.AdviceReply {
	if address == c.n.c.PeerAddress {
		return c.n.c.Adviser.Advise(ctx, q)
	}
	return c.n.client.RequestAdvice(ctx, address, q)
}
