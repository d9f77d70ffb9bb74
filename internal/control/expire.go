package control

import (
	"context"
	"strings"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

// expireInterval is how often the leader looks for leases that have run out.
const expireInterval = 200 * time.Millisecond

// expire ends the leases of workers, instances and entries that have surely
// run out, and keeps the log time moving, while this process leads the group.
func (s *Server) expire(ctx context.Context, g *DataCentreGroup) {
	whileLeading(ctx, g.Log, expireInterval, func(since time.Duration) { s.expireOnce(ctx, g, since) })
}

func (s *Server) expireOnce(ctx context.Context, g *DataCentreGroup, since time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	epoch, err := g.epoch(ctx, since)
	if err != nil {
		s.logger.Warn("leadership not begun", "step", "begin leadership", "group", g.Name, "error", err)
		return
	}
	now := s.clock.Now()
	s.try(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AdvanceTime{AdvanceTime: &statev1.AdvanceTime{UnixMs: s.wall().UnixMilli()}}})
	s.expireWorkers(ctx, g, since, now, epoch)
	for _, in := range g.Store.Instances() {
		s.expireInstance(ctx, g, &in, since, now)
	}
	s.assignSlots(ctx, g, since, now)
}

// maxLost bounds the workers lost by one command, and so the time that applying
// it takes.
const maxLost = 500

// expireWorkers ends the leases of all workers that have run out together, so
// that the loss of a rack or data centre is not one command for each worker.
func (s *Server) expireWorkers(ctx context.Context, g *DataCentreGroup, since, now time.Duration, epoch uint64) {
	var lost []*statev1.LoseWorker
	for _, w := range g.Store.LeasedWorkers() {
		if w.Lost {
			// The loss may be known only now, if the proposal's outcome was not.
			g.workers.CompleteExpiry(w.ID, since)
			continue
		}
		if len(lost) == maxLost || !g.workers.BeginExpiry(w.ID, since, now) {
			continue
		}
		s.logger.Warn("worker lost: its lease has run out", "step", "expire worker", "peer", w.ID, "attempts", w.Attempts)
		lost = append(lost, &statev1.LoseWorker{WorkerId: w.ID, Incarnation: w.Incarnation, Registration: w.Registration, Epoch: epoch})
	}
	if len(lost) == 0 {
		return
	}
	s.meter.workersLost.Inc(int64(len(lost)))
	if !s.try(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_LoseWorkers{LoseWorkers: &statev1.LoseWorkers{Workers: lost}}}) {
		return
	}
	for _, w := range lost {
		g.workers.CompleteExpiry(w.WorkerId, since)
	}
}

func (s *Server) expireInstance(ctx context.Context, g *DataCentreGroup, in *structs.Instance, since, now time.Duration) {
	if !g.instances.BeginExpiry(in.ID, since, now) {
		return
	}
	s.logger.Warn("instance removed: its announcement has run out", "step", "expire instance", "peer", in.ID)
	if s.try(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RemoveInstance{RemoveInstance: &statev1.RemoveInstance{InstanceId: in.ID, Incarnation: in.Incarnation}}}) {
		g.instances.CompleteExpiry(in.ID, since)
	}
}

// try proposes a command of the leader's own and reports whether it was
// applied, refused or not. A failure is logged and the command is tried again
// at the next interval.
func (s *Server) try(ctx context.Context, g *DataCentreGroup, c *statev1.DataCentreCommand) bool {
	result, err := g.propose(ctx, c)
	if err != nil {
		s.logger.Warn("proposal failed", "step", "propose", "group", g.Name, "error", err)
		return false
	}
	if strings.HasPrefix(result.Refusal, state.RefusalLeadershipOver) {
		g.forgetEpoch()
	}
	return true
}
