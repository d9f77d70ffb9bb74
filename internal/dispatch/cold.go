package dispatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/reservation"
	"laburnumgrade/internal/structs"
)

const (
	// coldStartWindow and maxColdStarts limit the starts on a cold worker: at most so many
	// tasks in a window of this length. A burst of starts would all run slowly, and be there
	// still when the worker is warm.
	coldStartWindow = time.Second
	maxColdStarts   = 4
)

// coldWorkers holds until when workers are slow after their start, as they report it. It is
// not part of the replicated state, which would change with each report; a new leader learns
// it from the next reports. The zero value is ready to use.
type coldWorkers struct {
	mu    sync.Mutex
	until map[incarnation]time.Duration
	// starts holds when tasks were started on workers while they were cold, within
	// coldStartWindow.
	starts map[incarnation][]time.Duration
}

// incarnation identifies an incarnation of a worker.
type incarnation struct {
	worker string
	born   int64
}

// observe records for how long a worker remains cold from now on, 0 if it is not.
func (c *coldWorkers) observe(i incarnation, left, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if before, known := c.until[i]; left <= 0 && (!known || before <= now) {
		return
	}
	if c.until == nil {
		c.until = map[incarnation]time.Duration{}
	}
	c.until[i] = now + left
}

// isCold reports whether a worker is or was cold at a time.
func (c *coldWorkers) isCold(i incarnation, at time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at < c.until[i]
}

// taskStarted records a start on a worker, if it is cold.
func (c *coldWorkers) taskStarted(i incarnation, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now >= c.until[i] {
		return
	}
	if c.starts == nil {
		c.starts = map[incarnation][]time.Duration{}
	}
	c.starts[i] = append(c.recentStarts(i, now), now)
}

// startCount returns how many tasks were started on a cold worker within coldStartWindow.
func (c *coldWorkers) startCount(i incarnation, now time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.recentStarts(i, now))
}

// recentStarts returns the starts on a worker within coldStartWindow. The caller holds c.mu.
func (c *coldWorkers) recentStarts(i incarnation, now time.Duration) []time.Duration {
	if len(c.starts[i]) > 0 {
		c.starts[i] = slices.DeleteFunc(c.starts[i], func(at time.Duration) bool { return at <= now-coldStartWindow })
	}
	return c.starts[i]
}

// retain drops the incarnations that are not wanted any more.
func (c *coldWorkers) retain(wanted func(incarnation) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.until, func(i incarnation, _ time.Duration) bool { return !wanted(i) })
	maps.DeleteFunc(c.starts, func(i incarnation, _ []time.Duration) bool { return !wanted(i) })
}

// observeCold records how long the sender of a report remains cold.
func (t *term) observeCold(r *cellapi.Report, arrived time.Duration) {
	t.cold.observe(incarnation{r.ID, r.Born}, time.Duration(r.ColdLeftMS)*time.Millisecond, arrived)
}

// forgetCold drops the incarnations that were replaced.
func (t *term) forgetCold(v *cell.View) {
	t.cold.retain(func(i incarnation) bool {
		w := v.Worker(i.worker)
		return w != nil && w.Born == i.born
	})
}

// hasColdCandidates reports whether a worker of the plan is cold.
func (p *planner) hasColdCandidates() bool {
	if !p.coldKnown {
		p.coldKnown = true
		p.anyCold = slices.ContainsFunc(p.candidates, func(c *candidate) bool { return c.cold })
	}
	return p.anyCold
}

// coldRoom limits the number of tasks of a step that a worker has room for while it is cold. A
// gang needs its room at once: on a worker without recent starts it is not limited.
func (c *candidate) coldRoom(rs *readyStep, room int) int {
	if !c.cold || rs.step.Gang && c.coldStarts == 0 {
		return room
	}
	return max(0, min(room, maxColdStarts-c.coldStarts))
}

// hasSlack reports whether a step would be in time on a worker with a run time factor, so that it
// leaves faster workers to others.
func (p *planner) hasSlack(rs *readyStep, factor float64) bool {
	return rs.queue.Priority > 0 && p.now+time.Duration(slowMargin*factor*float64(rs.remaining)) < rs.deadline
}

// shouldAvoidCold reports whether a number of tasks of a step leave the cold workers alone: they
// are urgent, and other workers have room for them, or will have it in time.
func (p *planner) shouldAvoidCold(rs *readyStep, advice *stepAdvice, tasks int) bool {
	if tasks == 0 || rs.step.Filler || rs.step.Daemon || !p.hasColdCandidates() || p.hasSlack(rs, max(1, p.coldFactor)) {
		return false
	}
	if !slices.ContainsFunc(p.group(rs), func(c *candidate) bool { return c.cold && p.fits(rs, c) }) {
		return false // none of them has room anyway
	}
	rs.avoidsCold = true
	defer func() { rs.avoidsCold = false }()
	if p.totalRoom(rs, p.fitting(rs, advice)) >= tasks {
		return true
	}
	if rs.step.SameRack {
		return false
	}
	warm := p.reservable(rs)
	places := make([]reservation.Place, len(warm))
	for i, c := range warm {
		p.knowReleases(c)
		places[i] = reservation.Place{Timeline: &c.timeline, Free: c.free, Most: capPerWorker(rs.step, rs.step.Count)}
	}
	from, _, ok := reservation.Earliest(places, rs.step.Claim(), tasks, p.now)
	return ok && from+time.Duration(slowMargin*float64(rs.remaining)) <= rs.deadline
}

// effectiveCapacity returns an amount of a worker's capacity as that of a warm worker which does
// as much in the same time. factor is the run time factor of the worker while it is cold.
func effectiveCapacity(r structs.Resources, factor float64) structs.Resources {
	return structs.Resources{MilliCPU: int64(float64(r.MilliCPU) / factor), MemoryBytes: int64(float64(r.MemoryBytes) / factor), Accelerators: int64(float64(r.Accelerators) / factor)}
}
