package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

// serviceInterval is how often services are compared with their documents.
const serviceInterval = 300 * time.Millisecond

// runServices keeps the number and version of the instances of each service as its
// document requires, while this process leads the group and holds a configuration lease.
func (s *Server) runServices(ctx context.Context, g *DataCentreGroup) {
	whileLeading(ctx, g.Log, serviceInterval, func(time.Duration) {
		if s.follower.LeaseValid(0) {
			s.runServicesOnce(ctx, g)
		}
	})
}

// runServicesOnce compares each document with the state and commits one change per
// service: first its number and version of instances, then the update of one instance.
func (s *Server) runServicesOnce(ctx context.Context, g *DataCentreGroup) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	for _, d := range s.allDocuments() {
		if structs.Class(d.Spec.GetClass()) != structs.ClassService {
			s.endService(ctx, g, d)
			continue
		}
		spec := proto.Clone(d.Spec).(*statev1.WorkSpec)
		spec.Tasks = int32(instancesIn(int(d.Spec.Tasks), slices.Index(s.dataCentres, g.Name), len(s.dataCentres)))
		j, known := g.Store.Job(state.ServiceJobID(d.Team, d.Service))
		if !known && spec.Tasks == 0 {
			continue
		}
		if !known || j.Spec.Version != d.Version || j.Wanted != int(spec.Tasks) {
			s.proposeAndLog(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_SetService{SetService: &statev1.SetService{Spec: spec}}})
			continue
		}
		s.replaceOneInstance(ctx, g, &j)
	}
}

// endService stops the instances of a document whose class is no longer service.
func (s *Server) endService(ctx context.Context, g *DataCentreGroup, d *statev1.Document) {
	j, known := g.Store.Job(state.ServiceJobID(d.Team, d.Service))
	if !known || j.Wanted == 0 {
		return
	}
	spec := proto.Clone(d.Spec).(*statev1.WorkSpec)
	spec.Class = statev1.WorkSpec_SERVICE
	spec.Tasks = 0
	s.proposeAndLog(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_SetService{SetService: &statev1.SetService{Spec: spec}}})
}

// instancesIn returns how many of the n instances of a service run in the data centre with
// the given index. If n is not divisible, the first data centres run one more.
func instancesIn(n, index, dataCentres int) int {
	count := n / dataCentres
	if index < n%dataCentres {
		count++
	}
	return count
}

// replaceOneInstance stops one instance of an earlier version if all instances are
// running, so that at most one is missing during an update.
func (s *Server) replaceOneInstance(ctx context.Context, g *DataCentreGroup, j *structs.Job) {
	var old *structs.Attempt
	for i := range min(j.Wanted, len(j.Tasks)) {
		a, open := g.Store.Attempt(j.Tasks[i].Attempt)
		if !open || a.Stopping {
			return
		}
		if a.Version < j.Spec.Version && old == nil {
			old = &a
		}
	}
	if old == nil {
		return
	}
	s.proposeAndLog(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_ShedAttempts{ShedAttempts: &statev1.ShedAttempts{
		Attempts: []*statev1.ShedAttempt{{AttemptId: old.ID, Means: statev1.ShedAttempt_STOP, Reason: "replaced by a newer version"}},
	}}})
}
