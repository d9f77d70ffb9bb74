package host

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/disk"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/membership"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/replica"
)

const (
	// describeInterval is the pause between two rounds of Describe calls to the
	// other processes of a group that may have to be bootstrapped.
	describeInterval = 200 * time.Millisecond
	// describeTimeout is the timeout of one Describe call.
	describeTimeout = time.Second
)

// Config configures a Host.
type Config struct {
	// Name is the name of the process.
	Name string
	// Address is where other processes reach this process.
	Address string
	// Folder is the data folder, empty for a VM without a disk.
	Folder string
	// JoinOnly prevents the process from bootstrapping any group.
	JoinOnly bool
	// Addresses holds the addresses of the control processes by name.
	Addresses map[string]string
	Client    *http.Client
	Clock     port.Clock
	Logger    *slog.Logger
	// Scope receives the gauges of the replicas with the tag group; nil for none.
	Scope tally.Scope
}

// Host runs the replicas of one process.
type Host struct {
	cfg       Config
	transport *peer.RaftTransport
	server    *peer.RaftServer
	replicas  []*ReplicaHandle
}

// New returns a host without replicas; AddReplica adds them.
func New(c Config) *Host {
	h := &Host{cfg: c, server: peer.NewRaftServer()}
	h.transport = peer.NewRaftTransport(c.Client, h.resolve, c.Logger)
	return h
}

// Handler returns the HTTP handler for raft messages from other processes.
func (h *Host) Handler() http.Handler { return h.server.Handler() }

// resolve returns the address of a replica: that of its process in the settings, or
// else the one in the membership of a group; empty if neither has one.
func (h *Host) resolve(id string) string {
	if a := h.cfg.Addresses[membership.ProcessName(id)]; a != "" {
		return a
	}
	for _, r := range h.replicas {
		m := r.Membership()
		for _, list := range [][]*peerv1.RaftReplica{m.Voters, m.Learners} {
			for _, v := range list {
				if v.Id == id {
					return v.Address
				}
			}
		}
	}
	return ""
}

// AddReplica registers a group's replica, which Run starts later. It must be called
// for all groups before the first call of Run.
func (h *Host) AddReplica(group string) *ReplicaHandle {
	r := &ReplicaHandle{group: group}
	h.replicas = append(h.replicas, r)
	h.server.Register(group, r)
	return r
}

// Run starts the replica and returns when it has stopped. The replica continues from its data
// folder if that holds state; otherwise it bootstraps the group or joins it, see mayBootstrap.
// It waits while the disk is full. initialNames are the names of the processes that the
// settings list for the group. Run returns nil when the context ends, and an error if the
// replica cannot be started or fails.
func (h *Host) Run(ctx context.Context, r *ReplicaHandle, initialNames []string, machine port.StateMachine) error {
	storage, id, err := h.open(r.group)
	if err != nil {
		return err
	}
	bootstrapping := id == bootstrapReplicaID(h.cfg.Name)
	if id == "" {
		r.folderEmpty.Store(true)
		if bootstrapping, err = h.mayBootstrap(ctx, r.group, initialNames); err != nil {
			return nil
		}
		err = disk.RetryWhileFull(ctx, h.cfg.Logger, func() (err error) {
			storage, id, err = h.create(r.group, bootstrapping)
			return err
		})
		if err != nil {
			return err
		}
	}
	rc := replica.Config{
		Group: r.group, ID: id, Address: h.cfg.Address, Storage: storage, StateMachine: machine,
		Transport: h.transport, Clock: h.cfg.Clock, Logger: h.cfg.Logger, Supersedes: supersedes,
	}
	if h.cfg.Scope != nil {
		rc.Scope = h.cfg.Scope.Tagged(map[string]string{"group": r.group})
	}
	if bootstrapping {
		rc.Membership = &peerv1.RaftMembership{Voters: []*peerv1.RaftReplica{{Id: id, Address: h.cfg.Address}}}
	}
	var started *replica.Replica
	err = disk.RetryWhileFull(ctx, h.cfg.Logger, func() (err error) {
		started, err = replica.Start(rc)
		return err
	})
	if err != nil {
		return err
	}
	r.inner.Store(started)
	h.cfg.Logger.Info("replica started", logging.Step("start replica"),
		"group", r.group, "id", id, "founding", bootstrapping, "durable", storage.Durable())
	select {
	case <-ctx.Done():
		return nil
	case <-started.Done():
		return port.AtStep("run replica of group "+r.group, "", started.Err())
	}
}

// Stop transfers leadership to other processes where this one leads, and stops all
// replicas.
func (h *Host) Stop() {
	for _, r := range h.replicas {
		r.stop()
	}
	h.transport.Close()
}

// bootstrapReplicaID returns the id of the replica that bootstraps a group. A replica
// that joins gets a later incarnation in its id, so the two can be told apart after a
// restart.
func bootstrapReplicaID(name string) string { return name + "#0" }

// supersedes reports whether both ids are incarnations of the same process. newID is
// that of a running replica, so oldID will never return.
func supersedes(newID, oldID string) bool {
	return newID != oldID && membership.ProcessName(newID) == membership.ProcessName(oldID)
}

// open returns the storage and the id of the replica in the data folder; the id is
// empty if there is none. A corrupt folder is renamed and kept for the operator. Its
// replica is never started again, since it may have lost entries that it has
// acknowledged, and the process joins the group as a new replica.
func (h *Host) open(group string) (port.LogStorage, string, error) {
	if h.cfg.Folder == "" {
		return nil, "", nil
	}
	folder := filepath.Join(h.cfg.Folder, group)
	s, err := disk.Open(disk.OS{}, folder, group)
	var corrupt *disk.CorruptError
	switch {
	case err == nil:
		return s, s.ID(), nil
	case errors.Is(err, disk.ErrIdentityMissing):
		return nil, "", nil
	case errors.As(err, &corrupt):
		corruptFolder := fmt.Sprintf("%s.corrupt-%d", folder, time.Now().UnixNano())
		h.cfg.Logger.Error("data folder is corrupt; it is kept aside and its replica is not started again",
			logging.Step("open data folder"), "group", group, "kept_in", corruptFolder, logging.Error(err))
		return nil, "", errors.Wrap(os.Rename(folder, corruptFolder), "keep corrupt data folder aside")
	}
	return nil, "", port.AtStep("open data folder of group "+group, "", err)
}

// create creates the storage of a new replica, in memory if there is no data folder,
// and returns it with the replica's id.
func (h *Host) create(group string, bootstrapping bool) (port.LogStorage, string, error) {
	id := fmt.Sprintf("%s#%d", h.cfg.Name, time.Now().UnixNano())
	if bootstrapping {
		id = bootstrapReplicaID(h.cfg.Name)
	}
	if h.cfg.Folder == "" {
		return disk.NewMemory(), id, nil
	}
	s, err := disk.Create(disk.OS{}, filepath.Join(h.cfg.Folder, group), group, id)
	return s, id, port.AtStep("create data folder of group "+group, "", err)
}

// mayBootstrap reports whether this process must bootstrap the group: it is the first
// of the initial processes, and all others answer that they hold no state of the
// group. It repeats the calls until all have answered or one of them holds state. A process
// that does not know yet whether its data folder holds state answers with an error. The
// error returned is that of the context.
func (h *Host) mayBootstrap(ctx context.Context, group string, initialNames []string) (bool, error) {
	if h.cfg.JoinOnly || len(initialNames) == 0 || initialNames[0] != h.cfg.Name {
		return false, nil
	}
	for {
		withoutState := 0
		for _, name := range initialNames[1:] {
			reply, err := h.describe(ctx, group, name)
			if err == nil && reply.Known {
				return false, nil
			}
			if err == nil {
				withoutState++
			}
		}
		if withoutState == len(initialNames)-1 {
			return true, nil
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-time.After(describeInterval):
		}
	}
}

// describe asks the named process whether it holds state of the group.
func (h *Host) describe(ctx context.Context, group, name string) (*peerv1.DescribeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	return peerv1.NewGroupServiceProtobufClient("http://"+h.cfg.Addresses[name], h.cfg.Client).Describe(ctx, &peerv1.DescribeRequest{Group: group})
}
