package control

import (
	"context"
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
	workers   *lease.Table
	instances *lease.Table
	slots     *lease.Table
	holders   *slotHolders
}

// FleetGroup is the process's replica of the fleet group with the volatile
// state of its leader.
type FleetGroup struct {
	Store *fleet.Store
	Log   port.Log

	holders *lease.ConfigTable
	demand  *demandTable
}

// NewDataCentreGroup returns a group without a log; the caller sets Log before
// use, since a log needs the store first.
func NewDataCentreGroup(name string) *DataCentreGroup {
	g := &DataCentreGroup{
		Name: name, changes: newBroadcast(),
		workers: lease.NewTable(lease.Worker), instances: lease.NewTable(lease.Instance), slots: lease.NewTable(lease.Slot),
		holders: newSlotHolders(),
	}
	g.Store = state.New(&observer{g.changes})
	return g
}

// NewFleetGroup returns a group without a log.
func NewFleetGroup() *FleetGroup {
	return &FleetGroup{Store: fleet.New(), holders: lease.NewConfigTable(), demand: newDemandTable()}
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

// propose commits a command of the data centre group.
func (g *DataCentreGroup) propose(ctx context.Context, c *statev1.DataCentreCommand) (*state.Result, error) {
	b, err := proto.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	result, err := g.Log.Propose(ctx, b)
	if err != nil {
		return nil, peerError(err)
	}
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
