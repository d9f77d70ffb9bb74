package dispatch

import (
	"context"
	"sync"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
)

const (
	// leaseLength is how long a worker may go on without contact, if the settings
	// allow it. Work goes on while all control processes are away for up to 4.5 s;
	// work of a lost worker starts again after it.
	leaseLength = 5700 * time.Millisecond
	// holdWait is how long a worker waits for an end before it answers a hold.
	holdWait = 800 * time.Millisecond
	// briefLease is the lease of a worker with brief work only. It outlasts the
	// change of the leader, which takes up to 1.2 s; a longer one would make the
	// work late by itself when the worker is lost.
	briefLease = 1800 * time.Millisecond
	// briefHoldWait keeps a brief lease from being used up by a hold.
	briefHoldWait = 400 * time.Millisecond
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
	// fillerPace is the pace of fillers here, serves whether others serve beside them.
	fillerPace int
	serves     bool
	// fenced is set once the worker has answered with this term's fence.
	fenced   bool
	attempts map[attemptKey]*attemptInfo
}

// newSession returns a session that is to be run. Inherited lives may have leases
// that an earlier leader has given.
func newSession(t *term, w *cell.Worker, inherited bool) *session {
	ctx, cancel := context.WithCancel(t.ctx)
	s := &session{
		t: t, target: Target{w.ID, w.Address}, born: w.Born, ctx: ctx, end: cancel, wake: make(chan struct{}, 1),
		heardAt: t.l.Clock.Now(), fillerPace: fullPace, attempts: map[attemptKey]*attemptInfo{},
	}
	if inherited {
		// Twice the drift is more than the lease takes on the slowest clock.
		s.leaseBound = t.began + t.lease + t.lease/25 + 10*settleMargin
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

// continueFrom takes over what the session of another address of the life knows.
func (s *session) continueFrom(earlier *session) {
	earlier.mu.Lock()
	defer earlier.mu.Unlock()
	for k, i := range earlier.attempts {
		c := *i
		s.attempts[k] = &c
	}
	s.clock, s.leaseBound = earlier.clock, earlier.leaseBound
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

// serving reports whether tasks with a bound on their tails run there.
func (s *session) serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serves
}

// leased returns how long the worker's lease may go on if it is lost now.
func (s *session) leased(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseBound - now
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
