package dispatch

import (
	"slices"

	"laburnumgrade/internal/cell"
)

const (
	// askWorkers is how many workers one call for advice names; a call costs
	// time for each.
	askWorkers = 30
	// goodPart of the room that a gang is missing, one in so many, makes a further
	// long call for advice worth its time.
	goodPart = 4
)

// unasked returns the workers to ask about next, those with room first; none if
// none of them has room. Workers without room are asked about as well: one more
// name in a call costs far less than one more call.
func (p *planner) unasked(w *wish, advice *stepAdvice) []*candidate {
	var roomy, full []*candidate
	for _, c := range p.candidates {
		if c.service != w.queue.Service || !c.worker.HasLabel(w.step.Label) || advice.covers(c) {
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

// promising reports whether asking about more workers may find a good part of the
// room that a gang is missing: a long call for a few of them costs nearly as much as
// one for all, and keeps a caller from the calls of others.
func (p *planner) promising(w *wish, advice *stepAdvice, more []*candidate, missing int) bool {
	if len(more) == 0 || w.queue.Advice.Cost(len(more)) < longCall {
		return len(more) > 0
	}
	tasks := 0
	for _, c := range more {
		if p.fits(w, c) {
			tasks += multiple(w.step.Claim(), c.free)
		}
	}
	share := float64(len(advice.tickets)+1) / float64(len(advice.asked)+2)
	return goodPart*float64(tasks)*share >= float64(missing)
}

// covers reports whether the service was asked about this life of a worker.
func (s *stepAdvice) covers(c *candidate) bool {
	if s == nil || !s.asked[c.id] {
		return false
	}
	k, allowed := s.tickets[c.id]
	return !allowed || k.born == c.born
}

// ticketFor returns the ticket of a worker.
func (s *stepAdvice) ticketFor(worker string) (ticket, bool) {
	if s == nil {
		return ticket{}, false
	}
	k, ok := s.tickets[worker]
	return k, ok
}

// denies reports whether the worker is known not to be allowed.
func (s *stepAdvice) denies(c *candidate) bool {
	if s == nil || !s.asked[c.id] {
		return false
	}
	_, allowed := s.tickets[c.id]
	return !allowed
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
