package dispatch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

const (
	// upkeepInterval is how often the leader processes running waves.
	upkeepInterval = 250 * time.Millisecond
	// machineListInterval is how often machines are listed while a wave runs. The
	// platform counts and charges each call.
	machineListInterval = time.Second
	// machineCallTimeout bounds a call to the platform's machine service.
	machineCallTimeout = time.Second
	// upkeepRetryDelay is the delay after an order that was rejected or not
	// answered.
	upkeepRetryDelay = time.Second
	// drainShare is the part of a machine's share of the wave's time in which
	// attempts on the machine may end by themselves. The rest is for the upkeep
	// and for delays.
	drainShare = 0.4
	// checkpointTime is how long the leader waits after stopping attempts, so that
	// their checkpoints are listed before the machine goes down.
	checkpointTime = 600 * time.Millisecond
)

// upkeep carries out the waves of a term: it drains the machines of a wave and
// takes them down for maintenance, a bounded number at a time. Only its goroutine
// uses its fields.
type upkeep struct {
	t *term
	// machines is the newest list of machines by ID; listedAt is when it was
	// requested, and triedAt when a list was requested last, also without success.
	machines map[string]Machine
	listedAt time.Duration
	triedAt  time.Duration
	// chosen machines are being drained.
	chosen map[string]*drainingMachine
	// ordered machines may be down; the value is when the order was sent.
	ordered map[string]time.Duration
	// sessionsAtOrder holds the sessions of the workers that ran on the machines
	// when the orders were sent.
	sessionsAtOrder map[string]*session
}

// drainingMachine is a machine that is about to be taken down.
type drainingMachine struct {
	wave int64
	// drainTimeout is how long the attempts on the machine may take to end by
	// themselves, counted from chosenAt.
	chosenAt     time.Duration
	drainTimeout time.Duration
	// stoppedAt is when the remaining attempts were stopped, 0 if they were not.
	stoppedAt time.Duration
	// retryAt is when an upkeep order that failed is repeated.
	retryAt time.Duration
}

// runUpkeep carries out waves until the term ends. It first waits until the orders
// of an earlier leader can no longer overlap with its own.
func (t *term) runUpkeep() {
	if t.leader.Machines == nil || !t.pause(t.leader.Bounds.HolderLease) {
		return
	}
	u := &upkeep{
		t:               t,
		machines:        map[string]Machine{},
		chosen:          map[string]*drainingMachine{},
		ordered:         map[string]time.Duration{},
		sessionsAtOrder: map[string]*session{},
	}
	for t.pause(upkeepInterval) {
		if !t.leads() {
			continue
		}
		waves := u.runningWaves()
		if len(waves) == 0 {
			u.release()
			continue
		}
		now := t.leader.Clock.Now()
		if now-u.listedAt >= machineListInterval && (now-u.triedAt < machineListInterval || !u.listMachines(now)) {
			continue
		}
		for _, w := range waves {
			u.advanceWave(w, now)
		}
	}
}

// runningWaves returns copies of the waves that are not complete.
func (u *upkeep) runningWaves() []cell.Wave {
	var list []cell.Wave
	u.t.leader.Store.View(func(v *cell.View) {
		for _, w := range v.RunningWaves() {
			list = append(list, cell.Wave{Number: w.Number, MaxDown: w.MaxDown, DueMS: w.DueMS, Machines: w.Machines, Settled: maps.Clone(w.Settled)})
		}
	})
	return list
}

// release makes the workers of chosen machines available again when no wave runs.
func (u *upkeep) release() {
	clear(u.chosen)
	u.t.cordon(nil)
}

// listMachines updates the list of machines and handles those that went down or
// came up. It returns false if the list is not available.
func (u *upkeep) listMachines(now time.Duration) bool {
	u.triedAt = now
	ctx, cancel := context.WithTimeout(u.t.ctx, machineCallTimeout)
	defer cancel()
	list, err := u.t.leader.Machines.List(ctx)
	if err != nil {
		u.t.leader.Logger.Warn("failed to list machines", logging.Step("upkeep"), logging.Error(err))
		return false
	}
	u.listedAt = now
	clear(u.machines)
	for _, m := range list {
		u.machines[m.ID] = m
		if s := u.sessionsAtOrder[m.ID]; s != nil && m.State == MachineInUpkeep {
			// Only a machine that is down certainly runs nothing. The answer to the
			// order does not show this: the upkeep may have been carried out earlier,
			// and the machine may run a later worker.
			delete(u.sessionsAtOrder, m.ID)
			s.incarnationOver(now, "its machine is down for upkeep")
		}
		if at, down := u.ordered[m.ID]; down && m.State == MachineUp && at < now {
			delete(u.ordered, m.ID)
			delete(u.sessionsAtOrder, m.ID)
			u.t.leader.Logger.Info("machine is up again", logging.Step("upkeep"), logging.Peer(m.ID), "worker", m.Worker)
		}
	}
	return true
}

// advanceWave chooses machines of a wave, drains the chosen ones and orders the
// upkeep of those that are drained.
func (u *upkeep) advanceWave(w cell.Wave, now time.Duration) {
	u.chooseMachines(&w, now)
	var cordoned []string
	for id := range u.chosen {
		cordoned = append(cordoned, u.machines[id].Worker)
	}
	u.t.cordon(cordoned)
	for _, id := range w.Waiting() {
		if machine := u.chosen[id]; machine != nil && machine.wave == w.Number && now >= machine.retryAt {
			u.drain(&w, id, machine, now)
		}
	}
}

// chooseMachines adds machines to those that are being drained, up to the wave's
// bound, those with the fewest attempts first.
func (u *upkeep) chooseMachines(w *cell.Wave, now time.Duration) {
	room := w.MaxDown
	var list []string
	for _, id := range w.Machines {
		m, known := u.machines[id]
		_, down := u.ordered[id]
		switch {
		case u.chosen[id] != nil || down || m.State == MachineInUpkeep:
			room-- // includes ordered machines until they are up again
		case !known && !w.Settled[id]:
			u.settle(w.Number, id, "there is no such machine")
		case m.State == MachineUp && !w.Settled[id]:
			list = append(list, id)
		}
	}
	counts := u.attemptCounts(list)
	slices.SortStableFunc(list, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
	rounds := (len(w.Waiting()) + w.MaxDown - 1) / w.MaxDown
	remaining := time.Duration(w.DueMS-u.t.wall.unixMS(now)) * time.Millisecond
	for _, id := range list[:max(0, min(room, len(list)))] {
		drainTimeout := time.Duration(drainShare * float64(remaining) / float64(rounds))
		u.chosen[id] = &drainingMachine{wave: w.Number, chosenAt: now, drainTimeout: max(0, drainTimeout)}
		u.t.leader.Logger.Info("machine chosen for upkeep", logging.Step("upkeep"), logging.Peer(id), "wave", w.Number, "attempts", counts[id], "waiting", len(w.Waiting()), "limit_ms", drainTimeout.Milliseconds())
	}
}

// attemptCounts returns the number of attempts on the workers of machines.
func (u *upkeep) attemptCounts(machines []string) map[string]int {
	counts := map[string]int{}
	u.t.leader.Store.View(func(v *cell.View) {
		for _, id := range machines {
			if w := v.Worker(u.machines[id].Worker); w != nil {
				counts[id] = len(w.Attempts)
			}
		}
	})
	return counts
}

// drain continues to drain a machine. It moves serving tasks, then waits for the
// other attempts to end until drainTimeout, then stops those that save a
// checkpoint, and finally orders the upkeep.
func (u *upkeep) drain(w *cell.Wave, id string, machine *drainingMachine, now time.Duration) {
	attempts, serving := u.t.attemptsOn(u.machines[id].Worker)
	for _, key := range serving {
		u.t.moveServing(u.machines[id].Worker, key)
	}
	if len(serving) > 0 {
		return // serving tasks are moved first, as far as their steps allow
	}
	switch {
	case len(attempts) == 0:
	case now < machine.chosenAt+machine.drainTimeout:
		return
	case machine.stoppedAt == 0:
		machine.stoppedAt = now
		u.t.stopCheckpointing(u.machines[id].Worker, attempts)
		return
	case now < machine.stoppedAt+checkpointTime:
		return
	}
	u.orderUpkeep(w, id, machine, now)
}

// orderUpkeep sends the upkeep order for a machine.
func (u *upkeep) orderUpkeep(w *cell.Wave, id string, machine *drainingMachine, now time.Duration) {
	ctx, cancel := context.WithTimeout(u.t.ctx, machineCallTimeout)
	defer cancel()
	if !u.t.leads() {
		return
	}
	if !u.announceTakeDown(u.machines[id].Worker) {
		machine.retryAt = now + upkeepRetryDelay
		return
	}
	// From here on the machine may be down, whatever the answer is.
	u.ordered[id] = u.t.leader.Clock.Now()
	s := u.t.sessionOf(u.machines[id].Worker)
	if s != nil && u.sessionsAtOrder[id] == nil {
		u.sessionsAtOrder[id] = s
	}
	answer, err := u.t.leader.Machines.Upkeep(ctx, &UpkeepOrder{Machine: id, Wave: w.Number, Holder: u.t.leader.Name, Fence: u.t.number})
	if s != nil && (err != nil || answer == UpkeepBegun) {
		// A start would reach the successor, which may have the same ID. After this time the
		// session is out of contact.
		s.avoid(u.t.leader.Clock.Now(), maxReportSilence)
	}
	u.t.leader.Logger.Info("upkeep ordered", logging.Step("upkeep"), logging.Peer(id), "wave", w.Number, "answer", answer.String(), "error", err)
	switch {
	case err != nil:
		machine.retryAt = now + upkeepRetryDelay // repeating an order that was carried out gives the same answer
	case answer == UpkeepBegun:
		delete(u.chosen, id)
		u.settle(w.Number, id, "its upkeep has begun")
	case answer == UpkeepNoMachine:
		delete(u.chosen, id)
		delete(u.ordered, id)
		u.settle(w.Number, id, "there is no such machine")
	default:
		delete(u.ordered, id)
		machine.retryAt = now + upkeepRetryDelay
	}
}

// announceTakeDown commits that a worker is about to be ended, so that its end is not
// taken for a crash. It returns false if this failed.
func (u *upkeep) announceTakeDown(worker string) bool {
	var born int64
	announced := true
	u.t.leader.Store.View(func(v *cell.View) {
		if w := v.Worker(worker); w != nil {
			born, announced = w.Born, w.TakenDown
		}
	})
	if announced {
		return true // or there is no worker on the machine
	}
	_, err := u.t.leader.propose(u.t.ctx, &cell.Command{TakeDown: &cell.TakeDown{Worker: worker, Born: born}})
	if err != nil {
		u.t.leader.Logger.Warn("failed to commit that a worker is taken down", logging.Step("upkeep"), logging.Peer(worker), logging.Error(err))
	}
	return err == nil
}

// settle commits that the wave requires nothing more of a machine.
func (u *upkeep) settle(wave int64, id, reason string) {
	if _, err := u.t.leader.propose(u.t.ctx, &cell.Command{SettleMachine: &cell.SettleMachine{Wave: wave, Machine: id}}); err != nil {
		u.t.leader.Logger.Warn("failed to commit that a machine is settled", logging.Step("upkeep"), logging.Peer(id), "wave", wave, logging.Error(err))
		return // retried with the next list
	}
	u.t.leader.Logger.Info("machine settled", logging.Step("upkeep"), logging.Peer(id), "wave", wave, "reason", reason)
}

// cordon replaces the set of workers that get no new attempts.
func (t *term) cordon(workers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.cordoned)
	for _, w := range workers {
		t.cordoned[w] = true
	}
}

// attemptsOn returns the attempts on a worker and those of them that are serving
// tasks whose step limits how many may be unavailable.
func (t *term) attemptsOn(worker string) (attempts map[cell.TaskKey]cell.Attempt, serving []cell.TaskKey) {
	attempts = map[cell.TaskKey]cell.Attempt{}
	t.leader.Store.View(func(v *cell.View) {
		w := v.Worker(worker)
		if w == nil {
			return
		}
		for k, a := range w.Attempts {
			attempts[k] = a
			if j := v.Job(k.Job); j != nil && j.State == cell.Active && j.Steps[k.Step].Daemon && j.Steps[k.Step].MaxUnavailable > 0 {
				serving = append(serving, k)
			}
		}
	})
	return attempts, serving
}

// stopCheckpointing stops the attempts on a worker that save a checkpoint when
// stopped.
func (t *term) stopCheckpointing(worker string, attempts map[cell.TaskKey]cell.Attempt) {
	s := t.sessionOf(worker)
	if s == nil {
		return
	}
	for k, a := range attempts {
		if t.checkpoints(k) {
			t.spawn(func() { s.stop(k, a.Run) })
		}
	}
}

// checkpoints reports whether a task saves its progress.
func (t *term) checkpoints(k cell.TaskKey) bool {
	saves := false
	t.leader.Store.View(func(v *cell.View) {
		if j := v.Job(k.Job); j != nil && j.State == cell.Active {
			saves = j.Steps[k.Step].Checkpointable
		}
	})
	return saves
}

// moveServing stops a serving task, so that it starts on another worker, if its
// step allows one more task to be unavailable.
func (t *term) moveServing(worker string, key cell.TaskKey) {
	s := t.sessionOf(worker)
	if s == nil || !t.leads() {
		return
	}
	var run uint32
	unavailable, maxUnavailable := 0, 0
	t.leader.Store.View(func(v *cell.View) {
		j := v.Job(key.Job)
		w := v.Worker(worker)
		if j == nil || j.State != cell.Active || w == nil {
			return
		}
		run, maxUnavailable = w.Attempts[key].Run, j.Steps[key.Step].MaxUnavailable
		unavailable = t.unavailable(v, key)
	})
	if run == 0 || unavailable >= maxUnavailable {
		return
	}
	t.leader.Logger.Info("serving task moved", logging.Step("upkeep"), logging.Peer(worker), logging.Job(key.Job), "task", position(key), "run", run, "away", unavailable, "most", maxUnavailable)
	s.stop(key, run)
}

// unavailable counts the other tasks of a step that are not serving, have not
// served for MinServingTime, or are being moved out of an evacuated data centre.
func (t *term) unavailable(v *cell.View, key cell.TaskKey) int {
	serving := map[int]bool{}
	now := t.leader.Clock.Now()
	for id, w := range v.Workers() {
		s := t.sessionOf(id)
		if s == nil || s.born != w.Born {
			continue
		}
		for k, a := range w.Attempts {
			if k.StepKey == key.StepKey && !t.isMoving(k, a.Run) && s.hasServedSince(attemptKey{k, a.Run}, now-t.leader.Bounds.MinServingTime) {
				serving[k.Index] = true
			}
		}
	}
	unavailable := 0
	for i := range v.Job(key.Job).Occurrences[key.Occurrence][key.Step].Tasks {
		if i != key.Index && !serving[i] {
			unavailable++
		}
	}
	return unavailable
}
