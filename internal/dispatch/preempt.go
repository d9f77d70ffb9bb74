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
	// leastSlack is how much more time than it needs the job of a preempted task
	// must have: the task waits for room again and restores its checkpoint.
	leastSlack = 4 * time.Second
	// maxPreemptions bounds how often one task gives way.
	maxPreemptions = 2
	// gangPatience is how long a gang waits for the room that is kept for it before
	// tasks give way: every one that ends meanwhile need not be stopped.
	gangPatience = time.Second
	// preemptPause is how long a gang for which tasks were preempted waits before
	// it preempts more: stops, their ends and a call for advice take less.
	preemptPause = 2 * time.Second
)

// victim is a running task that may give way to a gang: its work is saved when it is
// stopped, and its job has time.
type victim struct {
	worker string
	task   cell.TaskKey
	run    uint32
	size   structs.Resources
	slack  time.Duration
}

// preempt makes room for a gang that does not fit by stopping tasks of lower
// priority, and holds the room for it. It returns false if that would not be
// enough.
func (p *planner) preempt(w *wish, tasks []int) bool {
	if w.late || w.step.SameRack || p.victims == nil {
		return false
	}
	last, known := p.preempted[w.key]
	if !known {
		p.blocked = append(p.blocked, w.key)
	}
	if !known || p.now < last+preemptPause {
		return false
	}
	var held []cell.Placement
	var stops []victim
	for _, c := range p.allowedFor(w) {
		on := p.holdWithVictims(w, c, tasks[len(held):])
		held, stops = append(held, on.placements...), append(stops, on.stops...)
		if len(held) == len(tasks) {
			p.makeWay(w, held, stops)
			return true
		}
	}
	return false
}

// allowedFor returns the workers on which a gang could be placed if they had room:
// those with the most of it first, so that few tasks give way.
func (p *planner) allowedFor(w *wish) []*candidate {
	var list []*candidate
	for _, c := range p.candidates {
		if c.service != w.queue.Service || c.kept || !c.worker.HasLabel(w.step.Label) {
			continue
		}
		if k, ok := w.advice.ticketFor(c.id); w.advice != nil && (!ok || k.born != c.born) {
			continue
		}
		list = append(list, c)
	}
	p.rank(w, list)
	slices.SortStableFunc(list, func(a, b *candidate) int {
		return cmp.Compare(multiple(w.step.Claim(), b.free), multiple(w.step.Claim(), a.free))
	})
	return list
}

// madeRoom is what a worker can hold of a gang, and what has to stop for it.
type madeRoom struct {
	placements []cell.Placement
	stops      []victim
}

// holdWithVictims fills a worker with tasks of the gang as far as its free room and
// that of its victims go.
func (p *planner) holdWithVictims(w *wish, c *candidate, tasks []int) madeRoom {
	var m madeRoom
	claim, free := w.step.Claim(), c.free
	victims := p.victims(c, w.queue.Priority)
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(b.slack, a.slack), cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index))
	})
	onWorker := c.worker.CountTasks(w.key) + c.placed[w.key]
	for _, i := range tasks {
		if w.step.MaxPerWorker > 0 && onWorker+len(m.placements) >= w.step.MaxPerWorker {
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
		m.stops = append(m.stops, stops...)
		m.placements = append(m.placements, cell.Placement{Task: cell.TaskKey{StepKey: w.key, Index: i}, Run: w.run.Run + 1, Worker: c.id, Born: c.born})
	}
	return m
}

// makeWay plans the stops and keeps the room, with tickets for it where they are
// needed.
func (p *planner) makeWay(w *wish, held []cell.Placement, stops []victim) {
	p.keep(held, w)
	if w.advice == nil {
		p.stops = append(p.stops, stops...)
		for i := range held {
			p.reserved[held[i].Worker] = w.key
			p.byID[held[i].Worker].kept = true
		}
		p.preempted[w.key] = p.now
		return
	}
	var workers []*candidate
	for i := range held {
		if c := p.byID[held[i].Worker]; !slices.Contains(workers, c) {
			workers = append(workers, c)
		}
	}
	p.asks = append(p.asks, &ask{step: w.key, workers: workers, terms: *w.queue.Advice, held: held, stops: stops})
}

// victims returns the tasks on a worker that may give way to work of a priority.
func (t *term) victims(v *cell.View, c *candidate, priority int, now time.Duration) []victim {
	var list []victim
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, a := range c.worker.Attempts {
		j := v.Job(k.Job)
		if j == nil || j.State != cell.Active || t.gaveWay[k] >= maxPreemptions {
			continue
		}
		q, step := v.Queue(j.Queue), &j.Steps[k.Step]
		if q == nil || q.Priority <= priority || !step.Checkpointable || step.Gang || step.Daemon || step.Filler {
			continue
		}
		rest := t.chains(j, q)
		times := t.timesOf(k.StepKey, j, q, rest, now)
		slack := times.arrived + times.objective - now - time.Duration(slowMargin*float64(rest[k.Step]))
		if slack >= leastSlack {
			list = append(list, victim{worker: c.id, task: k, run: a.Run, size: a.Size, slack: slack})
		}
	}
	return list
}

// preempt sends the stops of victims.
func (t *term) preempt(stops []victim, gang cell.StepKey) {
	now := t.l.Clock.Now()
	t.mu.Lock()
	t.preempted[gang] = now
	for i := range stops {
		t.gaveWay[stops[i].task]++
	}
	t.mu.Unlock()
	for _, x := range stops {
		s := t.sessionOf(x.worker)
		if s == nil {
			continue
		}
		t.l.Logger.Info("attempt preempted", logging.Step("preempt"), logging.Peer(x.worker), logging.Job(x.task.Job), "task", position(x.task), "run", x.run,
			"for_job", gang.Job, "slack_ms", x.slack.Milliseconds())
		t.spawn(func() { s.stop(x.task, x.run) })
	}
}
