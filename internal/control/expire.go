package control

import (
	"context"
	"strings"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

// expireInterval is how often the leader looks for expired leases.
const expireInterval = 200 * time.Millisecond

// expire ends the expired leases of workers, instances and entries and advances the
// log time while this process leads the group.
func (s *Server) expire(ctx context.Context, g *DataCentreGroup) {
	whileLeading(ctx, g.Log, expireInterval, func(since time.Duration) { s.expireOnce(ctx, g, since) })
}

// expireOnce runs one pass of expire.
func (s *Server) expireOnce(ctx context.Context, g *DataCentreGroup, since time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	epoch, err := g.leadershipEpoch(ctx, since)
	if err != nil {
		s.logger.Warn("failed to commit the beginning of the leadership", "step", "begin leadership", "group", g.Name, "error", err)
		return
	}
	now := s.clock.Now()
	s.proposeAndLog(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AdvanceTime{AdvanceTime: &statev1.AdvanceTime{
		UnixMs: s.wallClock().UnixMilli(),
	}}})
	s.expireWorkers(ctx, g, since, now, epoch)
	for _, in := range g.Store.Instances() {
		s.expireInstance(ctx, g, &in, since, now)
	}
	s.assignSlots(ctx, g, since, now)
}

// maxLostPerCommand bounds the workers declared lost by one command, and so the
// time for applying it.
const maxLostPerCommand = 500

// expireWorkers declares the workers with expired leases lost in one command, so
// that the loss of a rack or data centre does not take a command for each worker.
func (s *Server) expireWorkers(ctx context.Context, g *DataCentreGroup, since, now time.Duration, epoch uint64) {
	var lost []*statev1.LoseWorker
	for _, w := range g.Store.LeasedWorkers() {
		if w.Lost {
			// An earlier proposal whose outcome was unknown may have been committed.
			g.workerLeases.CompleteExpiry(w.ID, since)
			continue
		}
		if len(lost) == maxLostPerCommand || !g.workerLeases.BeginExpiry(w.ID, since, now) {
			continue
		}
		s.logger.Warn("worker lost: its lease has expired", "step", "expire worker", "peer", w.ID, "attempts", w.Attempts)
		lost = append(lost, &statev1.LoseWorker{WorkerId: w.ID, Incarnation: w.Incarnation, Registration: w.Registration, Epoch: epoch})
	}
	if len(lost) == 0 {
		return
	}
	s.metrics.workersLost.Inc(int64(len(lost)))
	if !s.proposeAndLog(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_LoseWorkers{LoseWorkers: &statev1.LoseWorkers{Workers: lost}}}) {
		return
	}
	for _, w := range lost {
		g.workerLeases.CompleteExpiry(w.WorkerId, since)
	}
}

// expireInstance removes an instance whose announcement has expired.
func (s *Server) expireInstance(ctx context.Context, g *DataCentreGroup, in *structs.Instance, since, now time.Duration) {
	if !g.instanceLeases.BeginExpiry(in.ID, since, now) {
		return
	}
	s.logger.Warn("instance removed: its announcement has expired", "step", "expire instance", "peer", in.ID)
	if s.proposeAndLog(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RemoveInstance{RemoveInstance: &statev1.RemoveInstance{
		InstanceId: in.ID, Incarnation: in.Incarnation,
	}}}) {
		g.instanceLeases.CompleteExpiry(in.ID, since)
	}
}

// proposeAndLog proposes a command of the leader's periodic work and reports whether
// it was applied, which includes a refusal by the state. An error is logged; the
// caller proposes the command again at its next interval.
func (s *Server) proposeAndLog(ctx context.Context, g *DataCentreGroup, c *statev1.DataCentreCommand) bool {
	result, err := g.propose(ctx, c)
	if err != nil {
		s.logger.Warn("proposal failed", "step", "propose", "group", g.Name, "error", err)
		return false
	}
	if strings.HasPrefix(result.Refusal, state.RefusalLeadershipOver) {
		g.invalidateEpoch()
	}
	return true
}
