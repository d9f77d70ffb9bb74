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
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		since, valid := g.Log.Lease()
		if valid {
			s.expireOnce(ctx, g, since)
		}
	}
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
	s.try(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AdvanceTime{AdvanceTime: &statev1.AdvanceTime{UnixMs: time.Now().UnixMilli()}}})
	for _, id := range g.Store.WorkerIDs() {
		w, ok := g.Store.Worker(id)
		switch {
		case ok && !w.Lost:
			s.expireWorker(ctx, g, &w, since, now, epoch)
		case ok:
			// The loss may be known only now, if the proposal's outcome was not.
			g.workers.EndDone(id, since)
		}
	}
	for _, in := range g.Store.Instances() {
		s.expireInstance(ctx, g, &in, since, now)
	}
	s.assignSlots(ctx, g, since, now, epoch)
}

func (s *Server) expireWorker(ctx context.Context, g *DataCentreGroup, w *structs.Worker, since, now time.Duration, epoch uint64) {
	if !g.workers.BeginEnd(w.ID, since, now) {
		return
	}
	s.logger.Warn("worker lost: its lease has run out", "step", "expire worker", "peer", w.ID, "attempts", len(w.Attempts))
	if s.try(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_LoseWorker{LoseWorker: &statev1.LoseWorker{
		WorkerId: w.ID, Incarnation: w.Incarnation, Registration: w.Registration, Epoch: epoch,
	}}}) {
		g.workers.EndDone(w.ID, since)
	}
}

func (s *Server) expireInstance(ctx context.Context, g *DataCentreGroup, in *structs.Instance, since, now time.Duration) {
	if !g.instances.BeginEnd(in.ID, since, now) {
		return
	}
	s.logger.Warn("instance removed: its announcement has run out", "step", "expire instance", "peer", in.ID)
	if s.try(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RemoveInstance{RemoveInstance: &statev1.RemoveInstance{InstanceId: in.ID, Incarnation: in.Incarnation}}}) {
		g.instances.EndDone(in.ID, since)
	}
}

// assignSlots takes instances from entries whose slot lease has run out, and
// gives each instance without an entry to the live entry that has the fewest.
// An entry's renewals are refused until it has lost its instances, so that it
// cannot hand out slots that another entry has been given.
func (s *Server) assignSlots(ctx context.Context, g *DataCentreGroup, since, now time.Duration, epoch uint64) {
	byEntry := map[string][]structs.Instance{}
	for _, in := range g.Store.Instances() {
		byEntry[in.Entry] = append(byEntry[in.Entry], in)
	}
	for _, entry := range g.liveEntries() {
		byEntry[entry] = append(byEntry[entry], []structs.Instance{}...)
	}
	for entry, instances := range byEntry {
		if entry != "" && g.slots.BeginEnd(entry, since, now) && s.dropSlots(ctx, g, instances, epoch) {
			g.dropEntry(entry)
			g.slots.EndDone(entry, since)
		}
	}
	live := g.liveEntries()
	held := map[string]int{}
	for entry, instances := range byEntry {
		held[entry] = len(instances)
	}
	for _, in := range byEntry[""] {
		entry := fewest(live, held)
		if entry == "" {
			return
		}
		held[entry]++
		s.assign(ctx, g, &in, entry, epoch)
	}
}

// dropSlots takes the instances from their entry; false if any was not taken.
func (s *Server) dropSlots(ctx context.Context, g *DataCentreGroup, instances []structs.Instance, epoch uint64) bool {
	for i := range instances {
		if !s.assign(ctx, g, &instances[i], "", epoch) {
			return false
		}
	}
	return true
}

func (s *Server) assign(ctx context.Context, g *DataCentreGroup, in *structs.Instance, entry string, epoch uint64) bool {
	return s.try(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AssignSlots{AssignSlots: &statev1.AssignSlots{
		InstanceId: in.ID, Incarnation: in.Incarnation, Entry: entry, EntryAddress: g.entryAddress(entry), Replaces: in.Assignment, Epoch: epoch,
	}}})
}

func fewest(entries []string, held map[string]int) string {
	best := ""
	for _, e := range entries {
		if best == "" || held[e] < held[best] {
			best = e
		}
	}
	return best
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
	if strings.HasPrefix(result.Refusal, state.RefusalEpoch) {
		g.forgetEpoch()
	}
	return true
}
