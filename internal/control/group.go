package control

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/fleet"
	"laburnumgrade/internal/lease"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/state"
)

// DataCentreGroup is the process's replica of a data centre group with the
// volatile state of its leader.
type DataCentreGroup struct {
	Name  string
	Store *state.Store
	Log   port.Log

	changes   *broadcast
	dirty     *dirty
	observer  *observer
	mirror    *mirror
	meter     *meter
	workers   *lease.Table
	instances *lease.Table
	slots     *lease.Table
	// submissions holds the submitted jobs whose outcome is not known.
	submissions *submissions
	usage       *usageTable
	running     *runningTable

	mu sync.Mutex
	// begun is the number of the leadership since begunSince, 0 if none.
	begun      uint64
	begunSince time.Duration
	holders    *slotHolders
}

// FleetGroup is the process's replica of the fleet group with the volatile
// state of its leader.
type FleetGroup struct {
	Store *fleet.Store
	Log   port.Log

	holders *lease.ConfigTable
	demand  *demandTable
	members *memberTable
}

// NewDataCentreGroup returns a group without a log; the caller sets Log before
// use, since a log needs the store first.
func NewDataCentreGroup(name string) *DataCentreGroup {
	g := &DataCentreGroup{
		Name: name, changes: newBroadcast(), dirty: newDirty(),
		workers: lease.NewTable(lease.WorkerDuration), instances: lease.NewTable(lease.InstanceDuration), slots: lease.NewTable(lease.SlotDuration),
		holders: newSlotHolders(), meter: newMeter(nil), submissions: newSubmissions(), usage: newUsageTable(), running: newRunningTable(),
	}
	g.observer = &observer{changes: g.changes, dirty: g.dirty}
	g.Store = state.New(g.observer)
	return g
}

// NewFleetGroup returns a group without a log.
func NewFleetGroup() *FleetGroup {
	return &FleetGroup{Store: fleet.New(), holders: lease.NewConfigTable(), demand: newDemandTable(), members: newMemberTable()}
}

// lead returns since when the replica leads, or a not-leader error.
func lead(name string, log port.Log) (time.Duration, error) {
	since, valid := log.Lease()
	if valid {
		return since, nil
	}
	id, address := log.Leader()
	return 0, peer.NotLeader(&port.NotLeaderError{Group: name, Leader: id, Address: address})
}

// epoch returns the number of the leadership since the given time, committing
// its beginning first. Commands that end leases carry it, so that one delayed
// beyond its leadership is refused.
func (g *DataCentreGroup) epoch(ctx context.Context, since time.Duration) (uint64, error) {
	g.mu.Lock()
	begun, begunSince := g.begun, g.begunSince
	g.mu.Unlock()
	if begun != 0 && begunSince == since {
		return begun, nil
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_BeginLeadership{BeginLeadership: &statev1.BeginLeadership{}}})
	if err != nil {
		return 0, err
	}
	// The command belongs to this leadership only if it still lasts.
	if err := g.stillLeads(since); err != nil {
		return 0, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.begunSince < since || result.Epoch > g.begun {
		g.begun, g.begunSince = result.Epoch, since
	}
	return g.begun, nil
}

// forgetEpoch makes the leader begin again after a delayed command of an
// earlier leadership has taken its number.
func (g *DataCentreGroup) forgetEpoch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun = 0
}

// stillLeads returns a not-leader error unless the replica has led since then
// without interruption.
func (g *DataCentreGroup) stillLeads(since time.Duration) error {
	now, err := lead(g.Name, g.Log)
	if err != nil {
		return err
	}
	if now != since {
		return peer.NotLeader(&port.NotLeaderError{Group: g.Name})
	}
	return nil
}

// propose commits a command of the data centre group.
func (g *DataCentreGroup) propose(ctx context.Context, c *statev1.DataCentreCommand) (*state.Result, error) {
	b, err := proto.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	began := time.Now()
	result, err := g.Log.Propose(ctx, b)
	if err != nil {
		g.meter.proposalErrors.Inc(1)
		return nil, peerError(err)
	}
	g.meter.proposal.RecordDuration(time.Since(began))
	return result.(*state.Result), nil
}

// propose commits a command of the fleet group.
func (g *FleetGroup) propose(ctx context.Context, c *statev1.FleetCommand) (*statev1.FleetResult, error) {
	b, err := proto.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	result, err := g.Log.Propose(ctx, b)
	if err != nil {
		return nil, peerError(err)
	}
	return result.(*statev1.FleetResult), nil
}

// peerError turns a not-leader error into its wire form.
func peerError(err error) error {
	var notLeader *port.NotLeaderError
	if errors.As(err, &notLeader) {
		return peer.NotLeader(notLeader)
	}
	return port.AtStep("propose", "", err)
}
