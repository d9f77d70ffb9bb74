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
	// askWorkers is how many workers one call for advice names; a call costs
	// time for each.
	askWorkers = 30
	// reservedGangs is how many gangs that do not fit keep room from others.
	reservedGangs = 4
	// reservedCost makes urgent work take workers that are kept for a gang only
	// after all others.
	reservedCost = 5
	// slowMargin is how much longer than expected work may take and still be in
	// time on a slow worker: estimates are off, and one run in twenty fails.
	slowMargin = 1.3
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
	// late jobs cannot be complete in time any more, hopeless ones earn nothing.
	late     bool
	hopeless bool
	// advice is what is known of the step's workers, nil if nothing is.
	advice *stepAdvice
}

// ask is a call for advice that a plan wants.
type ask struct {
	step    cell.StepKey
	workers []*candidate
	terms   cell.AdviceTerms
	held    []cell.Placement
}

// plan is what one round decides.
type plan struct {
	placements []cell.Placement
	asks       []*ask
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
	gangs      int
	plan
}

// planOnce makes a plan, commits it and sends the orders.
func (t *term) planOnce() {
	p := &planner{
		now: t.l.Clock.Now(), byID: map[string]*candidate{}, headroom: map[string]structs.Resources{}, advice: t.advice.snapshot,
		plan: plan{reserved: map[string]cell.StepKey{}},
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
		p.decide(wishes)
	})
	t.reserved = p.reserved
	for _, q := range p.asks {
		t.advice.ask(q)
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
		t.l.Logger.Info("placement refused by the state", logging.Step("plan"), logging.Job(at.Task.Job), "task", wire(at.Task), "run", at.Run, logging.Peer(at.Worker))
	}
}

// order sends the start of a committed placement.
func (t *term) order(p *cell.Placement) {
	s := t.session(p.Worker, p.Born)
	if s == nil {
		return // the life is over; its attempts end with it
	}
	o := StartOrder{Task: p.Task, Run: p.Run, Fence: t.number}
	var arrived time.Duration
	t.mu.Lock()
	arrived = t.arrived[p.Task.Job]
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
	t.l.Logger.Info("task planned", logging.Step("plan"), logging.Job(p.Task.Job), "task", wire(p.Task), "run", p.Run, logging.Peer(p.Worker),
		"since_seen_ms", (t.l.Clock.Now() - arrived).Milliseconds(), "factor", t.speeds.factorOf(p.Worker), "saved", o.Saved != "")
	t.spawn(func() { s.start(o) })
}

// wishes returns the ready steps in the order in which they are served.
func (t *term) wishes(v *cell.View, now time.Duration) []*wish {
	var wishes []*wish
	ready := make(map[cell.StepKey]bool, len(v.Ready()))
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, run := range v.Ready() {
		ready[key] = true
		j := v.Job(key.Job)
		q := v.Queue(j.Queue)
		if q == nil {
			continue // dropped from the configuration; it may come back
		}
		at, known := t.arrived[key.Job]
		if !known {
			at = now
			t.arrived[key.Job] = now
		}
		w := &wish{key: key, job: j, step: &j.Steps[key.Step], run: run, queue: q}
		rest := t.chains(j, q)
		w.rest = rest[key.Step]
		objective := time.Duration(float64(slices.Max(rest))*q.Stretch) + time.Duration(q.ObjectiveMS)*time.Millisecond
		w.deadline = at + objective
		w.late = now+w.rest > w.deadline
		w.hopeless = now > at+hopeless*objective
		wishes = append(wishes, w)
	}
	for id := range t.arrived {
		if j := v.Job(id); j == nil || j.State != cell.Active {
			delete(t.arrived, id)
		}
	}
	t.advice.keepOnly(ready)
	slices.SortFunc(wishes, func(a, b *wish) int {
		return cmp.Or(first(!a.hopeless, !b.hopeless), cmp.Compare(a.queue.Priority, b.queue.Priority),
			first(!a.step.Gang || !a.late, !b.step.Gang || !b.late), cmp.Compare(a.job.Accepted, b.job.Accepted), cmp.Compare(a.key.Step, b.key.Step))
	})
	return wishes
}

// first orders what is true before what is not.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// chains returns, for each step of a job, the expected duration of the longest
// chain of steps that begins with it.
func (t *term) chains(j *cell.Job, q *cell.Queue) []time.Duration {
	rest := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		rest[i] += t.speeds.expected(q.Name, j.Steps[i].EstimateMS)
		for _, before := range j.Steps[i].DependsOn {
			rest[before] = max(rest[before], rest[i])
		}
	}
	return rest
}

// gather fills in the workers.
func (t *term) gather(v *cell.View, p *planner) {
	factors, out := t.speeds.factors(p.now)
	for id, w := range v.Workers() {
		if !w.Usable() || out[id] {
			continue
		}
		if s := t.session(id, w.Born); s == nil || !s.usable(p.now) {
			continue
		}
		c := &candidate{id: id, born: w.Born, service: w.Service, worker: w, free: w.Free(), factor: 1, reserved: t.reserved[id]}
		if f, known := factors[id]; known {
			c.factor = f
		}
		p.candidates = append(p.candidates, c)
		p.byID[id] = c
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
	placed := p.place(w, tasks, fitting)
	if w.step.Gang && len(placed) < len(tasks) {
		p.giveBack(w, placed)
		if advice != nil {
			if more := p.unasked(w, advice); len(more) > 0 {
				p.want(w, more, nil)
				return
			}
		}
		p.reserve(w, fitting)
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

// waiting returns the numbers of the tasks that may be started.
func (w *wish) waiting() []int {
	var tasks []int
	for i := range w.run.Tasks {
		if t := &w.run.Tasks[i]; w.step.Gang || !t.Done && !t.Open {
			tasks = append(tasks, i)
		}
	}
	return tasks
}

// quota returns how many tasks of the step the team's limit allows.
func (p *planner) quota(w *wish) int {
	room := p.headroom[w.job.Team]
	n := len(w.run.Tasks)
	if s := w.step.Size.MilliCPU; s > 0 {
		n = min(n, int(max(0, room.MilliCPU)/s))
	}
	if s := w.step.Size.MemoryBytes; s > 0 {
		n = min(n, int(max(0, room.MemoryBytes)/s))
	}
	if s := w.step.Size.Accelerators; s > 0 {
		n = min(n, int(max(0, room.Accelerators)/s))
	}
	return n
}

// fits reports whether a worker could take one task of the step now.
func (p *planner) fits(w *wish, c *candidate) bool {
	return c.service == w.queue.Service && c.worker.Has(w.step.Label) && w.claim().Fits(c.free) && !c.kept
}

func (w *wish) claim() structs.Resources {
	size := w.step.Size
	if w.step.Filler {
		size.MilliCPU = 0
	}
	return size
}

// fitting returns the workers that may take a task, best first.
func (p *planner) fitting(w *wish, advice *stepAdvice) []*candidate {
	var list []*candidate
	for _, c := range p.candidates {
		if !p.fits(w, c) {
			continue
		}
		if advice != nil {
			if k, ok := advice.tickets[c.id]; !ok || k.born != c.born {
				continue
			}
		}
		list = append(list, c)
	}
	p.rank(w, list)
	return list
}

// rank orders workers for a step: in time first, then tightest.
func (p *planner) rank(w *wish, list []*candidate) {
	cost := func(c *candidate) float64 {
		factor := c.factor
		left := c.free.Sub(w.claim())
		spare := float64(left.MilliCPU) / float64(max(1, c.worker.Capacity.MilliCPU))
		value := factor + 0.2*spare
		if w.queue.Priority > 0 && p.now+time.Duration(slowMargin*factor*float64(w.rest)) < w.deadline {
			// Slow workers are left to work that has the time.
			value = 2 - factor + 0.2*spare - 2
		}
		if w.step.DataRack != "" && !c.worker.Has(w.step.DataRack) {
			value++
		}
		if w.advice != nil && !p.valid(w.advice, c.id) {
			value += renewalCost
		}
		if c.reserved.Job != "" && c.reserved != w.key {
			value += reservedCost
		}
		return value
	}
	costs := make(map[string]float64, len(list))
	for _, c := range list {
		costs[c.id] = cost(c)
	}
	slices.SortStableFunc(list, func(a, b *candidate) int { return cmp.Compare(costs[a.id], costs[b.id]) })
}

// place puts tasks on workers in their order, as many on each as fit.
func (p *planner) place(w *wish, tasks []int, list []*candidate) []cell.Placement {
	var placed []cell.Placement
	claim := w.claim()
	for _, c := range list {
		onWorker := 0
		if w.step.MaxPerWorker > 0 {
			onWorker = countStep(c.worker, w.key)
		}
		for len(placed) < len(tasks) && claim.Fits(c.free) {
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
			onWorker++
		}
	}
	p.headroom[w.job.Team] = p.headroom[w.job.Team].Sub(w.step.Size.Scale(int64(len(placed))))
	return placed
}

func countStep(w *cell.Worker, k cell.StepKey) int {
	n := 0
	for key := range w.Attempts {
		if key.StepKey == k {
			n++
		}
	}
	return n
}

// giveBack undoes place.
func (p *planner) giveBack(w *wish, placed []cell.Placement) {
	for i := range placed {
		c := p.byID[placed[i].Worker]
		c.free = c.free.Add(w.claim())
	}
	p.headroom[w.job.Team] = p.headroom[w.job.Team].Add(w.step.Size.Scale(int64(len(placed))))
}

// keep takes the room for placements whose tickets are being renewed.
func (p *planner) keep(held []cell.Placement, w *wish) {
	for i := range held {
		if c := p.byID[held[i].Worker]; c != nil {
			c.free = c.free.Sub(w.claim())
		}
	}
	p.headroom[w.job.Team] = p.headroom[w.job.Team].Sub(w.step.Size.Scale(int64(len(held))))
}

// reserve keeps the allowed workers with the most room for a gang that does not
// fit, so that smaller work does not take each hole as it opens.
func (p *planner) reserve(w *wish, _ []*candidate) {
	if p.gangs >= reservedGangs {
		return
	}
	p.gangs++
	advice := w.advice
	var list []*candidate
	for _, c := range p.candidates {
		if c.service != w.queue.Service || c.kept || !c.worker.Has(w.step.Label) {
			continue
		}
		if advice != nil {
			if _, ok := advice.tickets[c.id]; !ok {
				continue
			}
		}
		list = append(list, c)
	}
	slices.SortStableFunc(list, func(a, b *candidate) int { return cmp.Compare(b.free.MilliCPU, a.free.MilliCPU) })
	need := w.step.Count
	for _, c := range list {
		if need <= 0 {
			return
		}
		c.kept = true
		p.reserved[c.id] = w.key
		need -= multiple(w.claim(), c.worker.Capacity)
	}
}

// multiple returns how often a size fits into a capacity.
func multiple(size, capacity structs.Resources) int {
	n := 1 << 20
	if size.MilliCPU > 0 {
		n = min(n, int(capacity.MilliCPU/size.MilliCPU))
	}
	if size.MemoryBytes > 0 {
		n = min(n, int(capacity.MemoryBytes/size.MemoryBytes))
	}
	return n
}

// unasked returns the workers to ask about next, those with room first; none if
// none of them has room. Workers without room are asked about as well: one more
// name in a call costs far less than one more call.
func (p *planner) unasked(w *wish, advice *stepAdvice) []*candidate {
	var roomy, full []*candidate
	for _, c := range p.candidates {
		if c.service != w.queue.Service || !c.worker.Has(w.step.Label) || advice.covers(c) {
			continue
		}
		if p.fits(w, c) {
			roomy = append(roomy, c)
		} else {
			full = append(full, c)
		}
	}
	if len(roomy) == 0 {
		return nil
	}
	p.rank(w, roomy)
	p.rank(w, full)
	list := append(roomy, full...)
	return list[:min(len(list), askWorkers)]
}

// covers reports whether the service was asked about this life of a worker.
func (s *stepAdvice) covers(c *candidate) bool {
	if s == nil || !s.asked[c.id] {
		return false
	}
	k, allowed := s.tickets[c.id]
	return !allowed || k.born == c.born
}

// valid reports whether the ticket of a worker holds long enough for a start.
func (p *planner) valid(advice *stepAdvice, worker string) bool {
	return advice.tickets[worker].until >= p.now+ticketMargin
}

// stale reports whether a placement's ticket runs out too soon.
func (p *planner) stale(placed []cell.Placement, advice *stepAdvice) bool {
	return slices.ContainsFunc(placed, func(c cell.Placement) bool { return !p.valid(advice, c.Worker) })
}

// renewals returns the workers whose tickets to renew: those of the placements,
// then others with room, because naming one more worker costs little.
func (p *planner) renewals(w *wish, placed []cell.Placement, fitting []*candidate, advice *stepAdvice) []*candidate {
	var list []*candidate
	for i := range placed {
		if c := p.byID[placed[i].Worker]; !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	for _, c := range fitting {
		if len(list) < askWorkers && !p.valid(advice, c.id) && !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	return list
}

// want adds a call for advice.
func (p *planner) want(w *wish, workers []*candidate, held []cell.Placement) {
	if len(workers) == 0 {
		return
	}
	p.asks = append(p.asks, &ask{step: w.key, workers: workers, terms: *w.queue.Advice, held: held})
}
