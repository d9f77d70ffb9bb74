package dispatch

import (
	"slices"

	"laburnumgrade/internal/cell"
)

const (
	// maxAdviceWorkers is the number of workers in one request for advice; each of
	// them adds to the duration of the request.
	maxAdviceWorkers = 30
	// maxRenewals is the number of workers in one renewal of tickets, the most that the
	// service accepts. Parts that are renewed one after the other may expire in turn.
	maxRenewals = 100
	// maxParallelRequests is the number of requests that one step may have in flight.
	maxParallelRequests = 8
	// usefulCapacityDivisor sets when a further long request for advice for a gang
	// is sent: if it may find one in usefulCapacityDivisor of the missing
	// capacity.
	usefulCapacityDivisor = 4
)

// workersToQuery returns the workers to request advice on, those with free capacity
// first, or none if no worker has free capacity: as many as one request may name, or
// for a gang as many as are expected to have the capacity that it lacks. Workers
// without free capacity are included because one more worker in a request costs far
// less than one more request.
func (p *planner) workersToQuery(rs *readyStep, advice *stepAdvice, missing int) []*candidate {
	var withRoom, full []*candidate
	for _, c := range p.candidates {
		if c.service != rs.queue.Service || !c.worker.HasLabel(rs.step.Label) || advice.hasAnswerFor(c) {
			continue
		}
		if p.fits(rs, c) {
			withRoom = append(withRoom, c)
		} else {
			full = append(full, c)
		}
	}
	if len(withRoom) == 0 {
		return nil
	}
	p.rank(rs, withRoom)
	p.rank(rs, full)
	list := append(withRoom, full...)
	count := maxAdviceWorkers
	if rs.step.Gang {
		count = p.queryCount(rs, list, missing)
	}
	return list[:min(len(list), count)]
}

// queryCount returns how many of the listed workers a gang requests advice on at the same
// time: full requests until the workers that are likely to be allowed hold the missing
// tasks. Requests that follow each other would delay the gang by a whole call each.
func (p *planner) queryCount(rs *readyStep, list []*candidate, missing int) int {
	share, tasks := p.allowedShare(rs.queue.Name), 0
	for i, c := range list {
		if i%maxAdviceWorkers == 0 && (i == maxParallelRequests*maxAdviceWorkers || i > 0 && share*float64(tasks) >= float64(missing)) {
			return i
		}
		if !p.fits(rs, c) {
			// The rest of the list is full as well.
			return min(len(list), (i+maxAdviceWorkers-1)/maxAdviceWorkers*maxAdviceWorkers)
		}
		tasks += capPerWorker(rs.step, fitCount(rs.step.Claim(), c.free))
	}
	return len(list)
}

// worthQuerying reports whether a request for advice on more workers is expected
// to find a useful part of the capacity that a gang lacks. A long request for a
// few workers takes nearly as long as one for all and blocks its caller for other
// steps.
func (p *planner) worthQuerying(rs *readyStep, advice *stepAdvice, more []*candidate, missing int) bool {
	if len(more) == 0 || rs.queue.Advice.Cost(len(more)) < longCallCost {
		return len(more) > 0
	}
	tasks := 0
	for _, c := range more {
		if p.fits(rs, c) {
			tasks += fitCount(rs.step.Claim(), c.free)
		}
	}
	share := float64(len(advice.tickets)+1) / float64(len(advice.queried)+2)
	return usefulCapacityDivisor*float64(tasks)*share >= float64(missing)
}

// hasAnswerFor reports whether the service has answered for this incarnation of
// a worker.
func (s *stepAdvice) hasAnswerFor(c *candidate) bool {
	if s == nil || !s.queried[c.id] {
		return false
	}
	issued, allowed := s.tickets[c.id]
	return !allowed || issued.born == c.born
}

// ticketFor returns the ticket of a worker and whether it has one.
func (s *stepAdvice) ticketFor(worker string) (ticket, bool) {
	if s == nil {
		return ticket{}, false
	}
	issued, ok := s.tickets[worker]
	return issued, ok
}

// isDenied reports whether the service has answered that the worker is not
// allowed.
func (s *stepAdvice) isDenied(c *candidate) bool {
	if s == nil || !s.queried[c.id] {
		return false
	}
	_, allowed := s.tickets[c.id]
	return !allowed
}

// isTicketValid reports whether a worker's ticket remains valid long enough for a
// start.
func (p *planner) isTicketValid(advice *stepAdvice, worker string) bool {
	return advice.tickets[worker].validUntil >= p.now+ticketMargin
}

// hasExpiredTicket reports whether the ticket of a placement expires too soon for
// a start.
func (p *planner) hasExpiredTicket(placed []cell.Placement, advice *stepAdvice) bool {
	return slices.ContainsFunc(placed, func(placement cell.Placement) bool { return !p.isTicketValid(advice, placement.Worker) })
}

// splitByTicket returns the placements whose tickets remain valid long enough for a start,
// and the others. Tasks that need not start together start as soon as their own ticket is
// valid; if they waited for all, room that appears on further workers would make them renew
// again and again.
func (p *planner) splitByTicket(placed []cell.Placement, advice *stepAdvice) (valid, expired []cell.Placement) {
	for i := range placed {
		if p.isTicketValid(advice, placed[i].Worker) {
			valid = append(valid, placed[i])
		} else {
			expired = append(expired, placed[i])
		}
	}
	return valid, expired
}

// renewals returns the workers whose tickets are renewed: those of the placements,
// then others that fit, because one more worker in a request costs little.
func (p *planner) renewals(rs *readyStep, placed []cell.Placement, fitting []*candidate, advice *stepAdvice) []*candidate {
	var list []*candidate
	for i := range placed {
		if c := p.byID[placed[i].Worker]; !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	for _, c := range fitting {
		if len(list) < maxAdviceWorkers && !p.isTicketValid(advice, c.id) && !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	return list
}

// requestAdvice adds requests for advice on the workers to the plan, as few as the allowed
// size permits.
func (p *planner) requestAdvice(rs *readyStep, workers []*candidate, held []cell.Placement) {
	p.requestAdviceWith(rs, workers, held, nil)
}

// requestAdviceWith adds requests for advice to the plan. The stops are made with the first
// of them.
func (p *planner) requestAdviceWith(rs *readyStep, workers []*candidate, held []cell.Placement, stops []victim) {
	size := maxAdviceWorkers
	if held != nil {
		size = maxRenewals
	}
	requests := (len(workers) + size - 1) / size
	for i := range requests {
		part := workers[len(workers)*i/requests : len(workers)*(i+1)/requests]
		q := &adviceRequest{step: rs.key, queue: rs.queue.Name, workers: part, terms: *rs.queue.Advice, heldPlacements: held}
		if i == 0 {
			q.stops = stops
		}
		q.onlyIfIdle = i > 0 && held == nil
		p.adviceRequests = append(p.adviceRequests, q)
	}
}
