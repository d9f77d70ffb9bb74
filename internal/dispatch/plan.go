package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/structs"
)

const (
	// askWorkers is how many workers one call for advice names; a call costs
	// time for each.
	askWorkers = 30
	// goodPart of the room that a gang is missing, one in so many, makes a further
	// long call for advice worth its time.
	goodPart = 4
	// reservedGangs is how many gangs that do not fit keep room from others.
	reservedGangs = 4
	// reservedCost makes urgent work take workers that are kept for a gang only
	// after all others.
	reservedCost = 5
	// slowMargin is how much longer than expected work may take and still be in
	// time on a slow worker: estimates are off, and one run in twenty fails.
	slowMargin = 1.3
	// doubtCost is what a worker costs that is certainly faulty, in units of a
	// worker's factor: the run is lost and the work done again elsewhere.
	doubtCost = 3
	// besideCost keeps fillers off workers with tasks that serve, beside which they
	// are slowed down.
	besideCost = 1
	// mixedCost keeps brief work and other work on different workers, so that the
	// leases of the former stay short.
	mixedCost = 0.25
	// failedCost keeps a task off the workers on which its job has failed.
	failedCost = 3
	// renewalCost puts workers with a valid ticket before all others.
	renewalCost = 10
	// hopeless jobs have waited this many times their objective and go last.
	hopeless = 3
)

// candidate is a worker as the planner sees it.
type candidate struct {
	id      string
	born    int64
	service string
	worker  *cell.Worker
	free    structs.Resources
	// factor is how much longer than expected work takes here.
	factor float64
	// doubt is the chance that the worker fails whatever it is given.
	doubt float64
	// leased is how long the worker's lease may go on if it is lost now, and busy
	// whether anything runs there.
	leased time.Duration
	busy   bool
	// serves is set if tasks with a bound on their tails run there, filling is what
	// this plan has placed of fillers.
	serves  bool
	filling structs.Resources
	// placed counts what this plan has placed there, by step.
	placed map[cell.StepKey]int
	// kept is set if the room is kept for a gang of higher rank, reserved names
	// the gang for which the last plan kept it.
	kept     bool
	reserved cell.StepKey
}

// wish is a step that has tasks to start.
type wish struct {
	key   cell.StepKey
	job   *cell.Job
	step  *cell.Step
	run   *cell.StepRun
	queue *cell.Queue
	// rest is the expected duration of this step and the longest chain after it.
	rest time.Duration
	// deadline is when the job is meant to be complete.
	deadline time.Duration
	// brief work is placed apart from other work, under short leases.
	brief bool
	// late jobs cannot be complete in time any more, hopeless ones earn nothing.
	late     bool
	hopeless bool
	// advice is what is known of the step's workers, nil if nothing is.
	advice *stepAdvice
	// failedOn are the workers on which tasks of the job have failed.
	failedOn map[string]bool
}

// ask is a call for advice that a plan wants.
type ask struct {
	step    cell.StepKey
	workers []*candidate
	terms   cell.AdviceTerms
	held    []cell.Placement
	// stops are the attempts that make room for the held placements.
	stops []victim
}

// plan is what one round decides.
type plan struct {
	placements []cell.Placement
	asks       []*ask
	stops      []victim
	// blocked are the gangs that did not fit for the first time.
	blocked []cell.StepKey
	// reserved names the gang for which a worker is kept.
	reserved map[string]cell.StepKey
}

// planner holds the inputs of one round. It has no clock and no I/O.
type planner struct {
	now        time.Duration
	candidates []*candidate
	byID       map[string]*candidate
	headroom   map[string]structs.Resources
	advice     func(cell.StepKey) *stepAdvice
	// remote is how much longer work takes off the rack of its data.
	remote float64
	gangs  int
	// victims returns the tasks on a worker that may give way to work of a
	// priority; nil if none may. preempted is when tasks last gave way to a gang.
	victims   func(c *candidate, priority int) []victim
	preempted map[cell.StepKey]time.Duration
	plan
}

// planOnce makes a plan, commits it and sends the orders.
func (t *term) planOnce() {
	p := &planner{
		now: t.l.Clock.Now(), byID: map[string]*candidate{}, headroom: map[string]structs.Resources{}, advice: t.advice.snapshot,
		remote: t.l.Bounds.RemoteFactor, plan: plan{reserved: map[string]cell.StepKey{}},
	}
	t.l.Store.View(func(v *cell.View) {
		wishes := t.wishes(v, p.now)
		if len(wishes) == 0 {
			return
		}
		t.gather(v, p)
		for _, w := range wishes {
			if _, known := p.headroom[w.job.Team]; !known {
				p.headroom[w.job.Team] = v.Headroom(w.job.Team)
			}
		}
		p.victims = func(c *candidate, priority int) []victim { return t.victims(v, c, priority, p.now) }
		t.mu.Lock()
		p.preempted = maps.Clone(t.preempted)
		t.mu.Unlock()
		p.decide(wishes)
	})
	t.reserved = p.reserved
	t.mu.Lock()
	for _, k := range p.blocked {
		t.preempted[k] = p.now + gangPatience - preemptPause
	}
	t.mu.Unlock()
	for _, q := range p.asks {
		if t.advice.ask(q) && len(q.stops) > 0 {
			t.preempt(q.stops, q.step)
		}
	}
	for _, x := range p.stops {
		t.preempt([]victim{x}, p.reserved[x.worker])
	}
	if len(p.placements) == 0 || !t.leads() {
		return
	}
	result, err := t.l.propose(t.ctx, &cell.Command{Start: &cell.Start{Placements: p.placements}})
	if err != nil {
		t.l.Logger.Warn("plan not committed", logging.Step("plan"), "placements", len(p.placements), logging.Error(err))
		return
	}
	accepted, _ := result.([]bool)
	for i, ok := range accepted {
		if ok {
			t.l.metrics.planned.Inc(1)
			t.order(&p.placements[i])
			continue
		}
		t.l.metrics.refused.Inc(1)
		at := &p.placements[i]
		t.l.Logger.Info("placement refused by the state", logging.Step("plan"), logging.Job(at.Task.Job), "task", position(at.Task), "run", at.Run, logging.Peer(at.Worker))
	}
}

// order sends the start of a committed placement.
func (t *term) order(p *cell.Placement) {
	s := t.session(p.Worker, p.Born)
	if s == nil {
		return // the life is over; its attempts end with it
	}
	o := StartOrder{Task: p.Task, Run: p.Run, Fence: t.number}
	t.mu.Lock()
	arrived := t.times[p.Task.OccurrenceKey()].arrived
	t.mu.Unlock()
	found := false
	t.l.Store.View(func(v *cell.View) {
		j := v.Job(p.Task.Job)
		if j == nil || j.State != cell.Active {
			return
		}
		found = true
		o.Spec = j.Spec
		o.Saved = j.Runs[p.Task.Occurrence][p.Task.Step].Tasks[p.Task.Index].Saved
		if q := v.Queue(j.Queue); q != nil && q.Advice != nil {
			o.Ticket = t.advice.ticket(p.Task.StepKey, p.Worker)
		}
	})
	if !found {
		// Cancelled between the commit and the order: it never starts.
		t.spawn(func() {
			if err := t.note(p.Worker, p.Born, 0, []cell.End{{Task: p.Task, Run: p.Run, How: cell.EndedUnstarted}}); err != nil {
				t.l.Logger.Warn("end not committed", logging.Step("note ends"), logging.Peer(p.Worker), logging.Error(err))
			}
		})
		return
	}
	t.l.metrics.wait.RecordDuration(t.l.Clock.Now() - arrived)
	t.l.Logger.Info("task planned", logging.Step("plan"), logging.Job(p.Task.Job), "task", position(p.Task), "run", p.Run, logging.Peer(p.Worker),
		"since_seen_ms", (t.l.Clock.Now() - arrived).Milliseconds(), "factor", t.speeds.factorOf(p.Worker), "saved", o.Saved != "")
	t.spawn(func() { s.start(o) })
}

// gather fills in the workers.
func (t *term) gather(v *cell.View, p *planner) {
	for id, w := range v.Workers() {
		if !w.Usable() {
			continue
		}
		s := t.session(id, w.Born)
		if s == nil || !s.usable(p.now) || t.isCordoned(id) {
			continue
		}
		p.candidates = append(p.candidates, &candidate{
			id: id, born: w.Born, service: w.Service, worker: w, free: w.Free(), reserved: t.reserved[id],
			leased: s.leased(p.now), busy: len(w.Attempts) > 0, serves: s.serving(),
		})
	}
	p.candidates = t.speeds.describe(p.candidates, p.now)
	for _, c := range p.candidates {
		p.byID[c.id] = c
	}
	slices.SortFunc(p.candidates, func(a, b *candidate) int { return cmp.Compare(a.id, b.id) })
}

// decide goes through the wishes in order.
func (p *planner) decide(wishes []*wish) {
	for _, w := range wishes {
		if w.queue.Advice == nil {
			continue
		}
		// Room for which tickets are being renewed is given to nobody else, or
		// the renewal would have to be repeated without end.
		if w.advice = p.advice(w.key); w.advice != nil && w.advice.waiting > 0 {
			p.keep(w.advice.held, w)
		}
	}
	for _, w := range wishes {
		p.serve(w)
	}
}

// serve places what it can of a step, or asks for advice.
func (p *planner) serve(w *wish) {
	advice := w.advice
	if w.queue.Advice != nil {
		if advice == nil {
			p.want(w, p.unasked(w, nil), nil)
			return
		}
		if advice.waiting > 0 || p.now < advice.retryAt {
			return
		}
	}
	fitting := p.fitting(w, advice)
	tasks := w.waiting()
	if room := p.quota(w); room < len(tasks) {
		if w.step.Gang {
			return
		}
		tasks = tasks[:room]
	}
	if w.step.SameRack {
		fitting = p.oneRack(w, fitting, len(tasks))
	}
	placed := p.place(w, tasks, fitting)
	if w.step.Gang && len(placed) < len(tasks) {
		p.giveBack(w, placed)
		if advice != nil {
			if more := p.unasked(w, advice); p.promising(w, advice, more, len(tasks)-len(placed)) {
				p.want(w, more, nil)
				return
			}
		}
		if !p.preempt(w, tasks) {
			p.reserve(w)
		}
		return
	}
	if advice != nil && len(placed) < len(tasks) {
		if more := p.unasked(w, advice); len(more) > 0 && len(placed) == 0 {
			p.want(w, more, nil)
			return
		}
	}
	if len(placed) == 0 {
		return
	}
	if advice != nil {
		if p.stale(placed, advice) {
			p.want(w, p.renewals(w, placed, fitting, advice), placed)
			return
		}
	}
	p.placements = append(p.placements, placed...)
}

// place puts tasks on workers in their order, as many on each as fit; fillers, which
// take no room but share it, one at a time.
func (p *planner) place(w *wish, tasks []int, list []*candidate) []cell.Placement {
	if !w.step.Filler {
		return p.placeOnce(w, tasks, list, len(tasks))
	}
	var placed []cell.Placement
	for len(placed) < len(tasks) {
		more := p.placeOnce(w, tasks[len(placed):], list, 1)
		if len(more) == 0 {
			break
		}
		placed = append(placed, more...)
	}
	return placed
}

// placeOnce goes through the workers once and puts at most so many tasks on each.
func (p *planner) placeOnce(w *wish, tasks []int, list []*candidate, most int) []cell.Placement {
	var placed []cell.Placement
	claim := w.step.Claim()
	for _, c := range list {
		onWorker, here := 0, 0
		if w.step.MaxPerWorker > 0 {
			onWorker = c.worker.Count(w.key) + c.placed[w.key]
		}
		for len(placed) < len(tasks) && here < most && claim.Fits(c.free) {
			if w.step.MaxPerWorker > 0 && onWorker >= w.step.MaxPerWorker {
				break
			}
			i := tasks[len(placed)]
			run := w.run.Tasks[i].Run + 1
			if w.step.Gang {
				run = w.run.Run + 1
			}
			placed = append(placed, cell.Placement{Task: cell.TaskKey{StepKey: w.key, Index: i}, Run: run, Worker: c.id, Born: c.born})
			c.free = c.free.Sub(claim)
			if w.step.Filler {
				c.filling = c.filling.Add(w.step.Size)
			}
			onWorker++
			here++
		}
		c.notePlaced(w.key, here)
	}
	p.headroom[w.job.Team] = p.headroom[w.job.Team].Sub(w.step.Size.Scale(int64(len(placed))))
	return placed
}

// notePlaced counts what this plan has placed of a step on the worker.
func (c *candidate) notePlaced(k cell.StepKey, n int) {
	if n == 0 {
		return
	}
	if c.placed == nil {
		c.placed = map[cell.StepKey]int{}
	}
	c.placed[k] += n
}

// giveBack undoes place.
func (p *planner) giveBack(w *wish, placed []cell.Placement) {
	for i := range placed {
		c := p.byID[placed[i].Worker]
		c.placed[w.key]--
		c.free = c.free.Add(w.step.Claim())
		if w.step.Filler {
			c.filling = c.filling.Sub(w.step.Size)
		}
	}
	p.headroom[w.job.Team] = p.headroom[w.job.Team].Add(w.step.Size.Scale(int64(len(placed))))
}

// keep takes the room for placements whose tickets are being renewed.
func (p *planner) keep(held []cell.Placement, w *wish) {
	for i := range held {
		if c := p.byID[held[i].Worker]; c != nil {
			c.free = c.free.Sub(w.step.Claim())
		}
	}
	p.headroom[w.job.Team] = p.headroom[w.job.Team].Sub(w.step.Size.Scale(int64(len(held))))
}
