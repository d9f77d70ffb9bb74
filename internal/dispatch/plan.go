package dispatch

import (
	"maps"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/reservation"
	"laburnumgrade/internal/structs"
)

// maxJoiningSteps is the number of urgent steps that may join a plan in progress at a time,
// so that the other steps of the plan have their turn.
const maxJoiningSteps = 64

// adviceRequest is a request for advice that a plan contains.
type adviceRequest struct {
	step           cell.StepKey
	queue          string
	workers        []*candidate
	terms          cell.AdviceTerms
	heldPlacements []cell.Placement
	// stops are the attempts whose preemption makes room for the held placements.
	stops []victim
	// patient is set if the step is not of one of the most urgent queues.
	patient bool
	// onlyIfIdle is set if the request is given only to a process without others: it
	// saves the step a wait, but must not make other steps wait.
	onlyIfIdle bool
}

// plan is the result of one planning round.
type plan struct {
	placements     []cell.Placement
	adviceRequests []*adviceRequest
	stops          []victim
	// newlyBlocked are the gangs that did not fit in this round for the first
	// time.
	newlyBlocked []cell.StepKey
	// reserved maps a worker to the gang for which it is reserved.
	reserved map[string]cell.StepKey
	// preemptionsFailed are the gangs for which tasks were to be preempted, but not enough
	// of them may be.
	preemptionsFailed []cell.StepKey
	// waiting counts the ready steps by what they wait for, as counted has it.
	waiting [waitReasons]int
	counted map[cell.StepKey]waitReason
	// deferred counts the requests for advice that no process could take.
	deferred int
}

// waitReason is what a ready step waits for after a planning round.
type waitReason int

const (
	// placedNow means that tasks of the step were placed.
	placedNow waitReason = iota
	// waitsForAdvice means that a request for advice is in flight or planned.
	waitsForAdvice
	// waitsForRenewal means that the step has capacity, but its tickets have expired.
	waitsForRenewal
	// waitsForRetry means that a request for advice has failed.
	waitsForRetry
	// waitsForRoom means that no allowed worker, or too few for a gang, has free capacity.
	waitsForRoom
	// waitsForLimit means that the team's limit is reached.
	waitsForLimit
	// waitsForCrashes means that it is not known yet whether workers have crashed under
	// tasks of the step.
	waitsForCrashes
	// waitsForEvacuation means that the step fits only on workers of evacuated data centres.
	waitsForEvacuation
	// waitsForTurn means that the step gives way while the leader is late.
	waitsForTurn
	waitReasons
)

// String returns the name of the reason in metrics.
func (r waitReason) String() string {
	return [waitReasons]string{"placed", "advice", "renewal", "retry", "room", "limit", "crashes", "evacuated", "turn"}[r]
}

// noCaller is set once no process could take a request: long for one of at least longCallCost,
// short for a shorter one.
type noCaller struct{ long, short bool }

// planner holds the inputs and the result of one planning round. It reads no clock
// and does no I/O.
type planner struct {
	now        time.Duration
	candidates []*candidate
	byID       map[string]*candidate
	// evacuated holds the workers of evacuated data centres, which get no attempts.
	evacuated []*candidate
	// headroom is what each team may still use within its limit.
	headroom map[string]structs.Resources
	advice   func(cell.StepKey) *stepAdvice
	// request makes a request for advice. It returns false if no process can take it now.
	request func(*adviceRequest) bool
	// noCaller and noPatientCaller tell that no process could take a request for a step of the
	// most urgent queues, or for others.
	noCaller, noPatientCaller noCaller
	// mostUrgent is the priority of the most urgent queues.
	mostUrgent int
	// groups holds the candidates by service and label, and full the kinds of tasks for
	// which no worker has room; both are filled as needed.
	groups map[groupKey][]*candidate
	full   map[taskKind]bool
	// running holds what runs on the candidates, nil until it is needed.
	running *runningTasks
	ranked  []rankedCandidate
	indices []int
	// allowedShare returns the share of workers that steps of a queue may run on, as far
	// as advice has shown.
	allowedShare func(queue string) float64
	// offRackFactor is the ratio of a task's run time outside the rack of its data
	// to its run time inside. reservedGangCount counts the gangs for which this
	// plan reserves room, and wholeWorkersCount those for which it reserves whole workers.
	offRackFactor     float64
	reservedGangCount int
	wholeWorkersCount int
	// releases returns what should become free on a worker and when; nil if it is not
	// known.
	releases func(c *candidate) []reservation.Release
	// victims returns the tasks on a worker that may be preempted by work of a
	// priority; nil disables preemption. lastPreemption is when tasks were last
	// preempted for a gang.
	victims        func(c *candidate, priority int) []victim
	lastPreemption map[cell.StepKey]time.Duration
	// isolation is updated by the plan. crashedSteps are the ready steps with tasks under
	// which workers may have crashed.
	// isolating is set if suspects have workers for themselves.
	isolation    isolation
	crashedSteps map[cell.StepKey]bool
	isolating    bool
	// decided, if not nil, is called for each step that was decided on.
	decided func(*readyStep)
	// coldFactor is the ratio of run times on cold workers to those on warm ones. anyCold is
	// set if a candidate is cold; it is known if coldKnown is set.
	coldFactor         float64
	anyCold, coldKnown bool
	// moves is set if running tasks may be moved out of evacuated data centres after the
	// plan.
	moves bool
	plan
}

// planOnce makes a plan, commits its placements and sends the orders. A long plan is made
// and carried out in slices with pauses between them; all slices work on the same copy of
// the state, so that steps of lower rank do not take what has become free for others in the
// meantime. It returns the processor time that the last slice has used.
func (t *term) planOnce() time.Duration {
	use := t.newProcessorUse()
	p := &planner{
		now: t.leader.Clock.Now(), byID: map[string]*candidate{}, headroom: map[string]structs.Resources{}, advice: t.advice.snapshot, request: t.advice.request, allowedShare: t.advice.allowedShare,
		offRackFactor: t.leader.Bounds.RemoteFactor, isolation: t.isolation, plan: plan{reserved: map[string]cell.StepKey{}},
	}
	p.decided = func(rs *readyStep) { use.did(0, rs) }
	t.forgetEndedData(p.now)
	steps, workers := t.copyInputs(p)
	readySteps := steps
	if len(steps) > 0 {
		use.waitTurn()
		t.completeReadySteps(steps, p.now, use)
		t.turnDelay.observe(use.delay)
		inService := t.advice.stepsInService(p.now)
		steps = t.window.arrange(t.withoutGivingWay(p, steps, inService), inService)
	}
	if len(steps) > 0 || p.moves {
		t.addCandidates(workers, p)
	}
	if len(steps) > 0 {
		p.victims = t.newVictimFinder(p)
		p.releases = func(c *candidate) []reservation.Release { return t.releasesOf(c, p.now) }
		t.mu.Lock()
		p.lastPreemption = maps.Clone(t.lastPreemption)
		t.mu.Unlock()
		p.holdSuspects(steps)
		p.holdRenewals(steps)
	}
	var total time.Duration
	began := t.leader.Clock.Now()
	joined := 0 // how many of the steps have joined the plan and precede those that it had
	for {
		before := len(steps)
		steps = p.planNext(steps, use.below(maxPlanSlice))
		joined = max(0, joined-(before-len(steps)))
		t.reserved, t.isolation = p.reserved, p.isolation
		if !t.carryOut(p, use) {
			return use.spent()
		}
		total += use.spent()
		if len(steps) == 0 || len(p.counted) >= firstSteps && t.leader.Clock.Now()-began >= t.planTime {
			t.window.record(steps[joined:])
			if p.moves && len(steps) == 0 {
				t.moveRunning(p, readySteps)
			}
			break
		}
		if !t.pause(planPause(use.spent())) || !t.leads() {
			return 0
		}
		use = t.newProcessorUse()
		p.beginSlice(t.leader.Clock.Now())
		t.withholdUnusable(p)
		urgent := t.urgentSteps(p, steps[0], use)
		steps = append(urgent, steps...)
		joined += len(urgent)
	}
	t.leader.metrics.plan.RecordDuration(total)
	t.logWaits(t.longWaits(p, readySteps))
	t.leader.metrics.recordWaiting(&p.waiting)
	t.leader.metrics.adviceDeferred.Update(float64(p.deferred))
	return use.spent()
}

// carryOut preempts tasks, commits the placements and sends the orders of a slice of a
// plan. It returns false if the placements may not be committed, so that the rest of the
// plan is out of date.
func (t *term) carryOut(p *planner, use *processorUse) bool {
	t.mu.Lock()
	for _, k := range p.newlyBlocked {
		t.lastPreemption[k] = p.now + preemptionDelay - preemptionRetryDelay
	}
	for _, k := range p.preemptionsFailed {
		t.lastPreemption[k] = p.now
	}
	t.mu.Unlock()
	t.dropEvacuated(p)
	for _, q := range p.adviceRequests {
		if len(q.stops) > 0 {
			t.preempt(q.stops, q.step)
		}
	}
	for _, stopped := range p.stops {
		t.preempt([]victim{stopped}, p.reserved[stopped.worker])
	}
	if len(p.placements) == 0 {
		return true
	}
	if !t.leads() {
		return false
	}
	use.stop()
	result, err := t.leader.propose(t.ctx, &cell.Command{Start: &cell.Start{Placements: p.placements}})
	use.resume()
	if err != nil {
		t.leader.Logger.Warn("failed to commit the plan", logging.Step("plan"), "placements", len(p.placements), logging.Error(err))
		return false
	}
	accepted, _ := result.([]bool)
	for i, ok := range accepted {
		if ok {
			t.leader.metrics.planned.Inc(1)
			t.startAttempt(&p.placements[i])
			use.yield()
			continue
		}
		t.leader.metrics.refused.Inc(1)
		placement := &p.placements[i]
		t.leader.Logger.Info("placement refused by the state", logging.Step("plan"), logging.Job(placement.Task.Job), "task", position(placement.Task), "run", placement.Run, logging.Peer(placement.Worker))
	}
	return true
}

// planSteps plans the ready steps in the given order and counts them by what they wait
// for.
func (p *planner) planSteps(readySteps []*readyStep) {
	p.holdSuspects(readySteps)
	p.holdRenewals(readySteps)
	p.planNext(readySteps, func() bool { return true })
}

// holdRenewals holds the capacity of steps whose tickets are being renewed. If it were
// given to others, the renewal would have to be repeated again and again.
func (p *planner) holdRenewals(readySteps []*readyStep) {
	for _, rs := range readySteps {
		if rs.queue.Advice == nil {
			continue
		}
		if rs.advice = p.advice(rs.key); rs.advice != nil && rs.advice.inFlight > 0 {
			p.holdCapacity(rs.advice.heldPlacements, rs)
		}
	}
}

// planNext plans ready steps in the given order, at least one, as long as mayContinue
// returns true. It returns the steps that remain.
func (p *planner) planNext(readySteps []*readyStep, mayContinue func() bool) []*readyStep {
	for i, rs := range readySteps {
		rs.waitsFor = p.planStep(rs)
		if rs.waitsFor == waitsForRoom && p.isEvacuationTheCause(rs) {
			rs.waitsFor = waitsForEvacuation
		}
		p.recordShutOut(rs)
		p.countWait(rs)
		if p.decided != nil {
			p.decided(rs)
		}
		if !mayContinue() {
			return readySteps[i+1:]
		}
	}
	return nil
}

// hasPlanned reports whether the plan has looked at the step before.
func (p *planner) hasPlanned(rs *readyStep) bool {
	_, again := p.counted[rs.key]
	return again
}

// countWait counts what a step waits for, and no longer what it did earlier in the plan.
func (p *planner) countWait(rs *readyStep) {
	if p.counted == nil {
		p.counted = map[cell.StepKey]waitReason{}
	}
	if earlier, again := p.counted[rs.key]; again {
		p.waiting[earlier]--
	}
	p.counted[rs.key] = rs.waitsFor
	p.waiting[rs.waitsFor]++
}

// beginSlice continues a plan whose previous slice is carried out. Requests for advice that
// were refused are left to the next plan, which makes them in the order of rank.
func (p *planner) beginSlice(now time.Duration) {
	p.now = now
	p.placements, p.adviceRequests, p.stops, p.newlyBlocked, p.preemptionsFailed = nil, nil, nil, nil, nil
}

// planStep places as many tasks of a step as possible, or requests advice for it. It
// returns what the step waits for afterwards.
func (p *planner) planStep(rs *readyStep) waitReason {
	if len(rs.held) > 0 && len(p.startableTasks(rs)) == 0 {
		return waitsForCrashes
	}
	advice := rs.advice
	if rs.queue.Advice != nil {
		if advice == nil {
			if !p.mayRequest(rs, nil) {
				if p.full[kindOf(rs)] {
					return waitsForRoom
				}
				p.deferred++
				return waitsForAdvice
			}
			workers := p.workersToQuery(rs, nil, len(rs.occurrence.Tasks))
			if len(workers) == 0 {
				return waitsForRoom
			}
			p.requestAdvice(rs, workers, nil)
			return waitsForAdvice
		}
		if advice.inFlight > 0 || p.now < advice.retryAt {
			if rs.step.Gang && len(advice.heldPlacements) == 0 && p.tasksWithinLimit(rs) >= rs.step.Count && !p.hasPlanned(rs) {
				p.reserve(rs) // others must not take its room meanwhile
			}
			if advice.inFlight > 0 {
				return waitsForAdvice
			}
			return waitsForRetry
		}
	}
	tasks := p.startableTasks(rs)
	if room := p.tasksWithinLimit(rs); room < len(tasks) {
		if rs.step.Gang {
			return waitsForLimit
		}
		tasks = tasks[:room]
	}
	rs.avoidsCold = p.shouldAvoidCold(rs, advice, len(tasks))
	fitting := p.fitting(rs, advice)
	if rs.step.Gang && !rs.step.SameRack {
		if room := p.totalRoom(rs, fitting); room < len(tasks) {
			return p.planBlockedGang(rs, tasks, room)
		}
	}
	p.rank(rs, fitting)
	if rs.step.SameRack {
		fitting = p.restrictToRack(rs, fitting, len(tasks))
	}
	placed := p.place(rs, tasks, fitting)
	if rs.step.Gang && len(placed) < len(tasks) {
		p.undoPlacements(rs, placed)
		return p.planBlockedGang(rs, tasks, len(placed))
	}
	if advice != nil && len(placed) == 0 && len(tasks) > 0 && p.queryMore(rs, len(tasks)) {
		return waitsForAdvice
	}
	if len(placed) == 0 {
		if len(tasks) == 0 {
			return waitsForLimit
		}
		return waitsForRoom
	}
	if advice != nil {
		if valid, expired := p.splitByTicket(placed, advice); !rs.step.Gang && len(valid) > 0 {
			p.undoPlacements(rs, expired)
			p.placements = append(p.placements, valid...)
			return placedNow
		}
		if p.hasExpiredTicket(placed, advice) {
			p.requestAdvice(rs, p.renewals(rs, placed, fitting, advice), placed)
			return waitsForRenewal
		}
	}
	p.placements = append(p.placements, placed...)
	return placedNow
}

// planBlockedGang requests advice on more workers for a gang that does not fit, or
// preempts tasks or reserves workers for it. room is the number of its tasks that fit.
func (p *planner) planBlockedGang(rs *readyStep, tasks []int, room int) waitReason {
	if rs.advice != nil && p.queryMore(rs, len(tasks)-room) {
		return waitsForAdvice
	}
	if !p.preempt(rs, tasks) {
		p.reserve(rs)
	}
	return waitsForRoom
}
