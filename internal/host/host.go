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

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/disk"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/membership"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/replica"
)

const (
	// askInterval is the pause between two rounds of questions to the other
	// processes of a group that may have to be founded.
	askInterval = 200 * time.Millisecond
	askTimeout  = time.Second
)

// Config configures a Host.
type Config struct {
	// Name is that of the process, Address where other processes reach it.
	Name    string
	Address string
	// Folder is the data folder, empty for a VM without a disk.
	Folder string
	// JoinOnly keeps the process from founding any group.
	JoinOnly bool
	// Addresses holds the addresses of the control processes by name.
	Addresses map[string]string
	Client    *http.Client
	Clock     port.Clock
	Logger    *slog.Logger
}

// Host runs the replicas of one process.
type Host struct {
	c         Config
	transport *peer.RaftTransport
	server    *peer.RaftServer
	replicas  []*ReplicaHandle
}

// New returns a host without replicas.
func New(c Config) *Host {
	h := &Host{c: c, server: peer.NewRaftServer()}
	h.transport = peer.NewRaftTransport(c.Client, h.resolve, c.Logger)
	return h
}

// Handler returns the handler of raft messages.
func (h *Host) Handler() http.Handler { return h.server.Handler() }

// resolve returns the address of a replica: that of its process in the
// settings, or the one that the group's membership states.
func (h *Host) resolve(id string) string {
	if a := h.c.Addresses[membership.ProcessName(id)]; a != "" {
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

// AddReplica registers a group's replica. It must be called for all groups before Run.
func (h *Host) AddReplica(group string) *ReplicaHandle {
	r := &ReplicaHandle{group: group}
	h.replicas = append(h.replicas, r)
	h.server.Register(group, r)
	return r
}

// Run starts the replica, after finding out how, and returns an error if it
// cannot be started or fails later. It returns nil when the context ends.
func (h *Host) Run(ctx context.Context, r *ReplicaHandle, listed []string, machine port.StateMachine) error {
	storage, id, err := h.open(r.group)
	if err != nil {
		return err
	}
	founding := id == founderID(h.c.Name)
	if id == "" {
		if founding, err = h.mayFound(ctx, r.group, listed); err != nil {
			return nil
		}
		if storage, id, err = h.create(r.group, founding); err != nil {
			return err
		}
	}
	rc := replica.Config{
		Group: r.group, ID: id, Address: h.c.Address, Storage: storage, StateMachine: machine,
		Transport: h.transport, Clock: h.c.Clock, Logger: h.c.Logger, Supersedes: supersedes,
	}
	if founding {
		rc.Membership = &peerv1.RaftMembership{Voters: []*peerv1.RaftReplica{{Id: id, Address: h.c.Address}}}
	}
	in, err := replica.Start(rc)
	if err != nil {
		return err
	}
	r.inner.Store(in)
	h.c.Logger.Info("replica started", logging.Step("start replica"), "group", r.group, "id", id, "founding", founding, "durable", storage.Durable())
	select {
	case <-ctx.Done():
		return nil
	case <-in.Done():
		return port.AtStep("run replica of group "+r.group, "", in.Err())
	}
}

// Stop hands over leaderships and stops all replicas.
func (h *Host) Stop() {
	for _, r := range h.replicas {
		r.stop()
	}
	h.transport.Close()
}

// founderID is the id of the replica that founds a group. A replica that joins
// has a later incarnation, so a founder is recognised after a restart.
func founderID(name string) string { return name + "#0" }

// supersedes reports whether a replica is a later incarnation of a process.
func supersedes(newID, oldID string) bool {
	return newID != oldID && membership.ProcessName(newID) == membership.ProcessName(oldID)
}

// open returns the storage of an existing replica; the id is empty if there is
// none. A corrupt folder is kept aside for the operator: its replica never
// votes again, and the process joins as a new one.
func (h *Host) open(group string) (port.LogStorage, string, error) {
	if h.c.Folder == "" {
		return nil, "", nil
	}
	folder := filepath.Join(h.c.Folder, group)
	s, err := disk.Open(disk.OS{}, folder, group)
	var corrupt *disk.CorruptError
	switch {
	case err == nil:
		return s, s.ID(), nil
	case errors.Is(err, disk.ErrIdentityMissing):
		return nil, "", nil
	case errors.As(err, &corrupt):
		aside := fmt.Sprintf("%s.corrupt-%d", folder, time.Now().UnixNano())
		h.c.Logger.Error("data folder is corrupt; its replica is given up", logging.Step("open data folder"), "group", group, "kept_in", aside, logging.Error(err))
		return nil, "", errors.Wrap(os.Rename(folder, aside), "keep corrupt data folder aside")
	}
	return nil, "", port.AtStep("open data folder of group "+group, "", err)
}

func (h *Host) create(group string, founding bool) (port.LogStorage, string, error) {
	id := fmt.Sprintf("%s#%d", h.c.Name, time.Now().UnixNano())
	if founding {
		id = founderID(h.c.Name)
	}
	if h.c.Folder == "" {
		return disk.NewMemory(), id, nil
	}
	s, err := disk.Create(disk.OS{}, filepath.Join(h.c.Folder, group), group, id)
	return s, id, port.AtStep("create data folder of group "+group, "", err)
}

// mayFound reports whether this process is to found the group: it is the first
// listed and every other listed process answers that it holds no state of the
// group. It asks until all have answered or one knows the group. The error is
// that of the context.
func (h *Host) mayFound(ctx context.Context, group string, listed []string) (bool, error) {
	if h.c.JoinOnly || len(listed) == 0 || listed[0] != h.c.Name {
		return false, nil
	}
	for {
		unknown := 0
		for _, name := range listed[1:] {
			reply, err := h.ask(ctx, group, name)
			if err == nil && reply.Known {
				return false, nil
			}
			if err == nil {
				unknown++
			}
		}
		if unknown == len(listed)-1 {
			return true, nil
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-time.After(askInterval):
		}
	}
}

func (h *Host) ask(ctx context.Context, group, name string) (*peerv1.DescribeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return peerv1.NewGroupServiceProtobufClient("http://"+h.c.Addresses[name], h.c.Client).Describe(ctx, &peerv1.DescribeRequest{Group: group})
}
