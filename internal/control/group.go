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

// DataCentreGroup is the process's replica of a data centre group together with the
// tables that the process keeps while it leads the group.
type DataCentreGroup struct {
	// Name is the name of the group, which is that of its data centre.
	Name string
	// Store holds the replicated state, to which Log applies the committed commands.
	Store *state.Store
	Log   port.ReplicatedLog

	changes        *broadcast
	dirty          *dirtySet
	observer       *stateObserver
	mirror         *mirror
	metrics        *metrics
	workerLeases   *lease.Table
	instanceLeases *lease.Table
	slotLeases     *lease.Table
	submissions    *pendingSubmissions
	usage          *usageTable
	running        *runningTable

	mu sync.Mutex
	// epoch is the number of the leadership that began at epochBegan; 0 if its beginning is
	// not committed.
	epoch      uint64
	epochBegan time.Duration
	holders    *slotHolders
}

// FleetGroup is the process's replica of the fleet group together with the tables
// that the process keeps while it leads the group.
type FleetGroup struct {
	// Store holds the replicated state, to which Log applies the committed commands.
	Store *fleet.Store
	Log   port.ReplicatedLog

	configLeases *lease.ConfigTable
	demand       *demandTable
	members      *memberTable
}

// NewDataCentreGroup returns a group without a log. The caller creates the log on the
// group's Store and sets Log before it uses the group.
func NewDataCentreGroup(name string) *DataCentreGroup {
	g := &DataCentreGroup{
		Name: name, changes: newBroadcast(), dirty: newDirtySet(),
		workerLeases: lease.NewTable(lease.WorkerDuration), instanceLeases: lease.NewTable(lease.InstanceDuration), slotLeases: lease.NewTable(lease.SlotDuration),
		holders: newSlotHolders(), metrics: newMetrics(nil), submissions: newPendingSubmissions(), usage: newUsageTable(), running: newRunningTable(),
	}
	g.observer = &stateObserver{changes: g.changes, dirty: g.dirty}
	g.Store = state.New(g.observer)
	return g
}

// NewFleetGroup returns a group without a log; see NewDataCentreGroup.
func NewFleetGroup() *FleetGroup {
	return &FleetGroup{Store: fleet.New(), configLeases: lease.NewConfigTable(), demand: newDemandTable(), members: newMemberTable()}
}

// leadershipSince returns the time, by the process's clock, since which the replica has
// led the group with a valid leader lease. Otherwise it returns a not-leader error that
// names the leader, if it is known.
func leadershipSince(name string, log port.ReplicatedLog) (time.Duration, error) {
	since, valid := log.Lease()
	if valid {
		return since, nil
	}
	id, address := log.Leader()
	return 0, peer.NotLeader(&port.NotLeaderError{Group: name, Leader: id, Address: address})
}

// leadershipEpoch returns the number of the leadership that began at since. If needed,
// it first commits the beginning of the leadership. Commands that end leases carry the
// number, so that the state refuses one that arrives after the leadership has ended.
func (g *DataCentreGroup) leadershipEpoch(ctx context.Context, since time.Duration) (uint64, error) {
	g.mu.Lock()
	epoch, epochBegan := g.epoch, g.epochBegan
	g.mu.Unlock()
	if epoch != 0 && epochBegan == since {
		return epoch, nil
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_BeginLeadership{BeginLeadership: &statev1.BeginLeadership{}}})
	if err != nil {
		return 0, err
	}
	// The number belongs to this leadership only if the leadership still lasts.
	if err := g.stillLeads(since); err != nil {
		return 0, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epochBegan < since || result.Epoch > g.epoch {
		g.epoch, g.epochBegan = result.Epoch, since
	}
	return g.epoch, nil
}

// invalidateEpoch makes leadershipEpoch commit the beginning of the leadership again. It is
// called when the state has refused a command because the number is out of date, which
// happens if a delayed BeginLeadership of an earlier leadership is committed.
func (g *DataCentreGroup) invalidateEpoch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch = 0
}

// stillLeads returns a not-leader error unless the replica has led without
// interruption since the given time.
func (g *DataCentreGroup) stillLeads(since time.Duration) error {
	now, err := leadershipSince(g.Name, g.Log)
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
		g.metrics.proposalErrors.Inc(1)
		return nil, peerError(err)
	}
	g.metrics.proposal.RecordDuration(time.Since(began))
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

// peerError converts a not-leader error to its form on the wire.
func peerError(err error) error {
	var notLeader *port.NotLeaderError
	if errors.As(err, &notLeader) {
		return peer.NotLeader(notLeader)
	}
	return port.AtStep("propose", "", err)
}
