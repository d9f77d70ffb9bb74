package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
)

const (
	// leaseDuration is how long a worker may run attempts without contact, unless
	// the settings allow less. It covers an absence of all control processes of up
	// to 4.5 s. Work of a lost worker starts again only after it has expired.
	leaseDuration = 5700 * time.Millisecond
	// renewalWait is how long a worker waits for an attempt to end before it
	// answers a lease renewal.
	renewalWait = 1200 * time.Millisecond
	// shortLeaseDuration is the lease of a worker whose attempts all belong to jobs
	// with a short objective. It covers a change of the leader, which takes up to
	// 1.2 s; with a longer lease these jobs would miss their objective whenever the
	// worker is lost.
	shortLeaseDuration = 1800 * time.Millisecond
	// shortRenewalWait is the wait under a short lease, so that the wait does not
	// use up most of the lease.
	shortRenewalWait = 500 * time.Millisecond
	// callTimeout bounds a call to a worker in addition to the time that the
	// worker may wait.
	callTimeout = 400 * time.Millisecond
	// startValidity is how long a start order may take effect. A call that is
	// carried out late is carried out 2 s later at the earliest, so the worker
	// rejects it.
	startValidity = 1500 * time.Millisecond
	// retryDelay is the delay after a failed call to a worker.
	retryDelay = 100 * time.Millisecond
	// heldEndsInterval is the pause between renewals while ends must not be acknowledged yet: a
	// worker that has ends answers each renewal at once.
	heldEndsInterval = 200 * time.Millisecond
	// probeInterval is how often a worker that failed a call is called again while
	// it has no attempts.
	probeInterval = 700 * time.Millisecond
	// maxReportSilence is how long a worker may be without contact before it gets
	// no new attempts: three intervals of its reports.
	maxReportSilence = 4500 * time.Millisecond
	// maxRecordAge is how long after its newest report a worker may get new attempts: its
	// answers to orders do not show whether it has shrunk since.
	maxRecordAge = 4 * time.Second
	// reportInterval is how often workers report.
	reportInterval = 1500 * time.Millisecond
	// maxLeaderSilence is how long a leader that has failed may still be followed: an
	// election timeout.
	maxLeaderSilence = 750 * time.Millisecond
)

// session manages one incarnation of a worker during a term: it sends orders,
// renews the lease and processes listings.
type session struct {
	t      *term
	target Target
	born   int64
	// fence is that of the orders. It rises with each incarnation under the ID, so that a later
	// one that has accepted it rejects the orders for earlier ones.
	fence uint64
	// isLater is set if orders for earlier incarnations under the ID may have an effect.
	isLater bool
	ctx     context.Context
	cancel  context.CancelFunc
	wake    chan struct{}
	// idle is set while run waits for attempts.
	idle atomic.Bool
	// commitInProgress is closed when the commit of listed ends is done; nil if there is
	// none. Only the goroutine of run uses it.
	commitInProgress chan struct{}
	// pauseForEnds is the pause before the next renewal because ends must not be acknowledged yet.
	// Only the goroutine of run uses it.
	pauseForEnds time.Duration

	mu    sync.Mutex
	clock workerClock
	// sequence is the number of the newest report; lastContact is when the worker
	// last reported or answered a lease renewal.
	sequence    uint64
	lastContact time.Duration
	// recordAt is when the worker sent the newest report that its record agrees with. It
	// is valid if recordConfirmed is set: an earlier leader may have had the last report long
	// before this term.
	recordAt        time.Duration
	recordConfirmed bool
	// failing is set from a failed lease renewal until the next successful one.
	failing bool
	// lastUnanswered and lastAnswered are when the newest calls without and with
	// an answer were sent.
	lastUnanswered time.Duration
	lastAnswered   time.Duration
	// avoidUntil is the time until which the worker gets no new attempts because a
	// start failed there.
	avoidUntil time.Duration
	// latestLeaseEnd is the time at which every lease that the worker was given has certainly
	// expired.
	latestLeaseEnd time.Duration
	// earlierLeaseEnd is the same for leases that orders for earlier incarnations gave it, 0 if
	// there are none.
	earlierLeaseEnd time.Duration
	// inheritedEnd is the time from which no attempt can run any more whose start order was for
	// an earlier incarnation, or may be carried out by a later one; 0 if there is none.
	inheritedEnd time.Duration
	// lastGrant is when an order that extends the lease was last sent, and aliveAt when the
	// newest order was sent that the incarnation itself has certainly answered.
	lastGrant time.Duration
	aliveAt   time.Duration
	// fillerPace is the speed limit of the fillers on the worker in percent.
	// serves is set if serving tasks with a response time target run beside them.
	fillerPace int
	serves     bool
	// replaced is set once a later incarnation with the same ID is known, and incarnationIsOver
	// once the incarnation has certainly ended.
	replaced          bool
	incarnationIsOver bool
	// doubtAt is when an answer arrived that may be of a later incarnation, 0 if the incarnation
	// has shown since that it is still there.
	doubtAt time.Duration
	// inheritedCommitted is set once the state has the attempts that a later incarnation may run.
	inheritedCommitted bool
	// began is from when on the session knows the orders to the incarnation.
	began time.Duration
	// listed is set if the incarnation has answered the last renewal, and nothing was waited for
	// since. Only then it is told which ends are committed: a later incarnation that takes the
	// acknowledgement deletes its own ends.
	listed bool
	// runsUnknown is set if the newest listing had attempts that are not committed to the
	// worker. They are being stopped, and use capacity until then.
	runsUnknown bool
	// fenced is set once the worker has accepted an order with this term's fence.
	fenced   bool
	attempts map[attemptKey]*attemptInfo
}

// newSession returns a session; the caller starts its run method. An inherited
// incarnation may hold a lease that an earlier leader gave it.
func newSession(t *term, w *cell.Worker, inherited bool) *session {
	ctx, cancel := context.WithCancel(t.ctx)
	s := &session{
		t: t, target: Target{w.ID, w.Address}, born: w.Born, fence: t.number + w.Lives, isLater: w.Reborn, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		lastContact: t.leader.Clock.Now(), recordAt: t.leader.Clock.Now(), recordConfirmed: !inherited, fillerPace: fullPace, attempts: map[attemptKey]*attemptInfo{},
	}
	if inherited {
		s.recordAt, s.recordConfirmed = t.inheritedRecordAt, t.recordsInherited
		// A margin of twice the drift covers a lease of the earlier leader even on
		// the slowest clock.
		s.latestLeaseEnd = t.began + t.lease + t.lease/25 + 10*timerMargin
	}
	s.began = t.leader.Clock.Now()
	if inherited {
		s.began = t.began
	}
	if w.Reborn {
		// Attempts of an earlier leader were placed only once it had accepted the fence.
		s.earlierLeaseEnd = s.began + t.longestLease()
	}
	for key, a := range w.Attempts {
		s.attempts[attemptKey{key, a.Run}] = &attemptInfo{orderedBefore: true}
		if a.Inherited {
			s.inheritedEnd = s.began + maxOrderDelay + t.longestLease()
		}
	}
	return s
}

// wakeUp makes the session check the worker's record without waiting.
func (s *session) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// copyStateFrom copies the data of the session for an earlier address of the same
// incarnation.
func (s *session) copyStateFrom(earlier *session) {
	earlier.mu.Lock()
	defer earlier.mu.Unlock()
	for k, info := range earlier.attempts {
		clone := *info
		clone.startInFlight = false // the call ends with the earlier session; its deadline remains
		s.attempts[k] = &clone
	}
	s.fenced, s.inheritedEnd, s.earlierLeaseEnd = earlier.fenced, earlier.inheritedEnd, earlier.earlierLeaseEnd
	s.began, s.aliveAt, s.lastGrant = earlier.began, earlier.aliveAt, earlier.lastGrant
	s.replaced, s.incarnationIsOver, s.doubtAt, s.inheritedCommitted = earlier.replaced, earlier.incarnationIsOver, earlier.doubtAt, earlier.inheritedCommitted
	s.clock, s.latestLeaseEnd, s.sequence = earlier.clock, earlier.latestLeaseEnd, earlier.sequence
}

// observeReport records a report of the worker. It returns false if a later one has
// arrived before; such a report, and a repeated one, has no effect.
func (s *session) observeReport(r *cellapi.Report, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Sequence <= s.sequence && s.sequence != 0 {
		return r.Sequence == s.sequence
	}
	s.sequence = r.Sequence
	s.lastContact = now
	s.clock.observe(r.ClockMS, now)
	return true
}

// recordChanged records that a report was applied. Newer ones may have agreed with the
// record as it was before.
func (s *session) recordChanged(r *cell.Register) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Number < s.sequence {
		s.recordConfirmed = false
	}
}

// confirmRecord records that the worker's record agrees with a report that arrived at a
// time, unless a newer one has arrived since.
func (s *session) confirmRecord(r *cellapi.Report, arrived time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Sequence < s.sequence {
		return
	}
	at := arrived
	if s.clock.known && r.ClockMS > 0 {
		delay := time.Duration(max(0, s.clock.atLeast(arrived)-r.ClockMS)) * time.Millisecond
		at -= delay
	}
	if !s.recordConfirmed || at > s.recordAt {
		s.recordAt, s.recordConfirmed = at, true
	}
}

// recordIsCurrent reports whether the worker's record is recent enough for new attempts.
func (s *session) recordIsCurrent(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recordConfirmed && now-s.recordAt < maxRecordAge
}

// usable reports whether the worker may get new attempts.
func (s *session) usable(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.recordConfirmed || now-s.recordAt >= maxRecordAge {
		return false
	}
	silent := s.lastUnanswered > s.lastAnswered
	return !s.replaced && !s.runsUnknown && !s.needsFence() && s.clock.known && !s.failing && !silent && now >= s.avoidUntil && now-s.lastContact < maxReportSilence
}

// serving reports whether tasks with a response time target run on the worker.
func (s *session) serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serves
}

// runningJobs returns the jobs of the attempts that the worker has started or listed.
func (s *session) runningJobs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := map[string]bool{}
	for k, info := range s.attempts {
		if info.confirmed {
			jobs[k.task.Job] = true
		}
	}
	return slices.Sorted(maps.Keys(jobs))
}

// leaseRemaining returns how long the worker's lease may continue if the worker is
// lost now.
func (s *session) leaseRemaining(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseEnd() - now
}

// callAnswered records the answer to a call that was sent at the time sent.
// clockMS is the worker's clock, 0 if the answer does not state it.
func (s *session) callAnswered(sent time.Duration, clockMS int64, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAnswered = max(s.lastAnswered, sent)
	if clockMS > 0 {
		s.clock.observe(clockMS, now)
	}
}

// callUnanswered records that a call that was sent at the time sent had no answer.
// The worker gets no new attempts until it has answered a later call.
func (s *session) callUnanswered(sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUnanswered = max(s.lastUnanswered, sent)
}

// avoid keeps new attempts off the worker for d.
func (s *session) avoid(now, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil = max(s.avoidUntil, now+d)
}

// run renews the worker's lease and processes its listings until the incarnation
// ends.
func (s *session) run() {
	defer s.cancel()
	for s.ctx.Err() == nil {
		state := s.workerState()
		if state.gone {
			return
		}
		if state.departing && len(state.attempts) == 0 {
			s.endDeparture()
			continue
		}
		if len(state.attempts) == 0 && !s.waitForWork(state.hasLosses || state.unansweredStarts > 0) {
			continue
		}
		s.renewLease(&state)
		if s.pauseForEnds > 0 {
			s.t.pause(s.pauseForEnds)
			s.forgetListing()
		}
	}
}

// forgetListing records that time has passed since the newest listing: a later incarnation may
// have begun.
func (s *session) forgetListing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = false
}

// needsFence reports whether orders for earlier incarnations may still be carried out, because
// this one has not yet accepted an order of its own. The caller holds s.mu.
func (s *session) needsFence() bool { return s.isLater && !s.fenced }

// waitForWork waits until the worker may have attempts. It returns true if the
// worker should be called even without attempts, because its clock is unknown, it has not
// accepted the fence, it failed a call, it runs what is not committed to it, or, with
// isUnsettled, it has to show that it has not crashed or unanswered starts have to be settled.
func (s *session) waitForWork(isUnsettled bool) bool {
	s.mu.Lock()
	failing, unknown := isUnsettled || s.failing || s.runsUnknown || s.lastUnanswered > s.lastAnswered, !s.clock.known || s.needsFence()
	s.mu.Unlock()
	if unknown && !failing {
		return true // no attempt can be started before
	}
	s.forgetListing()
	s.idle.Store(true)
	defer s.idle.Store(false)
	var probe <-chan time.Time
	if failing {
		timer := time.NewTimer(probeInterval)
		defer timer.Stop()
		probe = timer.C
	}
	select {
	case <-s.ctx.Done():
	case <-s.wake:
	case <-probe:
		return true
	}
	return false
}
