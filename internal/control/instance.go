package control

import (
	"context"
	"slices"
	"strings"

	"github.com/twitchtv/twirp"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/lease"
	"laburnumgrade/internal/structs"
)

// Announce registers an instance and renews its announcement.
func (d *DataCentreServer) Announce(ctx context.Context, r *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	g, since, err := d.leading(r.DataCentre)
	if err != nil {
		return nil, err
	}
	if !d.sameInstance(g, r) {
		result, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RegisterInstance{RegisterInstance: &statev1.RegisterInstance{
			InstanceId: r.InstanceId, Incarnation: r.Incarnation, Team: r.Team, Service: r.Service,
			Address: r.Address, Slots: r.Slots, Connections: r.Connections, Leaving: r.Leaving,
		}}})
		if err != nil {
			return nil, err
		}
		if result.Refusal != "" {
			return nil, twirp.NewError(twirp.InvalidArgument, result.Refusal)
		}
	}
	if !g.instances.Renew(r.InstanceId, since, d.server.clock.Now()) {
		return nil, twirp.NewError(twirp.Aborted, "instance "+r.InstanceId+" is being removed; announce again")
	}
	_, err = lead(g.Name, g.Log)
	return &apiv1.AnnounceResponse{LeaseMs: lease.Instance.Milliseconds()}, err
}

func (d *DataCentreServer) sameInstance(g *DataCentreGroup, r *apiv1.AnnounceRequest) bool {
	in, known := g.Store.Instance(r.InstanceId)
	return known && in.Incarnation == r.Incarnation && in.Leaving == r.Leaving && in.Address == r.Address &&
		in.Team == r.Team && in.Service == r.Service && in.Slots == int(r.Slots)
}

// ListInstances returns the instances and renews the asking entry's slot
// leases. Only entries of the same data centre hand out slots.
func (d *DataCentreServer) ListInstances(ctx context.Context, r *peerv1.ListInstancesRequest) (*peerv1.ListInstancesResponse, error) {
	g, since, err := d.leading(r.DataCentre)
	if err != nil {
		return nil, err
	}
	if _, err := g.epoch(ctx, since); err != nil {
		return nil, err
	}
	renewed := r.EntryAddress != "" && g.slots.Renew(r.Entry, since, d.server.clock.Now())
	if renewed {
		g.setEntry(r.Entry, r.EntryAddress)
	}
	reply := &peerv1.ListInstancesResponse{}
	if renewed {
		reply.LeaseMs = lease.Slot.Milliseconds()
	}
	for _, in := range g.Store.Instances() {
		reply.Instances = append(reply.Instances, instanceMessage(&in, g.Name))
	}
	return reply, g.stillLeads(since)
}

func instanceMessage(in *structs.Instance, dataCentre string) *peerv1.Instance {
	return &peerv1.Instance{
		InstanceId: in.ID, Incarnation: in.Incarnation, Team: in.Team, Service: in.Service, Address: in.Address,
		Slots: int32(in.Slots), Connections: int32(in.Connections), Leaving: in.Leaving,
		Entry: in.Entry, EntryAddress: in.EntryAddress, DataCentre: dataCentre,
	}
}

func (g *DataCentreGroup) setEntry(entry, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries[entry] = address
}

// liveEntries returns the entries with a slot lease, in order.
func (g *DataCentreGroup) liveEntries() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for name := range g.entries {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

func (g *DataCentreGroup) entryAddress(entry string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.entries[entry]
}

func (g *DataCentreGroup) dropEntry(entry string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.entries, entry)
}
