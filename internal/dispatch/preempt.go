package dispatch

import (
	"cmp"
	"slices"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/structs"
)

const (
	// minPreemptionSlack is the spare time until its objective that the job of a
	// preempted task must have: the task waits for capacity again and restores its
	// checkpoint.
	minPreemptionSlack = 4 * time.Second
	// maxPreemptions bounds how often one task is preempted.
	maxPreemptions = 2
	// preemptionDelay is how long a gang waits for its reserved capacity before
	// tasks are preempted for it: tasks that end in the meantime need not be
	// stopped.
	preemptionDelay = time.Second
	// preemptionRetryDelay is how long after a preemption a gang waits before it
	// preempts more tasks. The stops, the ends of the tasks and a request for
	// advice take less.
	preemptionRetryDelay = 2 * time.Second
)

// victim is a running task that may be preempted by a gang: it is checkpointed
// when it is stopped, and its job has slack time before its objective.
type victim struct {
	worker string
	task   cell.TaskKey
	run    uint32
	size   structs.Resources
	slack  time.Duration
}

// preempt plans to stop tasks of lower priority in order to make room for a gang
// that does not fit, and holds the capacity for it. It returns false if this would
// not free enough capacity.
func (p *planner) preempt(rs *readyStep, tasks []int) bool {
	suspects, _ := rs.splitSuspects(tasks)
	if rs.late || rs.step.SameRack || p.victims == nil || len(suspects) > 0 {
		return false
	}
	last, known := p.lastPreemption[rs.key]
	if !known {
		p.newlyBlocked = append(p.newlyBlocked, rs.key)
	}
	if !known || p.now < last+preemptionRetryDelay || rs.advice != nil && !p.mayRequest(rs, rs.advice) {
		return false
	}
	var held []cell.Placement
	var stops []victim
	for _, c := range p.allowedFor(rs) {
		placed := p.placeWithVictims(rs, c, tasks[len(held):])
		held, stops = append(held, placed.placements...), append(stops, placed.stops...)
		if len(held) == len(tasks) {
			p.planPreemption(rs, held, stops)
			return true
		}
	}
	p.preemptionsFailed = append(p.preemptionsFailed, rs.key)
	return false
}

// allowedFor returns the workers on which a gang could run if they had free
// capacity. Workers with the most free capacity come first, so that few tasks are
// preempted.
func (p *planner) allowedFor(rs *readyStep) []*candidate {
	var list []*candidate
	for _, c := range p.group(rs) {
		if c.withheld || c.cold || c.timeline.HasReservations() || !rs.mayJoin(c) {
			continue
		}
		if issued, ok := rs.advice.ticketFor(c.id); rs.advice != nil && (!ok || issued.born != c.born) {
			continue
		}
		list = append(list, c)
	}
	p.rank(rs, list)
	slices.SortStableFunc(list, func(a, b *candidate) int {
		return cmp.Compare(fitCount(rs.step.Claim(), b.free), fitCount(rs.step.Claim(), a.free))
	})
	return list
}

// preemptedCapacity holds the placements of a gang on one worker and the attempts
// that have to stop for them.
type preemptedCapacity struct {
	placements []cell.Placement
	stops      []victim
}

// placeWithVictims assigns tasks of the gang to a worker as far as its free
// capacity and that of its victims suffice. Victims with the most slack come
// first.
func (p *planner) placeWithVictims(rs *readyStep, c *candidate, tasks []int) preemptedCapacity {
	var result preemptedCapacity
	claim, free := rs.step.Claim(), c.free
	victims := p.victims(c, rs.queue.Priority)
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(b.slack, a.slack), cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index))
	})
	onWorker := c.placed[rs.key]
	if rs.step.MaxPerWorker > 0 {
		onWorker += p.countTasks(rs.key, c)
	}
	for _, i := range tasks {
		if rs.step.MaxPerWorker > 0 && onWorker+len(result.placements) >= rs.step.MaxPerWorker {
			break
		}
		var stops []victim
		room := free
		for !claim.Fits(room) && len(stops) < len(victims) {
			room = room.Add(victims[len(stops)].size)
			stops = victims[:len(stops)+1]
		}
		if !claim.Fits(room) {
			break
		}
		free, victims = room.Sub(claim), victims[len(stops):]
		result.stops = append(result.stops, stops...)
		result.placements = append(result.placements, cell.Placement{Task: cell.TaskKey{StepKey: rs.key, Index: i}, Run: rs.occurrence.Run + 1, Worker: c.id, Born: c.born})
	}
	return result
}

// planPreemption adds the stops to the plan and holds the capacity for the gang.
// If the queue needs advice, the stops are sent together with a request for new
// tickets.
func (p *planner) planPreemption(rs *readyStep, held []cell.Placement, stops []victim) {
	p.holdCapacity(held, rs)
	if rs.advice == nil {
		p.stops = append(p.stops, stops...)
		for i := range held {
			p.reserved[held[i].Worker] = rs.key
			p.byID[held[i].Worker].withheld = true
		}
		p.lastPreemption[rs.key] = p.now
		return
	}
	var workers []*candidate
	for i := range held {
		if c := p.byID[held[i].Worker]; !slices.Contains(workers, c) {
			workers = append(workers, c)
		}
	}
	p.requestAdviceWith(rs, workers, held, stops, false)
}

// preemptibleTask is a task that may be preempted, with its job and queue.
type preemptibleTask struct {
	victim
	job   *cell.Job
	queue *cell.Queue
}

// newVictimFinder returns the function that finds the tasks on a worker that may be
// preempted by work of a priority. The tasks on all workers are collected on its first
// call, since few plans preempt.
func (t *term) newVictimFinder(p *planner) func(c *candidate, priority int) []victim {
	var byWorker map[string][]preemptibleTask
	return func(c *candidate, priority int) []victim {
		if byWorker == nil {
			byWorker = t.preemptibleTasks(p)
		}
		var list []victim
		for i := range byWorker[c.id] {
			if task := &byWorker[c.id][i]; task.queue.Priority > priority {
				list = append(list, task.victim)
			}
		}
		return list
	}
}

// preemptibleTasks returns the tasks that may be preempted by worker.
func (t *term) preemptibleTasks(p *planner) map[string][]preemptibleTask {
	byWorker := map[string][]preemptibleTask{}
	t.leader.Store.View(func(v *cell.View) {
		for _, c := range p.candidates {
			for k, a := range c.worker.Attempts {
				j := v.Job(k.Job)
				if j == nil || j.State != cell.Active {
					continue
				}
				q, step := v.QueueOf(j), &j.Steps[k.Step]
				if q == nil || !step.Checkpointable || step.Gang || step.Daemon || step.Filler {
					continue
				}
				byWorker[c.id] = append(byWorker[c.id], preemptibleTask{victim: victim{worker: c.id, task: k, run: a.Run, size: a.Size}, job: j, queue: q})
			}
		}
	})
	ratios := t.stats.queueRatios()
	for id, list := range byWorker {
		byWorker[id] = t.withSlack(list, ratios, p.now)
	}
	return byWorker
}

// withSlack adds the slack to tasks and drops those that have too little, or that were
// preempted too often.
func (t *term) withSlack(list []preemptibleTask, ratios queueRatios, now time.Duration) []preemptibleTask {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := list[:0]
	for _, task := range list {
		rest := remainingDurations(task.job, ratios.of(task.queue.Name))
		times := t.timesOf(task.task.StepKey, task.job, task.queue, rest, now)
		task.slack = times.firstSeen + times.objective - now - time.Duration(slowMargin*float64(rest[task.task.Step]))
		if task.slack >= minPreemptionSlack && t.preemptions[task.task] < maxPreemptions {
			kept = append(kept, task)
		}
	}
	return kept
}

// preempt sends the stop orders for victims.
func (t *term) preempt(stops []victim, gang cell.StepKey) {
	now := t.leader.Clock.Now()
	t.mu.Lock()
	t.lastPreemption[gang] = now
	for i := range stops {
		t.preemptions[stops[i].task]++
	}
	t.mu.Unlock()
	for _, stopped := range stops {
		s := t.sessionOf(stopped.worker)
		if s == nil {
			continue
		}
		t.leader.Logger.Info("attempt preempted", logging.Step("preempt"), logging.Peer(stopped.worker), logging.Job(stopped.task.Job), "task", position(stopped.task), "run", stopped.run,
			"for_job", gang.Job, "slack_ms", stopped.slack.Milliseconds())
		t.spawn(func() { s.stop(stopped.task, stopped.run) })
	}
}
