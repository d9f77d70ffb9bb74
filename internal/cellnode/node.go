package cellnode

import (
	"cmp"
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
	"laburnumgrade/internal/descriptor"
	"laburnumgrade/internal/dispatch"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/membership"
	"laburnumgrade/internal/pause"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
	"laburnumgrade/internal/replica"
)

const (
	group = "cell"
	// snapshotThreshold is the number of log entries after which a snapshot is taken. It
	// bounds the time in which the log is applied at the start; Config.MaxLogBytes bounds the
	// disk, since entries have a few kilobytes and configurations up to 1.5 MB.
	snapshotThreshold = 4000
	// batchDelay is the time in which proposals are collected for one round to the
	// followers. Each round has a fixed cost in bytes between data centres; a commit
	// takes 10 ms.
	batchDelay = 5 * time.Millisecond
	// transferTimeout is the timeout of a leadership transfer.
	transferTimeout = time.Second
	// adviceShareDivisor sets the share of the connections to other processes that requests
	// for advice may use at a time, one in adviceShareDivisor.
	adviceShareDivisor = 2
)

// Config is the configuration of a node.
type Config struct {
	// Name is the name of the process, and DataCentre the one in which it runs.
	Name       string
	DataCentre string
	// PeerAddress is the address at which the process serves other processes, and
	// PublicAddress the one at which it serves operators and workers.
	PeerAddress   string
	PublicAddress string
	// Seeds are the peer addresses of some control processes; the first replicas bootstrap
	// the group on them.
	Seeds []string
	// Folder is the data folder.
	Folder string
	// MaxLogBytes is replica.Config.MaxLogBytes.
	MaxLogBytes int64
	// Bootstrap allows a process with an empty data folder to bootstrap the group, if its own
	// address is a seed.
	Bootstrap bool
	// Tolerance determines the number of voters of the group and where they are.
	Tolerance Tolerance
	Clock     port.Clock
	Workers   dispatch.Workers
	// Machines is nil if there is no machine service.
	Machines dispatch.Machines
	Adviser  cellapi.Adviser
	// Peers bounds the connections to other processes of the cell, except those of the
	// replicated log, which Consensus bounds.
	Peers, Consensus *descriptor.Part
	// AdmitAll accepts every job that is allowed, whatever the load of the cell is.
	AdmitAll bool
	// Pauses detects pauses of the process.
	Pauses *pause.Detector
	Bounds dispatch.Bounds
	Logger *slog.Logger
	Scope  tally.Scope
}

// Tolerance is what may be lost at the same time, disks included, without the loss of
// anything acknowledged, while the rest of the group goes on: as many control VMs, or all of
// as many data centres. At least one VM is tolerated.
type Tolerance struct {
	VMs         int
	DataCentres int
}

// Node is a running control process.
type Node struct {
	config        Config
	replica       *replica.Replica
	transport     *peer.RaftTransport
	raft          *peer.RaftServer
	client        *cellapi.Client
	leader        *dispatch.Leader
	announcements announcedReplicas
	announced     announcedLeader
	storage       *timedStorage
}

// Start opens or creates the replica and starts the node. It waits while the disk is full. Its
// background work ends with the context; the replica runs until Stop.
func Start(ctx context.Context, c Config) (*Node, error) {
	n := &Node{config: c, raft: peer.NewRaftServer(), client: cellapi.NewClient(c.Seeds, c.Peers, c.Logger)}
	n.announcements.byName = map[string]membership.Candidate{}
	n.transport = peer.NewRaftTransport(cellapi.NewHTTPClient(idleConnectionsPerPeer, c.Consensus), membership.ProcessName, c.Logger)
	store := cell.NewStore(func(command *cell.Command) {
		if n.leader != nil {
			n.leader.Applied(command)
		}
	})
	opened, id, initial, err := n.openStorage(ctx)
	if err != nil {
		return nil, err
	}
	n.storage = &timedStorage{LogStorage: opened, clock: c.Clock}
	started := make(chan struct{})
	n.leader = dispatch.New(dispatch.Config{
		Log:           replicaLog{n, started},
		Store:         store,
		Clock:         c.Clock,
		Workers:       c.Workers,
		AdviceClient:  adviceClient{n},
		Machines:      c.Machines,
		Name:          c.Name,
		PeerAddress:   c.PeerAddress,
		PublicAddress: c.PublicAddress,
		Members:       n.liveAddresses,
		GroupFormat:   n.groupFormat,
		OnJoin:        n.recordAnnouncement,
		OnLeader:      func(a *cellapi.AnnounceLeader) { n.announced.record(a, c.Clock.Now()) },
		AnnouncedLeader: func() string {
			// The leader announces itself only to its own seeds, and others may have
			// different ones.
			return cmp.Or(n.announced.address(c.Clock.Now()), n.client.AnsweringLeader(announcedLeaderTTL))
		},
		Bounds:            c.Bounds,
		MaxAdviceRequests: c.Peers.Size() / adviceShareDivisor,
		AdmitAll:          c.AdmitAll,
		Logger:            c.Logger,
		Scope:             c.Scope,
	})
	rc := replica.Config{
		Group:             group,
		ID:                id,
		Address:           c.PeerAddress,
		Membership:        initial,
		Storage:           n.storage,
		StateMachine:      store,
		Transport:         n.transport,
		Clock:             c.Clock,
		Logger:            c.Logger,
		SnapshotThreshold: snapshotThreshold,
		MaxLogBytes:       c.MaxLogBytes,
		Scope:             c.Scope,
		BatchDelay:        batchDelay,
		Supersedes:        supersedes,
	}
	err = disk.RetryWhileFull(ctx, c.Logger, func() (err error) {
		n.replica, err = replica.Start(rc)
		return err
	})
	if err != nil {
		return nil, err
	}
	close(started)
	n.raft.Register(group, n.replica)
	c.Logger.Info("replica started", logging.Step("start replica"), "id", id, "founder", initial != nil, "voters", c.Tolerance.voterCount())
	go n.announceReplica(ctx)
	go n.announceLeader(ctx)
	go n.repairMembership(ctx)
	go n.watchDisk(ctx, n.storage)
	go n.watchCommits(ctx)
	go n.leader.Run(ctx)
	return n, nil
}

// idleConnectionsPerPeer is the maximum number of idle connections of the replicated log to
// another control process: one for snapshots, one for other messages, and one that was opened
// while these were in use.
const idleConnectionsPerPeer = 3

// openStorage opens or creates the storage of the replica. It returns the storage, the
// replica's id and, if the replica bootstraps the group, the initial membership of the
// group. All bootstrapping processes are configured with the same three seeds, so each
// derives the same membership without communication. The id of a bootstrapping replica
// ends in #0 and is used only once: a process that lost its disk gets another id and
// joins the group.
func (n *Node) openStorage(ctx context.Context) (port.LogStorage, string, *peerv1.RaftMembership, error) {
	folder := filepath.Join(n.config.Folder, group)
	bootstrapID := n.config.PeerAddress + "#0"
	s, err := disk.Open(disk.OS{}, folder, group)
	switch {
	case err == nil && s.ID() == bootstrapID:
		return s, s.ID(), n.initialMembership(), nil
	case err == nil:
		return s, s.ID(), nil, nil
	case !errors.Is(err, disk.ErrIdentityMissing):
		return nil, "", nil, port.AtStep("open data folder", "", err)
	}
	id, initial := fmt.Sprintf("%s#%d", n.config.PeerAddress, time.Now().UnixNano()), (*peerv1.RaftMembership)(nil)
	if n.config.Bootstrap && slices.Contains(n.config.Seeds, n.config.PeerAddress) {
		id, initial = bootstrapID, n.initialMembership()
	}
	var created *disk.Storage
	err = disk.RetryWhileFull(ctx, n.config.Logger, func() (err error) {
		created, err = disk.Create(disk.OS{}, folder, group, id)
		return err
	})
	return created, id, initial, port.AtStep("create data folder", "", err)
}

// initialMembership returns the initial membership of the group, whose voters are the
// seeds.
func (n *Node) initialMembership() *peerv1.RaftMembership {
	m := &peerv1.RaftMembership{}
	for _, seed := range n.config.Seeds {
		m.Voters = append(m.Voters, &peerv1.RaftReplica{Id: seed + "#0", Address: seed})
	}
	return m
}

// supersedes reports whether the two ids are those of different replicas of the same
// process, of which the new one replaces the old one.
func supersedes(newID, oldID string) bool {
	return newID != oldID && membership.ProcessName(newID) == membership.ProcessName(oldID)
}

// Handler returns the handler of the calls of other processes: Raft messages and the calls
// of internal/cellapi.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1.RaftServicePathPrefix, n.raft.Handler())
	mux.Handle("/", cellapi.Handler(peerService{n}, n.config.Adviser))
	return mux
}

// Do carries out a call at the leader, which may be this process. After a pause of the process
// it refuses commands without a version: they may have waited since before the pause, and the
// operator may have sent others since.
func (n *Node) Do(ctx context.Context, c *cellapi.Call) *cellapi.Reply {
	if c.HasNoVersion() && n.config.Pauses.MayHaveWaited(ctx) {
		return &cellapi.Reply{Refused: cellapi.RefusedAfterPause}
	}
	if r := n.leader.Do(ctx, c); !r.NotLeader {
		return r
	}
	return n.client.Do(ctx, c)
}

// peerService answers the calls that other processes pass on.
type peerService struct{ n *Node }

// Do implements cellapi.Service. It refuses the same commands as Node.Do if this process leads:
// without an election during the pause it still does, and a command that waited in its socket
// may be older than others that it answers.
func (s peerService) Do(ctx context.Context, c *cellapi.Call) *cellapi.Reply {
	if c.HasNoVersion() && s.n.config.Pauses.JustResumed() {
		if _, leads := s.n.leader.Log.Lease(); !leads {
			return &cellapi.Reply{NotLeader: true}
		}
		return &cellapi.Reply{Refused: cellapi.RefusedAfterPause}
	}
	return s.n.leader.Do(ctx, c)
}

// SetSeeds replaces the seeds after the settings have changed.
func (n *Node) SetSeeds(seeds []string) { n.client.SetSeeds(seeds) }

// Done returns a channel that is closed when the replica has stopped.
func (n *Node) Done() <-chan struct{} { return n.replica.Done() }

// Err returns the error with which the replica stopped.
func (n *Node) Err() error { return n.replica.Err() }

// Resign transfers leadership to another replica if this process leads, and logs the
// reason. It waits for at most one second.
func (n *Node) Resign(reason string) {
	if n.replica.Status().Role != raft.Leader {
		return
	}
	began := n.config.Clock.Now()
	n.config.Logger.Warn("transferring leadership", logging.Step("resign"), "reason", reason, "term", n.replica.Status().Term)
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := n.replica.TransferLeadership(ctx); err != nil {
		n.config.Logger.Warn("leadership transfer failed", logging.Step("resign"), logging.Error(err))
		return
	}
	n.config.Logger.Info("leadership transferred", logging.Step("resign"), "took_ms", (n.config.Clock.Now() - began).Milliseconds())
}

// Stop stops the replica.
func (n *Node) Stop() {
	n.replica.Stop()
	n.transport.Close()
}

// replicaLog is the replicated log of the group as used by the scheduler. Until the
// replica has started, it behaves like the log of a process that does not lead.
type replicaLog struct {
	n       *Node
	started <-chan struct{}
}

// ready reports whether the replica has started.
func (l replicaLog) ready() bool {
	select {
	case <-l.started:
		return true
	default:
		return false
	}
}

// Propose implements port.ReplicatedLog.
func (l replicaLog) Propose(ctx context.Context, command []byte) (any, error) {
	if !l.ready() {
		return nil, &port.NotLeaderError{Group: group}
	}
	return l.n.replica.Propose(ctx, command)
}

// Lease implements port.ReplicatedLog.
func (l replicaLog) Lease() (time.Duration, bool) {
	if !l.ready() {
		return 0, false
	}
	return l.n.replica.Lease()
}

// Leader implements port.ReplicatedLog.
func (l replicaLog) Leader() (id, address string) {
	if !l.ready() {
		return "", ""
	}
	return l.n.replica.Leader()
}

// Term implements dispatch.Log.
func (l replicaLog) Term() (term, commit uint64) {
	if !l.ready() {
		return 0, 0
	}
	s := l.n.replica.Status()
	return s.Term, s.CommitIndex
}

// adviceClient obtains advice through other processes or directly through this one.
type adviceClient struct{ n *Node }

// Ask implements dispatch.AdviceClient.
func (c adviceClient) Ask(ctx context.Context, address string, q *cellapi.AdviceRequest) *cellapi.AdviceReply {
	if address == c.n.config.PeerAddress {
		return c.n.config.Adviser.Advise(ctx, q)
	}
	return c.n.client.RequestAdvice(ctx, address, q)
}
