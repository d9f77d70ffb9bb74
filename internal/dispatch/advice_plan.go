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
	// gangCapacityFactor is how many times the workers that a gang may use should be able
	// to hold it if they were empty.
	gangCapacityFactor = 3
)

// workersToQuery returns the workers to request advice on, those with free capacity
// first, or none if no worker has free capacity: as many as one request may name, or
// for a gang as many as are expected to have the capacity that it lacks. Workers
// without free capacity are included because one more worker in a request costs far
// less than one more request.
func (p *planner) workersToQuery(rs *readyStep, advice *stepAdvice, missing int) []*candidate {
	withRoom, full := p.unanswered(rs, advice)
	if len(withRoom) == 0 {
		return nil
	}
	p.rank(rs, withRoom)
	count := min(maxAdviceWorkers, len(withRoom)+len(full))
	if rs.step.Gang {
		count = p.queryCount(rs, withRoom, len(withRoom)+len(full), missing)
	}
	if count > len(withRoom) {
		p.rank(rs, full)
		withRoom = append(withRoom, full...)
	}
	return withRoom[:count]
}

// unanswered returns the workers for which the service has not answered, those that can
// take a task of the step apart from the others. It returns none if none can take one.
func (p *planner) unanswered(rs *readyStep, advice *stepAdvice) (withRoom, full []*candidate) {
	group, kind := p.group(rs), kindOf(rs)
	if p.full[kind] {
		return nil, nil
	}
	roomElsewhere := false
	for _, c := range group {
		answered, room := advice.hasAnswerFor(c), p.hasRoom(rs, c)
		switch {
		case !answered && room && rs.mayJoin(c):
			withRoom = append(withRoom, c)
			continue
		case !answered:
			full = append(full, c)
		}
		roomElsewhere = roomElsewhere || room
	}
	if len(withRoom) == 0 {
		p.full[kind] = !roomElsewhere
		return nil, nil
	}
	return withRoom, full
}

// mayRequest reports whether a process may be free for a request for advice on a step, as
// far as earlier requests of this plan have shown.
func (p *planner) mayRequest(rs *readyStep, advice *stepAdvice) bool {
	none := p.noCallerFor(rs)
	if !none.long && !none.short {
		return true
	}
	fewest := 1
	if advice == nil {
		fewest = min(maxAdviceWorkers, len(p.group(rs)))
		if rs.step.Gang && len(p.group(rs)) > maxAdviceWorkers {
			fewest = maxAdviceWorkers / 2 // requests of equal size
		}
	}
	return !none.short && (!none.long || rs.queue.Advice.Cost(fewest) < longCallCost)
}

// isUrgent reports whether a step is of one of the most urgent queues.
func (p *planner) isUrgent(rs *readyStep) bool { return rs.queue.Priority <= p.mostUrgent }

// noCallerFor returns what is known of the processes that can take requests for a step.
func (p *planner) noCallerFor(rs *readyStep) *noCaller {
	if p.isUrgent(rs) {
		return &p.noCaller
	}
	return &p.noPatientCaller
}

// queryMore requests advice on further workers for a step that lacks room for a number of
// tasks. It returns false if there are none, or none that are worth a request; if only no
// process is free for the request, it returns true, and a later plan requests it. Workers
// that are not worth a request, but have room for all missing tasks, are left to processes
// without other requests: few allowed workers among those in earlier requests do not show
// that the others are not allowed.
func (p *planner) queryMore(rs *readyStep, missing int) bool {
	if p.hasEnoughAllowed(rs, rs.advice) {
		return false
	}
	if !p.mayRequest(rs, rs.advice) {
		withRoom, _ := p.unanswered(rs, rs.advice)
		if len(withRoom) == 0 || rs.step.Gang && !p.worthQuerying(rs, rs.advice, withRoom, missing) {
			return false
		}
		p.deferred++
		return true
	}
	more := p.workersToQuery(rs, rs.advice, missing)
	if len(more) == 0 {
		return false
	}
	if rs.step.Gang && !p.worthQuerying(rs, rs.advice, more, missing) {
		return p.haveRoom(rs, more, missing) && p.requestAdviceIfIdle(rs, more)
	}
	p.requestAdvice(rs, more, nil)
	return true
}

// haveRoom reports whether workers have room for a number of tasks of the step now.
func (p *planner) haveRoom(rs *readyStep, workers []*candidate, tasks int) bool {
	for _, c := range workers {
		if p.fits(rs, c) {
			tasks -= p.tasksThatFit(rs, c)
		}
	}
	return tasks <= 0
}

// queryCount returns how many of a number of workers a gang requests advice on at the same
// time, those with room first: full requests until the workers that are likely to be allowed
// hold the missing tasks. Requests that follow each other would delay the gang by a whole
// call each.
func (p *planner) queryCount(rs *readyStep, withRoom []*candidate, workers, missing int) int {
	share, tasks, capacity := p.allowedShare(rs.queue.Name), 0, 0
	for i, c := range withRoom {
		if i%maxAdviceWorkers == 0 && (i == maxParallelRequests*maxAdviceWorkers || i > 0 && (share*float64(tasks) >= float64(missing) || share*float64(capacity) >= gangCapacityFactor*float64(missing))) {
			return i
		}
		tasks += capPerWorker(rs.step, fitCount(rs.step.Claim(), c.free))
		capacity += capPerWorker(rs.step, fitCount(rs.step.Claim(), c.worker.Capacity))
	}
	// The others have no room.
	return min(workers, (len(withRoom)+maxAdviceWorkers-1)/maxAdviceWorkers*maxAdviceWorkers)
}

// hasEnoughAllowed reports whether the workers that a gang is allowed on could hold it
// several times if they were empty, so that it gets room on them as tasks end.
func (p *planner) hasEnoughAllowed(rs *readyStep, advice *stepAdvice) bool {
	if !rs.step.Gang || rs.step.SameRack {
		return false
	}
	tasks := 0
	for id := range advice.tickets {
		if c := p.byID[id]; c != nil && advice.tickets[id].born == c.born {
			tasks += capPerWorker(rs.step, fitCount(rs.step.Claim(), c.worker.Capacity))
		}
	}
	return float64(tasks) >= gangCapacityFactor*float64(rs.step.Count)
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

// requestAdvice makes requests for advice on the workers, as few as the allowed size
// permits.
func (p *planner) requestAdvice(rs *readyStep, workers []*candidate, held []cell.Placement) {
	p.requestAdviceWith(rs, workers, held, nil, false)
}

// requestAdviceIfIdle makes the requests for which there are processes without others, and
// reports whether there are any.
func (p *planner) requestAdviceIfIdle(rs *readyStep, workers []*candidate) bool {
	before := len(p.adviceRequests)
	p.requestAdviceWith(rs, workers, nil, nil, true)
	return len(p.adviceRequests) > before
}

// requestAdviceWith makes requests for advice as far as processes can take them. The stops
// are made with the first of them.
func (p *planner) requestAdviceWith(rs *readyStep, workers []*candidate, held []cell.Placement, stops []victim, onlyIfIdle bool) {
	size := maxAdviceWorkers
	if held != nil {
		size = maxRenewals
	}
	requests := (len(workers) + size - 1) / size
	for i := range requests {
		part := workers[len(workers)*i/requests : len(workers)*(i+1)/requests]
		q := &adviceRequest{step: rs.key, queue: rs.queue.Name, workers: part, terms: *rs.queue.Advice, heldPlacements: held, patient: !p.isUrgent(rs)}
		if i == 0 {
			q.stops = stops
		}
		q.onlyIfIdle = onlyIfIdle || i > 0 && held == nil
		if p.request(q) {
			p.adviceRequests = append(p.adviceRequests, q)
			continue
		}
		p.deferred++
		if q.onlyIfIdle {
			continue
		}
		none := p.noCallerFor(rs)
		none.long = true
		if q.terms.Cost(len(part)) < longCallCost {
			none.short = true
		}
	}
}
