package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
)

const (
	// callerTTL is how long after its last announcement a process is used for
	// advice.
	callerTTL = 1600 * time.Millisecond
	// maxCallerBacklog bounds the expected wait of a request for a caller. The
	// answer to a request that waits longer may arrive when its step is no longer
	// the first in order.
	maxCallerBacklog = 900 * time.Millisecond
	// maxPatientBacklog is maxCallerBacklog for work that is not of the most urgent queues. A
	// caller that is full of their requests would answer urgent ones late, and answers
	// that are obtained long before there is room expire.
	maxPatientBacklog = 200 * time.Millisecond
	// patientShareDivisor sets how many of the requests in flight may be for such work, one
	// in patientShareDivisor.
	patientShareDivisor = 2
	// ticketMargin is the remaining validity that a ticket needs when a start is
	// planned: the commit and the order take some milliseconds.
	ticketMargin = 150 * time.Millisecond
	// longCallCost is the expected duration from which a request may not use the
	// reserved callers: a wait of that length is a large part of the time that
	// urgent work has.
	longCallCost = 150 * time.Millisecond
	// reservedCallerDivisor sets the share of callers that long requests leave to
	// others, one in reservedCallerDivisor: a caller cannot send another request
	// in the meantime.
	reservedCallerDivisor = 3
	// adviceTimeoutSlack is how much longer than its stated cost a request for
	// advice may take.
	adviceTimeoutSlack = 400 * time.Millisecond
	// maxAvoidDoublings bounds how often the time in which a caller gets no requests is
	// doubled while its requests fail.
	maxAvoidDoublings = 2
	// overheadWeight is the weight of the newest call in a caller's average overhead.
	overheadWeight = 0.2
	// shareWeight is the weight of the newest answer in the average share of allowed
	// workers, defaultAllowedShare its value before any answer and minAllowedShare the
	// least value used.
	shareWeight         = 0.1
	defaultAllowedShare = 0.5
	minAllowedShare     = 0.05
)

// adviceBroker caches the advice for steps and distributes the requests for it
// over the processes of the cell, because the advice service accepts one request
// per machine at a time.
type adviceBroker struct {
	t *term

	mu sync.Mutex
	// callers holds the processes by peer address.
	callers map[string]*caller
	// inFlight and patientInFlight count the requests without an answer, all and those for
	// work that is not of the most urgent queues.
	inFlight, patientInFlight int
	// steps holds the advice for steps. Plans share the values, so each change replaces
	// the value.
	steps map[cell.StepKey]*stepAdvice
	// shares holds the share of workers that were allowed in the answers for each queue.
	shares map[string]float64
}

// caller is a process through which advice can be requested. It makes one call to the
// service at a time, in the order in which it gets the requests.
type caller struct {
	// lastSeen is when the process last announced itself.
	lastSeen time.Duration
	// avoidUntil is the time until which the process gets no requests because one
	// failed.
	avoidUntil time.Duration
	// queue holds the requests that the process was given and has not answered, in
	// order. headSince is when it is taken to have begun the call for the first one.
	queue     []*callerRequest
	headSince time.Duration
	// overhead is a moving average of what a call takes beyond its stated cost.
	overhead time.Duration
	// answering is set while the last request to end was answered. A process that is not
	// answering, since it is new or a request failed, gets one request at a time.
	answering bool
	// failures is the number of requests that failed since the last answer.
	failures int
}

// callerRequest is a request that a caller was given.
type callerRequest struct {
	peer string
	// cost is the stated duration of the call to the service.
	cost time.Duration
}

// idleAt returns when the caller should have answered all its requests.
func (c *caller) idleAt(now time.Duration) time.Duration {
	if len(c.queue) == 0 {
		return now
	}
	idle := max(now, c.headSince+c.queue[0].cost+c.overhead)
	for _, r := range c.queue[1:] {
		idle += r.cost + c.overhead
	}
	return idle
}

// add appends a request to the caller's queue.
func (c *caller) add(r *callerRequest, now time.Duration) {
	if len(c.queue) == 0 {
		c.headSince = now
	}
	c.queue = append(c.queue, r)
}

// finish removes a request from the caller's queue. served states whether the request was
// answered. Every answer corrects the expected time of the following ones: an error that
// added up would end requests at their time limit while the service still works on them.
func (c *caller) finish(r *callerRequest, now time.Duration, served bool) {
	i := slices.Index(c.queue, r)
	if i < 0 {
		return
	}
	excess := max(0, now-c.headSince-r.cost)
	switch {
	case i > 0:
	case served && c.answering:
		c.overhead += time.Duration(overheadWeight * float64(excess-c.overhead))
	case served:
		c.overhead = excess
	default:
		// The call takes at least that long, or is lost.
		c.overhead = max(c.overhead, min(excess, r.cost+adviceTimeoutSlack))
	}
	c.answering = served
	if served {
		c.failures = 0
	} else {
		c.avoidUntil = now + adviceTimeoutSlack<<min(c.failures, maxAvoidDoublings)
		c.failures++
	}
	if served || i == 0 {
		c.headSince = now
	}
	c.queue = slices.Delete(c.queue, i, i+1)
}

// stepAdvice is the advice for one step. It does not change.
type stepAdvice struct {
	// queried holds the workers for which the service has answered.
	queried map[string]bool
	// tickets holds the allowed workers by ID. Whether a worker is allowed does
	// not change, but its ticket expires.
	tickets map[string]ticket
	// inFlight is the number of requests without an answer so far.
	inFlight int
	// heldPlacements are placements that wait for the renewal of their tickets or
	// for the preempted tasks on their workers to end, until no request is in flight.
	heldPlacements []cell.Placement
	// retryAt is when the step may request advice again after a failed request.
	retryAt time.Duration
	// validUntil is when the tickets of the newest answer expire. inServiceSince is when
	// the first of the requests was made that followed each other without a break in which
	// none was in flight and no answer was valid.
	validUntil     time.Duration
	inServiceSince time.Duration
}

// ticket is the service's permission to run a step on an incarnation of a worker.
type ticket struct {
	value      string
	validUntil time.Duration
	born       int64
}

func newAdviceBroker(t *term) *adviceBroker {
	return &adviceBroker{t: t, callers: map[string]*caller{}, steps: map[cell.StepKey]*stepAdvice{}, shares: map[string]float64{}}
}

// announce records that a process can be used for advice.
func (b *adviceBroker) announce(peer string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.callers[peer]
	if c == nil {
		c = &caller{}
		b.callers[peer] = c
	}
	c.lastSeen = now
}

// availableCallers returns the sorted peer addresses of the processes that have
// announced themselves recently.
func (b *adviceBroker) availableCallers(now time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	for peer, c := range b.callers {
		if now-c.lastSeen <= callerTTL {
			list = append(list, peer)
		}
	}
	slices.Sort(list)
	return list
}

// expireTicket marks a ticket that a worker rejected as expired.
func (b *adviceBroker) expireTicket(step cell.StepKey, worker string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.steps[step]
	if s == nil {
		return
	}
	if expired, ok := s.tickets[worker]; ok {
		expired.validUntil = 0
		changed := *s
		changed.tickets = maps.Clone(s.tickets)
		changed.tickets[worker] = expired
		b.steps[step] = &changed
	}
}

// retainSteps drops the advice for steps that are no longer ready and have no
// request in flight.
func (b *adviceBroker) retainSteps(ready map[cell.StepKey]*cell.StepOccurrence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, s := range b.steps {
		if s.inFlight == 0 && ready[k] == nil {
			delete(b.steps, k)
		}
	}
}

// chooseCaller gives a request of the stated cost to the process that should answer it
// first, and returns nil if none is expected to begin with it within maxWait. The
// method's caller holds b.mu.
func (b *adviceBroker) chooseCaller(now, cost, maxWait time.Duration) *callerRequest {
	var usable []string
	for peer, c := range b.callers {
		if now-c.lastSeen <= callerTTL && now >= c.avoidUntil {
			usable = append(usable, peer)
		}
	}
	slices.Sort(usable)
	if cost >= longCallCost {
		usable = usable[len(usable)/reservedCallerDivisor:]
	}
	best := ""
	var bestAt time.Duration
	for _, peer := range usable {
		c := b.callers[peer]
		if !c.answering && len(c.queue) > 0 || c.idleAt(now) > now+maxWait {
			continue
		}
		// Calls through a busy or small VM take longer than their stated cost.
		if at := c.idleAt(now) + c.overhead; best == "" || at < bestAt {
			best, bestAt = peer, at
		}
	}
	if best == "" {
		return nil
	}
	r := &callerRequest{peer: best, cost: cost}
	b.callers[best].add(r, now)
	return r
}

// request starts a request for advice. It returns false if no process can be used
// now.
func (b *adviceBroker) request(q *adviceRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.t.leader.Clock.Now()
	if !b.mayStart(q) {
		return false
	}
	maxWait := maxCallerBacklog
	if q.patient {
		maxWait = maxPatientBacklog
	}
	if q.onlyIfIdle {
		maxWait = 0
	}
	r := b.chooseCaller(now, q.terms.Cost(len(q.workers)), maxWait)
	if r == nil {
		return false // requested again by a later plan
	}
	b.count(q, 1)
	expected := b.callers[r.peer].idleAt(now) - now
	var changed stepAdvice
	if s := b.steps[q.step]; s != nil {
		changed = *s
	}
	if !changed.inService(now) {
		changed.inServiceSince = now
	}
	changed.inFlight++
	changed.heldPlacements = q.heldPlacements
	b.steps[q.step] = &changed
	b.t.spawn(func() { b.queryService(r, q, expected) })
	return true
}

// mayStart reports whether the bounds of the requests in flight allow a further one. The
// method's caller holds b.mu.
func (b *adviceBroker) mayStart(q *adviceRequest) bool {
	most := b.t.leader.MaxAdviceRequests
	if most == 0 {
		return true
	}
	return b.inFlight < most && (!q.patient || b.patientInFlight < most/patientShareDivisor)
}

// count changes the number of requests in flight. The method's caller holds b.mu.
func (b *adviceBroker) count(q *adviceRequest, change int) {
	b.inFlight += change
	if q.patient {
		b.patientInFlight += change
	}
}

// queryService sends a request through the process that it was given to and records the
// answer. expected is the expected time until the answer.
func (b *adviceBroker) queryService(r *callerRequest, q *adviceRequest, expected time.Duration) {
	timeout := expected + adviceTimeoutSlack
	ctx, cancel := context.WithTimeout(b.t.ctx, timeout)
	defer cancel()
	sent := b.t.leader.Clock.Now()
	request := &cellapi.AdviceRequest{Step: q.step, TimeoutMS: timeout.Milliseconds(), CostMS: r.cost.Milliseconds()}
	for _, w := range q.workers {
		request.Workers = append(request.Workers, w.id)
	}
	reply := b.t.leader.AdviceClient.Ask(ctx, r.peer, request)
	now := b.t.leader.Clock.Now()
	b.t.leader.metrics.advice.Inc(1)
	b.t.leader.metrics.adviceWait.RecordDuration(now - sent)
	b.t.leader.metrics.adviceDelay.RecordDuration(max(0, now-sent-expected))
	if reply.Error != "" {
		b.t.leader.metrics.adviceErrors.Inc(1)
	}
	b.mu.Lock()
	b.count(q, -1)
	changed := *b.steps[q.step]
	changed.inFlight--
	if changed.inFlight == 0 {
		changed.heldPlacements = nil
	}
	b.callers[r.peer].finish(r, now, reply.Error == "")
	if reply.Error != "" {
		changed.retryAt = now + retryDelay
	} else {
		validity := reply.ValidityMS
		if validity == 0 {
			validity = q.terms.ValidityMS
		}
		if len(q.heldPlacements) == 0 {
			b.observeShare(q.queue, float64(len(reply.Tickets))/float64(len(q.workers)))
		}
		changed.queried, changed.tickets = cloneOrMake(changed.queried), cloneOrMake(changed.tickets)
		changed.validUntil = now + time.Duration(validity)*time.Millisecond
		for _, w := range q.workers {
			changed.queried[w.id] = true
			if value, ok := reply.Tickets[w.id]; ok {
				// The service issued the ticket some time between the request and now.
				changed.tickets[w.id] = ticket{value: value, validUntil: changed.validUntil, born: w.born}
			}
		}
	}
	b.steps[q.step] = &changed
	b.mu.Unlock()
	if reply.Error != "" && b.t.ctx.Err() == nil {
		b.t.leader.Logger.Warn("no advice", logging.Step("advise"), logging.Peer(r.peer), logging.Job(q.step.Job), "error", reply.Error, "waited_ms", (now - sent).Milliseconds(), "expected_ms", expected.Milliseconds())
	}
	if reply.Error == "" {
		b.t.leader.Logger.Info("advice obtained", logging.Step("advise"), logging.Peer(r.peer), logging.Job(q.step.Job), "workers", len(q.workers), "allowed", len(reply.Tickets), "renewal", len(q.heldPlacements) > 0,
			"waited_ms", (now - sent).Milliseconds(), "expected_ms", expected.Milliseconds())
	}
	b.t.leader.wakePlanner()
}

// observeShare records the share of workers that an answer allowed. The caller holds b.mu.
func (b *adviceBroker) observeShare(queue string, share float64) {
	if before, known := b.shares[queue]; known {
		share = before + shareWeight*(share-before)
	}
	b.shares[queue] = share
}

// allowedShare returns the average share of workers that the answers for a queue allowed.
func (b *adviceBroker) allowedShare(queue string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if share, known := b.shares[queue]; known {
		return max(minAllowedShare, share)
	}
	return defaultAllowedShare
}

// cloneOrMake returns a copy of a map that can be written to.
func cloneOrMake[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// snapshot returns the advice for a step, nil if there is none.
func (b *adviceBroker) snapshot(k cell.StepKey) *stepAdvice {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.steps[k]
	if s == nil || s.inFlight == 0 && len(s.queried) == 0 && s.retryAt == 0 {
		return nil
	}
	return s
}

// inService reports whether a request is in flight or an answer is valid.
func (s *stepAdvice) inService(now time.Duration) bool { return s.inFlight > 0 || now < s.validUntil }

// stepsInService returns the steps that are in service, with the time since when.
func (b *adviceBroker) stepsInService(now time.Duration) map[cell.StepKey]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	steps := map[cell.StepKey]time.Duration{}
	for k, s := range b.steps {
		if s.inService(now) {
			steps[k] = s.inServiceSince
		}
	}
	return steps
}

// ticket returns the ticket of a worker for a step, empty if there is none.
func (b *adviceBroker) ticket(k cell.StepKey, worker string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.steps[k]; s != nil {
		return s.tickets[worker].value
	}
	return ""
}
