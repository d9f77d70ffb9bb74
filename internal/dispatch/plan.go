package dispatch

import (
	"maps"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/structs"
)

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
		o.Checkpoint = j.Occurrences[p.Task.Occurrence][p.Task.Step].Tasks[p.Task.Index].Checkpoint
		if q := v.Queue(j.Queue); q != nil && q.Advice != nil {
			o.Ticket = t.advice.ticket(p.Task.StepKey, p.Worker)
		}
	})
	if !found {
		// Cancelled between the commit and the order: it never starts.
		t.spawn(func() {
			if err := t.note(p.Worker, p.Born, 0, []cell.AttemptEnd{{Task: p.Task, Run: p.Run, Outcome: cell.EndedUnstarted}}); err != nil {
				t.l.Logger.Warn("end not committed", logging.Step("note ends"), logging.Peer(p.Worker), logging.Error(err))
			}
		})
		return
	}
	t.l.metrics.wait.RecordDuration(t.l.Clock.Now() - arrived)
	t.l.Logger.Info("task planned", logging.Step("plan"), logging.Job(p.Task.Job), "task", position(p.Task), "run", p.Run, logging.Peer(p.Worker),
		"since_seen_ms", (t.l.Clock.Now() - arrived).Milliseconds(), "factor", t.speeds.factorOf(p.Worker), "saved", o.Checkpoint != "")
	t.spawn(func() { s.start(o) })
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
