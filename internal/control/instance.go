package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/lease"
	"laburnumgrade/internal/structs"
)

// Announce registers an instance and renews its lease, which counts from when the
// announcement arrived.
func (d *DataCentreServer) Announce(ctx context.Context, r *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	arrived := d.server.clock.Now()
	g, since, err := d.leadingGroup(r.DataCentre)
	if err != nil {
		return nil, err
	}
	if !d.instanceUnchanged(g, r) {
		if err := d.registerInstance(ctx, g, since, r); err != nil {
			return nil, err
		}
	}
	if !g.instanceLeases.Renew(r.InstanceId, since, arrived) {
		return nil, twirp.NewError(twirp.Aborted, "instance "+r.InstanceId+" is being removed; announce again")
	}
	g.holders.recordAnnouncement(since, arrived, d.server.clock.Now(), r.InstanceId, r.Incarnation)
	_, err = leadershipSince(g.Name, g.Log)
	return &apiv1.AnnounceResponse{LeaseMs: lease.InstanceDuration.Milliseconds()}, err
}

// registerInstance commits an instance that is new or has changed.
func (d *DataCentreServer) registerInstance(ctx context.Context, g *DataCentreGroup, since time.Duration, r *apiv1.AnnounceRequest) error {
	if old, known := g.Store.Instance(r.InstanceId); known && old.Incarnation < r.Incarnation {
		g.holders.recordRestart(since, &old, r.Incarnation)
	}
	result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RegisterInstance{RegisterInstance: &statev1.RegisterInstance{
		InstanceId: r.InstanceId, Incarnation: r.Incarnation, Team: r.Team, Service: r.Service,
		Address: r.Address, Slots: r.Slots, Connections: r.Connections, Leaving: r.Leaving,
	}}})
	if err != nil {
		return err
	}
	if result.Refusal != "" {
		return twirp.NewError(twirp.InvalidArgument, result.Refusal)
	}
	return nil
}

// instanceUnchanged reports whether the state contains the instance as announced.
func (d *DataCentreServer) instanceUnchanged(g *DataCentreGroup, r *apiv1.AnnounceRequest) bool {
	in, known := g.Store.Instance(r.InstanceId)
	return known && in.Incarnation == r.Incarnation && in.Leaving == r.Leaving && in.Address == r.Address &&
		in.Team == r.Team && in.Service == r.Service && in.Slots == int(r.Slots)
}

// ListInstances returns the instances of the data centre and renews the slot lease of
// the requesting entry, if it states its address. Only entries of the same data centre
// do so, since only they hand out slots.
func (d *DataCentreServer) ListInstances(ctx context.Context, r *peerv1.ListInstancesRequest) (*peerv1.ListInstancesResponse, error) {
	g, since, err := d.leadingGroup(r.DataCentre)
	if err != nil {
		return nil, err
	}
	if _, err := g.leadershipEpoch(ctx, since); err != nil {
		return nil, err
	}
	reply := &peerv1.ListInstancesResponse{}
	if r.EntryAddress != "" && d.renewSlots(ctx, g, since, r) {
		reply.LeaseMs = lease.SlotDuration.Milliseconds()
	}
	now := d.server.clock.Now()
	for _, in := range g.Store.Instances() {
		m := instanceMessage(&in, g.Name)
		m.ValidMs = g.holders.validFor(since, now, &in).Milliseconds()
		if in.Entry == r.Entry {
			r, _ := g.holders.releaseOf(since, &in)
			m.Release = r.number
		}
		reply.Instances = append(reply.Instances, m)
	}
	return reply, g.stillLeads(since)
}

// renewSlots renews the entry's slot lease and reassigns the slots that it reports as
// released. It returns false if the lease could not be renewed.
func (d *DataCentreServer) renewSlots(ctx context.Context, g *DataCentreGroup, since time.Duration, r *peerv1.ListInstancesRequest) bool {
	now := d.server.clock.Now()
	if !g.slotLeases.Renew(r.Entry, since, now) {
		return false
	}
	g.holders.setEntry(since, r.Entry, r.EntryAddress, r.Draining)
	if g.holders.completeReleases(since, r.Entry, r.Released) {
		d.server.assignSlots(ctx, g, since, now)
	}
	return true
}

func instanceMessage(in *structs.Instance, dataCentre string) *peerv1.Instance {
	return &peerv1.Instance{
		InstanceId: in.ID, Incarnation: in.Incarnation, Team: in.Team, Service: in.Service, Address: in.Address,
		Slots: int32(in.Slots), Connections: int32(in.Connections), Leaving: in.Leaving,
		Entry: in.Entry, EntryAddress: in.EntryAddress, DataCentre: dataCentre,
	}
}
