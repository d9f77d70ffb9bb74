package dispatch

import (
	"math"
	"slices"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/reservation"
	"laburnumgrade/internal/structs"
)

const (
	// moveInterval is how often the leader looks for running tasks to move out of evacuated
	// data centres, which looks at all attempts there.
	moveInterval = 200 * time.Millisecond
	// moveSettleTime is the age of a term from which tasks are moved. By then the workers have
	// listed what runs on them and the moves of an earlier leader, which this one does not
	// count, have ended.
	moveSettleTime = 3 * time.Second
	// maxMoves is the number of tasks that may be on the move at a time, from the stop until
	// the next start. A gang with more tasks moves alone.
	maxMoves = 16
	// moveTime is how long a task does not run while it moves: its state is saved, its end
	// and its next start are committed.
	moveTime = 1500 * time.Millisecond
	// moveCost is the rest of its run time from which a task moves although it is in time. It
	// is longer than moveTime: advice may be needed, and what was done since the last saved
	// state is done again.
	moveCost = minPreemptionSlack
	// maxDeniedProbability bounds the probability that none of the workers with capacity
	// for a moved task is allowed, if advice is needed.
	maxDeniedProbability = 0.05
	// allowedCapacityFactor is how many times the capacity for a moved gang has to be there
	// on the workers that should be allowed, if advice is needed.
	allowedCapacityFactor = 2
)

// move is a task that is being moved out of an evacuated data centre: it was stopped there and
// has not started again.
type move struct {
	worker    string
	born      int64
	run       uint32
	orderedAt time.Duration
	// claim is the capacity that the task needs on workers of the service.
	service string
	claim   structs.Resources
}

// moveCandidate is a running task, or a gang as a whole, that may be moved.
type moveCandidate struct {
	// step is the step with the timing of its job, as if it were ready.
	step  *readyStep
	tasks []runningTask
	// rest is how long the task continues to run where it is, with a factor of 1.
	rest time.Duration
	// factor is the run time factor of its worker, the largest one for a gang.
	factor float64
}

// runningTask is a task of a moveCandidate.
type runningTask struct {
	index  int
	run    uint32
	worker string
	born   int64
	// evacuated is set if the worker is in an evacuated data centre.
	evacuated bool
}

// movesDue reports whether running tasks may be moved now.
func (t *term) movesDue(now time.Duration) bool {
	return now >= t.movesAt+moveInterval && now >= t.began+moveSettleTime && t.isSynced()
}

// moveRunning stops running tasks in evacuated data centres that should run elsewhere. The plan
// p is complete, so the capacity that it has left is not needed by ready steps.
func (t *term) moveRunning(p *planner, readySteps []*readyStep) {
	t.movesAt = p.now
	if !t.leads() {
		return
	}
	t.withholdUnusable(p)
	candidates := t.moveCandidates(p.now)
	if len(candidates) == 0 {
		return
	}
	for _, c := range p.planMoves(candidates, readySteps, t.currentMoves(), t.unavailableOthers) {
		t.move(c, p.now)
	}
}

// endMoves forgets the moves whose tasks run again or have ended, and those that have no
// effect: the evacuation was stopped first, or the stop order was not answered in time. The
// latter are decided on again.
func (t *term) endMoves(now time.Duration) {
	if len(t.currentMoves()) == 0 {
		return
	}
	t.leader.Store.View(func(v *cell.View) {
		t.mu.Lock()
		defer t.mu.Unlock()
		for key, m := range t.moving {
			if t.hasEnded(v, key, &m, now) {
				delete(t.moving, key)
			}
		}
	})
}

// hasEnded reports whether a move has ended or has no effect. The caller holds t.mu.
func (t *term) hasEnded(v *cell.View, key cell.TaskKey, m *move, now time.Duration) bool {
	j := v.Job(key.Job)
	if j == nil || j.State != cell.Active {
		return true
	}
	task := &j.Occurrences[key.Occurrence][key.Step].Tasks[key.Index]
	switch {
	case task.Done || task.Run != m.run:
		return true
	case !task.InFlight:
		return false // it waits for its next start
	}
	s := t.sessions[m.worker]
	stopped := s != nil && s.born == m.born && s.isStopped(attemptKey{key, m.run})
	return !stopped && (now-m.orderedAt >= stopRetryInterval || len(v.Evacuated()) == 0)
}

// isStopped reports whether the worker has carried out a stop order for an attempt.
func (s *session) isStopped(k attemptKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := s.attempts[k]
	return info != nil && info.stopped
}

// progressOf returns the progress in percent of an attempt that the worker has listed and that
// was not stopped.
func (s *session) progressOf(k attemptKey) (percent float64, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := s.attempts[k]
	if info == nil || !info.confirmed || info.stopped {
		return 0, false
	}
	return info.percent, true
}

// currentMoves returns copies of the moves.
func (t *term) currentMoves() map[cell.TaskKey]move {
	t.mu.Lock()
	defer t.mu.Unlock()
	moves := make(map[cell.TaskKey]move, len(t.moving))
	for key, m := range t.moving {
		moves[key] = m
	}
	return moves
}

// moveCandidates returns the tasks and gangs that run in evacuated data centres, save their
// state and are not on the move.
func (t *term) moveCandidates(now time.Duration) []*moveCandidate {
	ratios := t.stats.queueRatios()
	found := map[cell.TaskKey]*moveCandidate{}
	t.leader.Store.View(func(v *cell.View) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if len(v.Evacuated()) == 0 {
			return
		}
		gangs := map[cell.StepKey]bool{}
		for id, w := range v.Workers() {
			if !v.IsEvacuated(w.DataCentre) {
				continue
			}
			for key := range w.Attempts {
				j := v.Job(key.Job)
				if j == nil || j.State != cell.Active || !j.Steps[key.Step].Checkpointable {
					continue
				}
				q := v.QueueOf(j)
				if q == nil {
					continue
				}
				if j.Steps[key.Step].Gang {
					gangs[key.StepKey] = true
					continue
				}
				rs := t.movedStep(j, q, key.StepKey, ratios, now)
				c := &moveCandidate{step: rs}
				if t.addRunning(c, v, id, w, key) {
					found[key] = c
				}
			}
		}
		t.addGangs(found, gangs, v, ratios, now)
	})
	var list []*moveCandidate
	for _, c := range found {
		list = append(list, c)
	}
	return list
}

// addGangs adds the gangs all of whose tasks run. The caller holds t.mu.
func (t *term) addGangs(found map[cell.TaskKey]*moveCandidate, gangs map[cell.StepKey]bool, v *cell.View, ratios queueRatios, now time.Duration) {
	if len(gangs) == 0 {
		return
	}
	members := map[cell.StepKey]*moveCandidate{}
	for id, w := range v.Workers() {
		for key := range w.Attempts {
			if !gangs[key.StepKey] {
				continue
			}
			c := members[key.StepKey]
			if c == nil {
				j := v.Job(key.Job)
				c = &moveCandidate{step: t.movedStep(j, v.QueueOf(j), key.StepKey, ratios, now)}
				members[key.StepKey] = c
			}
			t.addRunning(c, v, id, w, key)
		}
	}
	for key, c := range members {
		if len(c.tasks) == c.step.step.Count && c.step.occurrence.Done == 0 {
			found[cell.TaskKey{StepKey: key}] = c
		}
	}
}

// movedStep returns the step of a running task as a ready one, with its timing. The caller
// holds t.mu.
func (t *term) movedStep(j *cell.Job, q *cell.Queue, key cell.StepKey, ratios queueRatios, now time.Duration) *readyStep {
	rest := remainingDurations(j, ratios.of(q.Name))
	times := t.timesOf(key, j, q, rest, now)
	occurrence := j.Occurrences[key.Occurrence][key.Step]
	occurrence.Tasks = slices.Clone(occurrence.Tasks)
	rs := &readyStep{
		key: key, job: j, step: &j.Steps[key.Step], occurrence: &occurrence, queue: q,
		remaining: rest[key.Step], duration: expectedDuration(j.Steps[key.Step].EstimateMS, ratios.of(q.Name)),
		shortLease: times.needsShortLease(), deadline: times.firstSeen + times.objective,
	}
	rs.overdue = now > times.firstSeen+overdueFactor*times.objective && !rs.step.Daemon
	return rs
}

// addRunning adds a running task to a candidate, unless it is on the move, has crashed workers
// or has not been listed by its worker. The caller holds t.mu.
func (t *term) addRunning(c *moveCandidate, v *cell.View, id string, w *cell.Worker, key cell.TaskKey) bool {
	a, s := w.Attempts[key], t.sessions[id]
	if _, moving := t.moving[key]; moving || a.Crashes > 0 || s == nil || s.born != w.Born || c.step.occurrence.Tasks[key.Index].Run != a.Run {
		return false
	}
	percent, running := s.progressOf(attemptKey{key, a.Run})
	if !running {
		return false
	}
	rest := time.Duration((fullPace - percent) / fullPace * float64(c.step.duration))
	if c.step.step.Daemon {
		rest = reservation.Forever
	}
	c.rest, c.factor = max(c.rest, rest), max(c.factor, t.stats.factorOf(id))
	c.tasks = append(c.tasks, runningTask{key.Index, a.Run, id, w.Born, v.IsEvacuated(w.DataCentre)})
	return true
}

// unavailableOthers returns how many other tasks of a step are unavailable.
func (t *term) unavailableOthers(key cell.TaskKey) int {
	n := 0
	t.leader.Store.View(func(v *cell.View) {
		j := v.Job(key.Job)
		if j == nil || j.State != cell.Active {
			n = math.MaxInt32
			return
		}
		if j.Steps[key.Step].Daemon {
			if len(v.RunningWaves()) > 0 {
				n = math.MaxInt32 // upkeep moves serving tasks, with the same bound
				return
			}
			n = t.unavailable(v, key)
			return
		}
		for i := range j.Occurrences[key.Occurrence][key.Step].Tasks {
			task := &j.Occurrences[key.Occurrence][key.Step].Tasks[i]
			if i != key.Index && !task.Done && (!task.InFlight || t.isMoving(cell.TaskKey{StepKey: key.StepKey, Index: i}, task.Run)) {
				n++
			}
		}
	})
	return n
}

// isMoving reports whether a run of a task is being moved.
func (t *term) isMoving(key cell.TaskKey, run uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, moving := t.moving[key]
	return moving && m.run == run
}

// move sends the stop orders for a task or a gang. It does nothing if the evacuation was
// stopped or one of the attempts has ended meanwhile. The tasks start elsewhere once their
// ends are committed.
func (t *term) move(c *moveCandidate, now time.Duration) {
	current := true
	t.leader.Store.View(func(v *cell.View) {
		evacuated := false
		for _, task := range c.tasks {
			w := v.Worker(task.worker)
			if current = current && w != nil && w.Born == task.born; !current {
				return
			}
			a, ok := w.Attempts[cell.TaskKey{StepKey: c.step.key, Index: task.index}]
			current = ok && a.Run == task.run
			evacuated = evacuated || v.IsEvacuated(w.DataCentre)
		}
		current = current && evacuated
		// A wave of upkeep that is committed later finds the tasks marked.
		if c.step.step.Daemon && len(v.RunningWaves()) > 0 {
			current = false
		}
		if !current {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, task := range c.tasks {
			t.moving[cell.TaskKey{StepKey: c.step.key, Index: task.index}] = move{task.worker, task.born, task.run, now, c.step.queue.Service, c.step.step.Claim()}
		}
	})
	if !current {
		return
	}
	t.leader.metrics.moved.Inc(int64(len(c.tasks)))
	for _, task := range c.tasks {
		s := t.session(task.worker, task.born)
		if s == nil {
			continue // the incarnation has ended, and its attempts with it
		}
		key := cell.TaskKey{StepKey: c.step.key, Index: task.index}
		t.leader.Logger.Info("running task moved", logging.Step("evacuate"), logging.Peer(task.worker), logging.Job(key.Job), "task", position(key), "run", task.run, "rest_ms", c.rest.Milliseconds())
		t.spawn(func() { s.stop(key, task.run) })
	}
}
