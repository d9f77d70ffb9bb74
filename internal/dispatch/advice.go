package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
)

const (
	// callerLife is how long a process that announced itself can be asked.
	callerLife = 1600 * time.Millisecond
	// maxBacklog is how far ahead a caller is given calls. What is asked further
	// ahead is answered when its step may no longer be first in order.
	maxBacklog = 900 * time.Millisecond
	// ticketMargin is how long a ticket must still hold when a start is planned:
	// the commit and the order take some milliseconds.
	ticketMargin = 150 * time.Millisecond
	// longCall is from which cost a call for advice may not use the reserved
	// callers: a wait of that length is a large part of what urgent work has.
	longCall = 150 * time.Millisecond
	// reservedCallers is the part of the callers, one in so many, that long calls
	// leave to others: a caller cannot answer anything else meanwhile.
	reservedCallers = 3
	// adviceSlack is how much longer than stated a call for advice may take.
	adviceSlack = 400 * time.Millisecond
)

// adviceDesk keeps the advice for steps and spreads the calls for it over the
// processes of the cell: the service takes one call of a machine at a time.
type adviceDesk struct {
	t *term

	mu      sync.Mutex
	callers map[string]*caller
	steps   map[cell.StepKey]*stepAdvice
}

// caller is a process that can be asked.
type caller struct {
	seen time.Duration
	// free is when the calls that it was given are expected to be answered.
	free time.Duration
	// failed keeps calls away from a caller that did not answer.
	failed time.Duration
}

// stepAdvice is what is known of one step.
type stepAdvice struct {
	// asked holds the workers that the service was asked about.
	asked map[string]bool
	// tickets holds the allowed workers. That a worker is allowed does not
	// change; its ticket runs out.
	tickets map[string]ticket
	waiting int
	// held are placements for which tickets are being renewed.
	held []cell.Placement
	// retryAt keeps a step that got no answer from asking at once again.
	retryAt time.Duration
}

type ticket struct {
	value string
	until time.Duration
	born  int64
}

func newAdviceDesk(t *term) *adviceDesk {
	return &adviceDesk{t: t, callers: map[string]*caller{}, steps: map[cell.StepKey]*stepAdvice{}}
}

// announce notes a process that can be asked.
func (d *adviceDesk) announce(peer string, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.callers[peer]
	if c == nil {
		c = &caller{}
		d.callers[peer] = c
	}
	c.seen = now
}

// living returns the processes that can be asked.
func (d *adviceDesk) living(now time.Duration) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for peer, c := range d.callers {
		if now-c.seen <= callerLife {
			list = append(list, peer)
		}
	}
	slices.Sort(list)
	return list
}

// drop forgets a ticket that a worker refused.
func (d *adviceDesk) drop(step cell.StepKey, worker string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.steps[step]; s != nil {
		if k, ok := s.tickets[worker]; ok {
			k.until = 0
			s.tickets[worker] = k
		}
	}
}

// keepOnly drops the advice for steps that are no longer ready.
func (d *adviceDesk) keepOnly(ready map[cell.StepKey]*cell.StepOccurrence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, s := range d.steps {
		if s.waiting == 0 && ready[k] == nil {
			delete(d.steps, k)
		}
	}
}

// choose returns the process that is expected to answer first, of those that may
// be used for a call of such a cost.
func (d *adviceDesk) choose(now, cost time.Duration) string {
	var usable []string
	for peer, c := range d.callers {
		if now-c.seen <= callerLife && now >= c.failed {
			usable = append(usable, peer)
		}
	}
	slices.Sort(usable)
	if cost >= longCall {
		usable = usable[len(usable)/reservedCallers:]
	}
	best := ""
	var bestAt time.Duration
	for _, peer := range usable {
		if at := max(d.callers[peer].free, now); best == "" || at < bestAt {
			best, bestAt = peer, at
		}
	}
	if best == "" || bestAt > now+maxBacklog {
		return ""
	}
	d.callers[best].free = bestAt + cost
	return best
}

// ask asks about workers for a step. It returns false if no process can be asked now.
func (d *adviceDesk) ask(q *ask) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.steps[q.step]
	if s == nil {
		s = &stepAdvice{asked: map[string]bool{}, tickets: map[string]ticket{}}
		d.steps[q.step] = s
	}
	now := d.t.l.Clock.Now()
	cost := q.terms.Cost(len(q.workers))
	peer := d.choose(now, cost)
	if peer == "" {
		return false // asked again with a later plan
	}
	timeout := max(0, d.callers[peer].free-now) + adviceSlack
	s.waiting++
	s.held = q.held
	d.t.spawn(func() { d.call(peer, q, timeout) })
	return true
}

func (d *adviceDesk) call(peer string, q *ask, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(d.t.ctx, timeout)
	defer cancel()
	sent := d.t.l.Clock.Now()
	question := &cellapi.AdviceRequest{Step: q.step, TimeoutMS: timeout.Milliseconds()}
	for _, w := range q.workers {
		question.Workers = append(question.Workers, w.id)
	}
	a := d.t.l.AdviceClient.Ask(ctx, peer, question)
	now := d.t.l.Clock.Now()
	d.t.l.metrics.advice.Inc(1)
	if a.Error != "" {
		d.t.l.metrics.adviceErrors.Inc(1)
	}
	d.mu.Lock()
	s := d.steps[q.step]
	s.waiting--
	s.held = nil
	if a.Error != "" {
		s.retryAt = now + retryPause
		d.callers[peer].failed = now + adviceSlack
	} else {
		validity := a.ValidityMS
		if validity == 0 {
			validity = q.terms.ValidityMS
		}
		for _, w := range q.workers {
			s.asked[w.id] = true
			if value, ok := a.Tickets[w.id]; ok {
				// The ticket was given somewhere between asking and answering.
				s.tickets[w.id] = ticket{value: value, until: now + time.Duration(validity)*time.Millisecond, born: w.born}
			}
		}
	}
	d.mu.Unlock()
	if a.Error != "" && d.t.ctx.Err() == nil {
		d.t.l.Logger.Warn("no advice", logging.Step("advise"), logging.Peer(peer), logging.Job(q.step.Job), "error", a.Error, "waited_ms", (now - sent).Milliseconds(), "expected_ms", (timeout - adviceSlack).Milliseconds())
	}
	if a.Error == "" {
		d.t.l.Logger.Info("advice obtained", logging.Step("advise"), logging.Peer(peer), logging.Job(q.step.Job), "workers", len(q.workers), "allowed", len(a.Tickets), "renewal", len(q.held) > 0,
			"waited_ms", (now - sent).Milliseconds(), "expected_ms", (timeout - adviceSlack).Milliseconds())
	}
	d.t.l.signal()
}

// snapshot returns the advice for a step, nil if there is none.
func (d *adviceDesk) snapshot(k cell.StepKey) *stepAdvice {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.steps[k]
	if s == nil || s.waiting == 0 && len(s.asked) == 0 && s.retryAt == 0 {
		return nil
	}
	c := &stepAdvice{asked: make(map[string]bool, len(s.asked)), tickets: make(map[string]ticket, len(s.tickets)), waiting: s.waiting, held: s.held, retryAt: s.retryAt}
	for w := range s.asked {
		c.asked[w] = true
	}
	for w, k := range s.tickets {
		c.tickets[w] = k
	}
	return c
}

// ticket returns the ticket of a worker for a step.
func (d *adviceDesk) ticket(k cell.StepKey, worker string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.steps[k]; s != nil {
		return s.tickets[worker].value
	}
	return ""
}
