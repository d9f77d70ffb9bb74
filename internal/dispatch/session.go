package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
)

const (
	// leaseLength is how long a worker may go on without contact. It outlasts an
	// election (up to 1.2 s) and the restart of a process (up to 1 s) after a hold
	// that waited its full time; work of a lost worker starts again after it.
	leaseLength = 4200 * time.Millisecond
	// holdWait is how long a worker waits for an end before it answers a hold.
	holdWait = 800 * time.Millisecond
	// callTimeout bounds a call to a worker beyond the time it is asked to wait.
	callTimeout = 400 * time.Millisecond
	// startLife is how long a start may take effect; a call that is carried out
	// late is carried out after 2 s at the earliest.
	startLife = 1500 * time.Millisecond
	// retryPause is the pause after a failed call to a worker.
	retryPause = 100 * time.Millisecond
	// probeInterval is how often a worker that failed a call is asked again
	// while nothing runs there.
	probeInterval = 700 * time.Millisecond
	// reportSilence is how long a worker may be silent before it gets no new
	// work: three of its reports.
	reportSilence = 4500 * time.Millisecond
)

// session drives one life of a worker during a term.
type session struct {
	t      *term
	target Target
	born   int64
	ctx    context.Context
	end    context.CancelFunc
	wake   chan struct{}

	mu       sync.Mutex
	clock    workerClock
	sequence uint64
	heardAt  time.Duration
	failing  bool
	// silentAt and answeredAt are the newest call without and with an answer.
	silentAt   time.Duration
	answeredAt time.Duration
	// penaltyUntil keeps new work off a worker that refused or failed it.
	penaltyUntil time.Duration
	// leaseBound is when every lease given has certainly run out.
	leaseBound time.Duration
	// fenced is set once the worker has answered with this term's fence.
	fenced   bool
	attempts map[attemptKey]*attemptInfo
}

type attemptKey struct {
	task cell.TaskKey
	run  uint32
}

// attemptInfo is what is known of an attempt beyond the replicated state.
type attemptInfo struct {
	deadlineMS  int64
	sending     bool
	confirmed   bool
	confirmedAt time.Duration
	stopped     bool
	stoppedAt   time.Duration
	saved       string
	// percent is the progress listed last, movedAt when it was seen to change.
	percent float64
	movedAt time.Duration
	// inherited attempts were committed by an earlier leader.
	inherited bool
	// seenAt is when an attempt without an order was first looked at.
	seenAt time.Duration
}

// standstill is after how long without progress an attempt is stopped and started
// elsewhere: the longest tasks advance by a percent in 0.2 s on a sound worker and
// in 1.3 s on one that is 6.5 times slower.
const standstill = 1600 * time.Millisecond

// orphanAge is after how long an attempt that was committed but never ordered is
// given up: its proposal had no answer in time and it was never sent.
const orphanAge = proposeTimeout + time.Second

func newSession(t *term, w *cell.Worker) *session {
	ctx, cancel := context.WithCancel(t.ctx)
	// Twice the drift is more than the lease takes on the slowest clock.
	bound := t.began + leaseLength + leaseLength/25 + 10*settleMargin
	s := &session{
		t: t, target: Target{w.ID, w.Address}, born: w.Born, ctx: ctx, end: cancel, wake: make(chan struct{}, 1),
		heardAt: t.l.Clock.Now(), leaseBound: bound, attempts: map[attemptKey]*attemptInfo{},
	}
	for key, a := range w.Attempts {
		s.attempts[attemptKey{key, a.Run}] = &attemptInfo{inherited: true}
	}
	return s
}

func (s *session) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// handOver returns what a session for another address of the life continues with.
func (s *session) handOver() (workerClock, map[attemptKey]*attemptInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[attemptKey]*attemptInfo, len(s.attempts))
	for k, i := range s.attempts {
		c := *i
		known[k] = &c
	}
	return s.clock, known
}

// reported takes in a report of the worker.
func (s *session) reported(r *cellapi.Report, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Sequence <= s.sequence && s.sequence != 0 {
		return
	}
	s.sequence = r.Sequence
	s.heardAt = now
	s.clock.observe(r.ClockMS, now)
}

// usable reports whether the worker may get new work.
func (s *session) usable(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := s.silentAt > s.answeredAt
	return s.clock.known && !s.failing && !silent && now >= s.penaltyUntil && now-s.heardAt < reportSilence
}

// answered notes an answer to a call that was sent at a time.
func (s *session) answered(sent time.Duration, clockMS int64, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt = max(s.answeredAt, sent)
	if clockMS > 0 {
		s.clock.observe(clockMS, now)
	}
}

// unanswered notes that a call that was sent at a time had no answer. Until a
// later one has, the worker gets no new work.
func (s *session) unanswered(sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentAt = max(s.silentAt, sent)
}

func (s *session) penalize(now, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.penaltyUntil = max(s.penaltyUntil, now+d)
}

// local is the worker's record as the session sees it.
type local struct {
	gone     bool
	noted    uint64
	attempts map[cell.TaskKey]cell.Attempt
}

func (s *session) view() local {
	var r local
	s.t.l.Store.View(func(v *cell.View) {
		w := v.Worker(s.target.ID)
		if w == nil || w.Born != s.born {
			r.gone = true
			return
		}
		r.gone, r.noted = w.Gone, w.Noted
		r.attempts = make(map[cell.TaskKey]cell.Attempt, len(w.Attempts))
		for k, a := range w.Attempts {
			r.attempts[k] = a
		}
	})
	return r
}

// run keeps the worker's lease and takes in its ends until the life is over.
func (s *session) run() {
	defer s.end()
	for s.ctx.Err() == nil {
		state := s.view()
		if state.gone {
			return
		}
		if len(state.attempts) == 0 && !s.idle() {
			continue
		}
		s.hold(&state)
	}
}

// idle waits for work. It returns true if the worker is to be probed meanwhile.
func (s *session) idle() bool {
	s.mu.Lock()
	failing, unknown := s.failing || s.silentAt > s.answeredAt, !s.clock.known
	s.mu.Unlock()
	if unknown && !failing {
		return true // nothing can be started before the worker's clock is known
	}
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

// hold makes one hold and takes in its answer.
func (s *session) hold(state *local) {
	if !s.t.leads() {
		s.t.pause(retryPause)
		return
	}
	sent := s.t.l.Clock.Now()
	order := HoldOrder{Fence: s.t.number, Noted: state.noted}
	s.mu.Lock()
	if s.fenced && len(state.attempts) > 0 {
		order.Wait = holdWait
	}
	// A worker that does not answer gets no longer lease: any of the holds may
	// have been carried out, and its lease would never be known to have run out.
	if s.clock.known && len(state.attempts) > 0 && !s.failing {
		order.DeadlineMS = s.clock.estimate(sent) + leaseLength.Milliseconds()
		s.leaseBound = max(s.leaseBound, s.clock.passed(order.DeadlineMS))
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, order.Wait+callTimeout)
	defer cancel()
	listing, err := s.t.l.Workers.Hold(ctx, s.target, &order)
	now := s.t.l.Clock.Now()
	if err != nil || listing.Answer != Done {
		s.holdFailed(state, listing, err, now)
		return
	}
	s.mu.Lock()
	wasFailing := s.failing
	s.failing, s.fenced = false, true
	s.heardAt = now
	s.clock.observe(listing.ClockMS, now)
	// The answer was given after the wait, so it tells of the present.
	s.answeredAt = now
	s.mu.Unlock()
	if wasFailing {
		s.t.l.Logger.Info("worker answers again", logging.Step("hold"), logging.Peer(s.target.ID))
	}
	if listing.Born != 0 && listing.Born != s.born {
		s.lifeOver("another life answers", listing.Born)
		return
	}
	s.takeIn(listing, sent, now)
}

// holdFailed handles a worker that does not answer.
func (s *session) holdFailed(state *local, listing *Listing, err error, now time.Duration) {
	if s.ctx.Err() != nil {
		return
	}
	if err == nil && listing.Answer == OtherLife {
		s.lifeOver("the address belongs to another worker", 0)
		return
	}
	s.mu.Lock()
	first := !s.failing
	s.failing = true
	bound := s.leaseBound
	s.mu.Unlock()
	if first {
		s.t.l.Logger.Warn("worker does not answer", logging.Step("hold"), logging.Peer(s.target.ID), "attempts", len(state.attempts), "lease_ms", (bound - now).Milliseconds(), "error", err)
	}
	if len(state.attempts) > 0 && now > bound && s.t.leads() {
		s.lapse("its lease has run out")
	}
	s.t.pause(retryPause)
}

// lapse gives up all attempts of the life.
func (s *session) lapse(why string) {
	s.t.l.metrics.lapses.Inc(1)
	s.t.l.Logger.Warn("attempts of worker given up", logging.Step("lapse"), logging.Peer(s.target.ID), "reason", why)
	if _, err := s.t.l.propose(s.ctx, &cell.Command{Lapse: &cell.Lapse{Worker: s.target.ID, Born: s.born}}); err != nil {
		s.t.l.Logger.Warn("lapse not committed", logging.Step("lapse"), logging.Peer(s.target.ID), logging.Error(err))
	}
}

// lifeOver handles a life that has certainly ended.
func (s *session) lifeOver(why string, successor int64) {
	s.lapse(why)
	s.mu.Lock()
	s.failing = true
	s.mu.Unlock()
	s.t.l.Logger.Info("life of worker is over", logging.Step("hold"), logging.Peer(s.target.ID), "reason", why, "born", s.born, "successor", successor)
	s.t.pause(probeInterval)
}

// takeIn compares a listing with the attempts committed to the worker.
func (s *session) takeIn(listing *Listing, sent, now time.Duration) {
	state := s.view()
	listed := map[attemptKey]bool{}
	for i := range listing.Running {
		r := &listing.Running[i]
		listed[attemptKey{r.Task, r.Run}] = true
		if a, ok := state.attempts[r.Task]; !ok || a.Run != r.Run {
			s.t.spawn(func() { s.stop(r.Task, r.Run) })
			continue
		}
		s.progress(r, now)
		if k := (attemptKey{r.Task, r.Run}); s.stuck(k, now) && s.t.single(r.Task) {
			s.t.speeds.hung(s.target.ID, now)
			s.t.l.Logger.Warn("attempt stands still", logging.Step("hold"), logging.Peer(s.target.ID), logging.Job(r.Task.Job), "task", wire(r.Task), "run", r.Run, "percent", r.Percent)
			s.t.spawn(func() { s.stop(r.Task, r.Run) })
		}
	}
	upto := state.noted
	var ends []cell.End
	for i := range listing.Ended {
		e := &listing.Ended[i]
		listed[attemptKey{e.Task, e.Run}] = true
		if e.Number <= state.noted {
			continue
		}
		upto = max(upto, e.Number)
		if a, ok := state.attempts[e.Task]; ok && a.Run == e.Run {
			s.finished(e, now)
			ends = append(ends, e.End)
		}
	}
	for key, a := range state.attempts {
		k := attemptKey{key, a.Run}
		if listed[k] {
			continue
		}
		if how, gone := s.absent(k, listing, sent, now); gone {
			ends = append(ends, cell.End{Task: key, Run: a.Run, How: how, Saved: s.savedOf(k)})
		}
	}
	if len(ends) == 0 && upto == state.noted {
		return
	}
	if err := s.t.note(s.target.ID, s.born, upto, ends); err != nil {
		s.t.l.Logger.Warn("ends not committed", logging.Step("note ends"), logging.Peer(s.target.ID), logging.Error(err))
		s.t.pause(retryPause)
		return
	}
	for i := range ends {
		e := &ends[i]
		s.t.l.metrics.ended(e.How)
		s.t.l.Logger.Info("attempt ended", logging.Step("note ends"), logging.Job(e.Task.Job), "task", wire(e.Task), "run", e.Run, logging.Peer(s.target.ID),
			"how", e.How.String(), "took_ms", s.tookOf(e, now).Milliseconds())
	}
	s.t.logEnded(ends)
	s.mu.Lock()
	for i := range ends {
		delete(s.attempts, attemptKey{ends[i].Task, ends[i].Run})
	}
	s.mu.Unlock()
}

// info returns what is known of an attempt.
func (s *session) info(k attemptKey) *attemptInfo {
	i := s.attempts[k]
	if i == nil {
		i = &attemptInfo{}
		s.attempts[k] = i
	}
	return i
}

func (s *session) progress(r *Running, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.info(attemptKey{r.Task, r.Run})
	if !i.confirmed {
		i.confirmed, i.confirmedAt = true, now
	}
	if r.Saved != "" {
		i.saved = r.Saved
	}
	if r.Percent != i.percent || i.movedAt == 0 {
		i.percent, i.movedAt = r.Percent, now
	}
}

// stuck reports whether an attempt has stood still for too long.
func (s *session) stuck(k attemptKey, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.info(k)
	return now-i.movedAt > standstill && !i.stopped
}

func (s *session) savedOf(k attemptKey) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info(k).saved
}

// tookOf returns how long an attempt ran as far as is known.
func (s *session) tookOf(e *cell.End, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.info(attemptKey{e.Task, e.Run}); i.confirmed {
		return now - i.confirmedAt
	}
	return 0
}

// finished learns from an attempt that has ended.
func (s *session) finished(e *ListedEnd, now time.Duration) {
	s.mu.Lock()
	i := *s.info(attemptKey{e.Task, e.Run})
	s.mu.Unlock()
	if e.How == cell.EndedFailed {
		s.t.speeds.failed(s.target.ID, e.Task.Job, now)
	}
	if e.How == cell.EndedDone && i.confirmed {
		s.t.learn(s.target.ID, e.Task, now-i.confirmedAt, now)
	}
}

// absent decides on an attempt that the worker lists neither as running nor as
// ended.
func (s *session) absent(k attemptKey, listing *Listing, sent, now time.Duration) (cell.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.info(k)
	switch {
	case i.sending:
		return 0, false
	case i.confirmed && i.confirmedAt < sent:
		return cell.EndedEarly, true
	case i.confirmed:
		return 0, false
	case i.stopped && i.stoppedAt < sent:
		return cell.EndedUnstarted, true
	case i.inherited:
		// The worker refuses the fence under which it was ordered.
		return cell.EndedUnstarted, true
	case i.deadlineMS > 0:
		return cell.EndedUnstarted, listing.ClockMS > i.deadlineMS
	case i.seenAt == 0:
		i.seenAt = now
	}
	return cell.EndedUnstarted, now-i.seenAt > orphanAge
}

// start sends the order for a committed attempt until it is answered or its
// deadline has passed.
func (s *session) start(o StartOrder) {
	key := attemptKey{o.Task, o.Run}
	now := s.t.l.Clock.Now()
	s.mu.Lock()
	o.DeadlineMS = s.clock.estimate(now) + startLife.Milliseconds()
	s.leaseBound = max(s.leaseBound, s.clock.passed(o.DeadlineMS))
	i := s.info(key)
	i.deadlineMS, i.sending = o.DeadlineMS, true
	s.mu.Unlock()
	s.poke()
	answer, certain := s.sendStart(&o, now+startLife)
	now = s.t.l.Clock.Now()
	s.mu.Lock()
	i.sending = false
	if answer == Done {
		i.confirmed, i.confirmedAt = true, now
	}
	s.mu.Unlock()
	if answer == Done {
		return
	}
	s.t.l.Logger.Warn("start failed", logging.Step("start"), logging.Peer(s.target.ID), logging.Job(o.Task.Job), "task", wire(o.Task), "run", o.Run, "answer", answer.String(), "certain", certain)
	switch answer {
	case BadTicket:
		s.t.advice.drop(o.Task.StepKey, s.target.ID)
	case OtherLife, Unhealthy, NoRoom, 0:
		s.penalize(now, time.Second)
	}
	if !certain {
		return // a later listing decides
	}
	if err := s.t.note(s.target.ID, s.born, 0, []cell.End{{Task: o.Task, Run: o.Run, How: cell.EndedUnstarted}}); err != nil {
		s.t.l.Logger.Warn("end not committed", logging.Step("note ends"), logging.Peer(s.target.ID), logging.Error(err))
	}
}

// wire is the name of a task for logs.
func wire(k cell.TaskKey) [3]int { return [3]int{k.Occurrence, k.Step, k.Index} }

// sendStart returns the answer, 0 if there is none, and whether the attempt has
// certainly not started and never will, if the answer is not Done.
func (s *session) sendStart(o *StartOrder, until time.Duration) (answer Answer, certain bool) {
	certain = true
	for s.t.l.Clock.Now() < until && s.ctx.Err() == nil {
		if !s.t.leads() {
			return 0, certain
		}
		sent := s.t.l.Clock.Now()
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		r, err := s.t.l.Workers.Start(ctx, s.target, o)
		cancel()
		var unsent *NotSentError
		switch {
		case errors.As(err, &unsent):
			s.unanswered(sent)
			s.t.pause(retryPause)
			continue
		case err != nil:
			s.unanswered(sent)
			certain = false
			continue
		}
		s.answered(sent, r.ClockMS, s.t.l.Clock.Now())
		// A stale run was started or stopped by an earlier try of this order.
		return r.Answer, certain && r.Answer != StaleRun && r.Answer != StaleFence
	}
	return 0, certain
}

// stop stops an attempt, or keeps it from starting.
func (s *session) stop(task cell.TaskKey, run uint32) {
	if !s.t.leads() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	r, err := s.t.l.Workers.Stop(ctx, s.target, &StopOrder{Task: task, Run: run, Fence: s.t.number})
	if err != nil || r.Answer != Done {
		s.t.l.Logger.Info("stop not answered", logging.Step("stop"), logging.Peer(s.target.ID), logging.Job(task.Job), "run", run, "answer", r.Answer.String(), "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.info(attemptKey{task, run}); !i.stopped {
		i.stopped, i.stoppedAt = true, s.t.l.Clock.Now()
	}
}
