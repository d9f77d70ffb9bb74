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
	// upkeepInterval is how often the leader looks after running waves.
	upkeepInterval = 250 * time.Millisecond
	// listInterval is how often machines are listed while a wave runs; the platform
	// counts and prices each call.
	listInterval = time.Second
	// machineTimeout bounds a call to the platform's service for machines.
	machineTimeout = time.Second
	// upkeepRetry is the pause after an order that was refused or not answered.
	upkeepRetry = time.Second
	// upkeepShare is the part of a machine's share of a wave's time in which its
	// work may come to its end; the rest is for the upkeep itself and for delays.
	upkeepShare = 0.4
	// savingTime is how long stopped work has to be listed before the order.
	savingTime = 600 * time.Millisecond
)

// upkeep carries out the waves of a term. Its fields belong to its goroutine, but
// for the term's cordoned workers.
type upkeep struct {
	t        *term
	machines map[string]Machine
	listedAt time.Duration
	// chosen machines are being emptied, since when and with which stop.
	chosen map[string]*emptying
	// ordered machines are down, or may be, since an order was sent.
	ordered map[string]time.Duration
	// lives are the sessions of the workers that ran on them when they were ordered.
	lives map[string]*session
}

// emptying is a machine that is about to be taken down.
type emptying struct {
	wave   int64
	since  time.Duration
	limit  time.Duration
	saving time.Duration
	retry  time.Duration
}

// keepMachines carries out waves until the term is over. A new leader waits until no
// earlier one can be taken for a second holder of the same machines.
func (t *term) keepMachines() {
	if t.l.Machines == nil || !t.pause(t.l.Bounds.HolderLease) {
		return
	}
	u := &upkeep{t: t, machines: map[string]Machine{}, chosen: map[string]*emptying{}, ordered: map[string]time.Duration{}, lives: map[string]*session{}}
	for t.pause(upkeepInterval) {
		if !t.leads() {
			continue
		}
		waves := u.running()
		if len(waves) == 0 {
			u.release()
			continue
		}
		now := t.l.Clock.Now()
		if now-u.listedAt >= listInterval && !u.list(now) {
			continue
		}
		for _, w := range waves {
			u.advance(w, now)
		}
	}
}

// running returns copies of the waves that are not complete.
func (u *upkeep) running() []cell.Wave {
	var list []cell.Wave
	u.t.l.Store.View(func(v *cell.View) {
		for _, w := range v.RunningWaves() {
			list = append(list, cell.Wave{Number: w.Number, MaxDown: w.MaxDown, DueMS: w.DueMS, Machines: w.Machines, Settled: maps.Clone(w.Settled)})
		}
	})
	return list
}

// release opens the workers of machines again that are not taken down after all.
func (u *upkeep) release() {
	if len(u.chosen) == 0 {
		return
	}
	clear(u.chosen)
	u.t.cordon(nil)
}

// list brings the machines up to date and finds those that are back.
func (u *upkeep) list(now time.Duration) bool {
	ctx, cancel := context.WithTimeout(u.t.ctx, machineTimeout)
	defer cancel()
	list, err := u.t.l.Machines.List(ctx)
	if err != nil {
		u.t.l.Logger.Warn("machines not listed", logging.Step("upkeep"), logging.Error(err))
		return false
	}
	u.listedAt = now
	clear(u.machines)
	for _, m := range list {
		u.machines[m.ID] = m
		if s := u.lives[m.ID]; s != nil && m.State == MachineInUpkeep {
			// An order may be answered because it was carried out long ago, with a
			// later worker on the machine; what is down runs nothing.
			delete(u.lives, m.ID)
			s.lapse("its machine is down for upkeep")
		}
		if at, down := u.ordered[m.ID]; down && m.State == MachineUp && at < now {
			delete(u.ordered, m.ID)
			delete(u.lives, m.ID)
			u.t.l.Logger.Info("machine is up again", logging.Step("upkeep"), logging.Peer(m.ID), "worker", m.Worker)
		}
	}
	return true
}

// advance chooses machines of a wave to be emptied and orders those that are empty.
func (u *upkeep) advance(w cell.Wave, now time.Duration) {
	u.choose(&w, now)
	var cordoned []string
	for id := range u.chosen {
		cordoned = append(cordoned, u.machines[id].Worker)
	}
	u.t.cordon(cordoned)
	for _, id := range w.Waiting() {
		if e := u.chosen[id]; e != nil && e.wave == w.Number && now >= e.retry {
			u.empty(&w, id, e, now)
		}
	}
}

// choose adds machines to those that are being emptied, as many as may be down at
// once, those with the least work first.
func (u *upkeep) choose(w *cell.Wave, now time.Duration) {
	room := w.MaxDown
	var list []string
	for _, id := range w.Machines {
		m, known := u.machines[id]
		_, down := u.ordered[id]
		switch {
		case u.chosen[id] != nil || down || m.State == MachineInUpkeep:
			room-- // also those that have had their order, until they are up
		case !known && !w.Settled[id]:
			u.settle(w.Number, id, "there is no such machine")
		case m.State == MachineUp && !w.Settled[id]:
			list = append(list, id)
		}
	}
	load := u.load(list)
	slices.SortStableFunc(list, func(a, b string) int { return cmp.Compare(load[a], load[b]) })
	rounds := (len(w.Waiting()) + w.MaxDown - 1) / w.MaxDown
	left := time.Duration(w.DueMS-u.t.wall.unixMS(now)) * time.Millisecond
	for _, id := range list[:max(0, min(room, len(list)))] {
		limit := time.Duration(upkeepShare * float64(left) / float64(rounds))
		u.chosen[id] = &emptying{wave: w.Number, since: now, limit: max(0, limit)}
		u.t.l.Logger.Info("machine chosen for upkeep", logging.Step("upkeep"), logging.Peer(id), "wave", w.Number, "attempts", load[id], "waiting", len(w.Waiting()), "limit_ms", limit.Milliseconds())
	}
}

// load returns how many attempts the workers of machines hold.
func (u *upkeep) load(machines []string) map[string]int {
	load := map[string]int{}
	u.t.l.Store.View(func(v *cell.View) {
		for _, id := range machines {
			if w := v.Worker(u.machines[id].Worker); w != nil {
				load[id] = len(w.Attempts)
			}
		}
	})
	return load
}

// empty brings a machine to the point at which it can be taken down: its work has
// ended, or was stopped so that it is saved.
func (u *upkeep) empty(w *cell.Wave, id string, e *emptying, now time.Duration) {
	attempts, serving := u.t.workOn(u.machines[id].Worker)
	for _, key := range serving {
		u.t.stopSpared(u.machines[id].Worker, key)
	}
	if len(serving) > 0 {
		return // what serves starts elsewhere first, as far as its step allows
	}
	switch {
	case len(attempts) == 0:
	case now < e.since+e.limit:
		return
	case e.saving == 0:
		e.saving = now
		u.t.stopSaved(u.machines[id].Worker, attempts)
		return
	case now < e.saving+savingTime:
		return
	}
	u.order(w, id, e, now)
}

// order takes a machine down.
func (u *upkeep) order(w *cell.Wave, id string, e *emptying, now time.Duration) {
	ctx, cancel := context.WithTimeout(u.t.ctx, machineTimeout)
	defer cancel()
	if !u.t.leads() {
		return
	}
	// From here on the machine may be down, whatever is answered.
	u.ordered[id] = u.t.l.Clock.Now()
	if s := u.t.sessionOf(u.machines[id].Worker); s != nil && u.lives[id] == nil {
		u.lives[id] = s
	}
	answer, err := u.t.l.Machines.Upkeep(ctx, &UpkeepOrder{Machine: id, Wave: w.Number, Holder: u.t.l.Name, Fence: u.t.number})
	u.t.l.Logger.Info("upkeep ordered", logging.Step("upkeep"), logging.Peer(id), "wave", w.Number, "answer", answer.String(), "error", err)
	switch {
	case err != nil:
		e.retry = now + upkeepRetry // an order that was carried out is answered the same way
	case answer == UpkeepBegun:
		delete(u.chosen, id)
		u.settle(w.Number, id, "its upkeep has begun")
	case answer == UpkeepNoMachine:
		delete(u.chosen, id)
		delete(u.ordered, id)
		u.settle(w.Number, id, "there is no such machine")
	default:
		delete(u.ordered, id)
		e.retry = now + upkeepRetry
	}
}

// settle commits that a machine of a wave needs nothing more.
func (u *upkeep) settle(wave int64, id, why string) {
	if _, err := u.t.l.propose(u.t.ctx, &cell.Command{SettleMachine: &cell.SettleMachine{Wave: wave, Machine: id}}); err != nil {
		u.t.l.Logger.Warn("machine not settled", logging.Step("upkeep"), logging.Peer(id), "wave", wave, logging.Error(err))
		return // ordered or looked for again
	}
	u.t.l.Logger.Info("machine settled", logging.Step("upkeep"), logging.Peer(id), "wave", wave, "reason", why)
}

// cordon keeps new work off some workers, and off no others.
func (t *term) cordon(workers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.cordoned)
	for _, w := range workers {
		t.cordoned[w] = true
	}
}

// isCordoned reports whether a worker gets no new work.
func (t *term) isCordoned(worker string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cordoned[worker]
}

// workOn returns the attempts on a worker, and those of them that serve and whose
// step bounds how many may be away.
func (t *term) workOn(worker string) (attempts map[cell.TaskKey]cell.Attempt, serving []cell.TaskKey) {
	attempts = map[cell.TaskKey]cell.Attempt{}
	t.l.Store.View(func(v *cell.View) {
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

// stopSaved stops the attempts whose work is saved by it.
func (t *term) stopSaved(worker string, attempts map[cell.TaskKey]cell.Attempt) {
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
	t.l.Store.View(func(v *cell.View) {
		if j := v.Job(k.Job); j != nil && j.State == cell.Active {
			saves = j.Steps[k.Step].Checkpointable
		}
	})
	return saves
}

// stopSpared stops a task that serves, so that it starts on another worker, if its
// step can spare it.
func (t *term) stopSpared(worker string, key cell.TaskKey) {
	s := t.sessionOf(worker)
	if s == nil || !t.leads() {
		return
	}
	var run uint32
	away, most := 0, 0
	t.l.Store.View(func(v *cell.View) {
		j := v.Job(key.Job)
		w := v.Worker(worker)
		if j == nil || j.State != cell.Active || w == nil {
			return
		}
		run, most = w.Attempts[key].Run, j.Steps[key.Step].MaxUnavailable
		away = t.away(v, key)
	})
	if run == 0 || away >= most {
		return
	}
	t.l.Logger.Info("serving task moved", logging.Step("upkeep"), logging.Peer(worker), logging.Job(key.Job), "task", position(key), "run", run, "away", away, "most", most)
	s.stop(key, run)
}

// away counts the other tasks of a step that are not at work, or have not been for
// long enough to count.
func (t *term) away(v *cell.View, key cell.TaskKey) int {
	working := map[int]bool{}
	now := t.l.Clock.Now()
	for id, w := range v.Workers() {
		s := t.sessionOf(id)
		if s == nil || s.born != w.Born {
			continue
		}
		for k, a := range w.Attempts {
			if k.StepKey == key.StepKey && s.atWorkSince(attemptKey{k, a.Run}, now-t.l.Bounds.MinServingTime) {
				working[k.Index] = true
			}
		}
	}
	away := 0
	for i := range v.Job(key.Job).Occurrences[key.Occurrence][key.Step].Tasks {
		if i != key.Index && !working[i] {
			away++
		}
	}
	return away
}
