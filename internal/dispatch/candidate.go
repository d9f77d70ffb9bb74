package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/reservation"
	"laburnumgrade/internal/structs"
)

// candidate is a worker that may get attempts in a plan.
type candidate struct {
	id      string
	born    int64
	service string
	// worker is a copy of the worker's record.
	worker *cell.Worker
	free   structs.Resources
	// runTimeFactor is the ratio of the worker's run times to the expected ones; above 1
	// it is slower.
	runTimeFactor float64
	// faultProbability is the estimated probability that the worker is faulty, so
	// that most tasks on it fail.
	faultProbability float64
	// leaseRemaining is how long the worker's lease may continue if the worker is
	// lost now. busy is set if the worker has attempts.
	leaseRemaining time.Duration
	busy           bool
	// cold is set while the worker is slow after its start. coldStarts counts the tasks that
	// were started there lately or that this plan has placed on it.
	cold       bool
	coldStarts int
	// serves is set if tasks with a response time target run on the worker.
	// fillerLoad is the size of the fillers that this plan has placed on it.
	serves     bool
	fillerLoad structs.Resources
	// fillerCPU is the CPU of the filler attempts on the worker; it is known if
	// fillerCPUKnown is set.
	fillerCPU      int64
	fillerCPUKnown bool
	// placed counts the tasks that this plan has placed on the worker by step.
	placed map[cell.StepKey]int
	// withheld is set if this plan reserves the worker for a gang of higher rank, or if the
	// worker has become unusable since the plan began.
	// reservedFor is the gang for which the last plan reserved it.
	withheld bool
	// timeline holds what gangs of higher rank have reserved on the worker. What ends
	// there is known if releasesKnown is set.
	timeline      reservation.Timeline
	releasesKnown bool
	reservedFor   cell.StepKey
	// isolatedFor is the job whose suspects run on the worker, or for which it is kept
	// free of others. plannedSuspects counts the suspects, all of the job plannedFor, that
	// this plan has placed on it.
	isolatedFor     string
	plannedSuspects int
	plannedFor      string
}

// attemptCopies holds copies of the attempts of workers by their records. Plans share them
// as long as the attempts do not change, since copying all for each plan would be a large
// part of its cost. The zero value is ready to use.
type attemptCopies struct {
	byRecord map[*cell.Worker]attemptCopy
	// ids are the ids of all workers of the last plan in order.
	ids []string
}

type attemptCopy struct {
	changes  uint64
	attempts map[cell.TaskKey]cell.Attempt
}

// of returns a copy of the attempts of a worker, which the caller does not modify.
func (a *attemptCopies) of(w *cell.Worker) map[cell.TaskKey]cell.Attempt {
	known, ok := a.byRecord[w]
	if !ok || known.changes != w.AttemptChanges() {
		known = attemptCopy{w.AttemptChanges(), maps.Clone(w.Attempts)}
		a.byRecord[w] = known
	}
	return known.attempts
}

// inOrder returns the records of the workers sorted by their ids. It sorts them only if the ids
// are not those of the last plan.
func (a *attemptCopies) inOrder(workers map[string]*cell.Worker) []*cell.Worker {
	list := make([]*cell.Worker, 0, len(workers))
	if len(a.ids) == len(workers) {
		for _, id := range a.ids {
			w := workers[id]
			if w == nil {
				break
			}
			list = append(list, w)
		}
		if len(list) == len(workers) {
			return list
		}
	}
	a.ids = slices.Sorted(maps.Keys(workers))
	list = list[:0]
	for _, id := range a.ids {
		list = append(list, workers[id])
	}
	return list
}

// copyWorkers returns copies of the records of the usable workers, sorted by their ids.
func (a *attemptCopies) copyWorkers(v *cell.View) []*cell.Worker {
	if a.byRecord == nil {
		a.byRecord = map[*cell.Worker]attemptCopy{}
	}
	if len(a.byRecord) > 2*len(v.Workers()) {
		clear(a.byRecord) // most of them are of records that were replaced
	}
	copies := make([]cell.Worker, 0, len(v.Workers()))
	list := a.inOrder(v.Workers())
	usable := list[:0]
	for _, w := range list {
		if !w.Usable() {
			continue
		}
		copies = append(copies, *w)
		c := &copies[len(copies)-1]
		c.Attempts = a.of(w)
		usable = append(usable, c)
	}
	return usable
}

// setAsideEvacuated removes the workers of evacuated data centres from those of a plan.
func (p *planner) setAsideEvacuated(workers []*cell.Worker, v *cell.View) []*cell.Worker {
	if len(v.Evacuated()) == 0 {
		return workers
	}
	return slices.DeleteFunc(workers, func(w *cell.Worker) bool {
		evacuated := v.IsEvacuated(w.DataCentre)
		if evacuated {
			p.evacuated = append(p.evacuated, &candidate{id: w.ID, born: w.Born, service: w.Service, worker: w})
		}
		return evacuated
	})
}

// addCandidates adds the workers that can be used now to a plan, sorted by ID.
func (t *term) addCandidates(workers []*cell.Worker, p *planner) {
	all := make([]candidate, 0, len(workers)) // one allocation for all
	p.candidates = slices.Grow(p.candidates, len(workers))
	for _, w := range workers {
		id := w.ID
		s := t.usableSession(id, w.Born, p.now)
		if s == nil {
			continue
		}
		all = append(all, candidate{
			id: id, born: w.Born, service: w.Service, worker: w, free: w.Free(), reservedFor: t.reserved[id],
			leaseRemaining: s.leaseRemaining(p.now), busy: len(w.Attempts) > 0, serves: s.serving(), isolatedFor: s.unsettledSuspect(w, p.now),
			cold: t.cold.isCold(incarnation{id, w.Born}, p.now),
		})
		c := &all[len(all)-1]
		if c.cold {
			c.coldStarts = t.cold.startCount(incarnation{id, w.Born}, p.now)
		}
		p.candidates = append(p.candidates, c)
	}
	p.coldFactor = t.stats.coldRatio()
	p.candidates = t.stats.assess(p.candidates, p.now)
	if len(p.byID) == 0 {
		p.byID = make(map[string]*candidate, len(p.candidates))
	}
	for _, c := range p.candidates {
		p.byID[c.id] = c
	}
	slices.SortFunc(p.candidates, func(a, b *candidate) int { return cmp.Compare(a.id, b.id) })
}

// usableSession returns the session of an incarnation of a worker that may get new attempts,
// nil if it may not.
func (t *term) usableSession(worker string, born int64, now time.Duration) *session {
	t.mu.Lock()
	s, cordoned := t.sessions[worker], t.cordoned[worker]
	t.mu.Unlock()
	if s != nil && s.born == born && !cordoned && s.usable(now) {
		return s
	}
	return nil
}

// withholdUnusable excludes the workers that may no longer get new attempts from the rest of
// a plan, and updates which of them are cold.
func (t *term) withholdUnusable(p *planner) {
	evacuated := t.evacuated()
	for _, c := range p.candidates {
		if evacuated[c.worker.DataCentre] || t.usableSession(c.id, c.born, p.now) == nil {
			c.withheld = true
		}
		c.cold = t.cold.isCold(incarnation{c.id, c.born}, p.now)
	}
	p.coldKnown = false
}

// addPlaced adds to the number of tasks of a step that this plan has placed on
// the worker.
func (c *candidate) addPlaced(k cell.StepKey, n int) {
	if n == 0 {
		return
	}
	if c.placed == nil {
		c.placed = map[cell.StepKey]int{}
	}
	c.placed[k] += n
	c.coldStarts += n
}

// fillerCost is the ranking cost of sharing the worker's processors with other
// fillers and with serving tasks.
func (c *candidate) fillerCost(rs *readyStep) float64 {
	if !c.fillerCPUKnown {
		for _, a := range c.worker.Attempts {
			if a.Filler {
				c.fillerCPU += a.Size.MilliCPU
			}
		}
		c.fillerCPUKnown = true
	}
	unused := c.free.MilliCPU - c.fillerLoad.MilliCPU - rs.step.Size.MilliCPU - c.fillerCPU
	cost := -float64(unused) / float64(max(1, c.worker.Capacity.MilliCPU))
	if c.serves {
		cost += besideServingCost
	}
	return cost
}

// mixesLeaseLengths reports whether placing the step would run work that needs a
// short lease under a long one, or would lengthen the short lease of a worker's
// other attempts.
func (c *candidate) mixesLeaseLengths(rs *readyStep) bool {
	// leaseRemaining includes margins for clock drift and late timers, so a short lease
	// may appear slightly longer than shortLeaseDuration.
	long := c.leaseRemaining > shortLeaseDuration+shortLeaseDuration/10
	return rs.shortLease && long || !rs.shortLease && c.busy && !long
}
