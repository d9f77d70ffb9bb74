package dispatch

import (
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

// soundTime is how long an attempt must have run for earlier crashes under its task to be
// forgotten: crashes far apart in time have other causes.
const soundTime = 5 * time.Minute

// ranFor returns how long an attempt has certainly run. The caller holds s.mu.
func (s *session) ranFor(info *attemptInfo) time.Duration {
	return s.lastContact - info.confirmedAt
}

// startCrashWindow is how long after the start of an attempt its worker may still answer if
// the attempt is what crashes it.
const startCrashWindow = 100 * time.Millisecond

// leaseRanOut reports whether every lease of the worker has run out.
func (s *session) leaseRanOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.t.leader.Clock.Now() > s.leaseEnd()
}

// startedAttempts returns the attempts that the worker has started or listed and that have
// not settled. Once its lease has run out, those are left out that it kept running for a
// while: they may have ended before the worker crashed.
func (s *session) startedAttempts() []cell.StartedAttempt {
	ranOut := s.leaseRanOut()
	s.mu.Lock()
	defer s.mu.Unlock()
	var started []cell.StartedAttempt
	for k, info := range s.attempts {
		if info.confirmed && s.ranFor(info) < settleTime && (!ranOut || s.lastAnswered <= info.confirmedAt+startCrashWindow) {
			started = append(started, cell.StartedAttempt{Task: k.task, Run: k.run})
		}
	}
	return started
}

// commitStarted commits that an attempt has started if workers may have crashed under its
// task before. A later leader could not know it.
func (s *session) commitStarted(k attemptKey) {
	crashed := false
	s.t.leader.Store.View(func(v *cell.View) {
		if w := v.Worker(s.target.ID); w != nil && w.Born == s.born {
			crashed = w.Attempts[k.task].Run == k.run && w.Attempts[k.task].Crashes > 0
		}
	})
	if !crashed {
		return
	}
	started := []cell.StartedAttempt{{Task: k.task, Run: k.run}}
	if err := s.t.commitEnds(&cell.RecordEnds{Worker: s.target.ID, Born: s.born, Started: started}); err != nil {
		s.t.leader.Logger.Warn("failed to commit that an attempt has started", logging.Step("start"), logging.Peer(s.target.ID), logging.Error(err))
	}
}

// commitRunTimes commits that running attempts have settled or are sound if workers have
// crashed under their tasks before.
func (s *session) commitRunTimes(running []RunningAttempt, state *workerState) {
	c := &cell.RecordEnds{Worker: s.target.ID, Born: s.born}
	s.mu.Lock()
	for i := range running {
		r := &running[i]
		a, info := state.attempts[r.Task], s.attempts[attemptKey{r.Task, r.Run}]
		if a.Run != r.Run || a.Crashes == 0 || info == nil || !info.confirmed {
			continue
		}
		attempt, ran := cell.StartedAttempt{Task: r.Task, Run: r.Run}, s.ranFor(info)
		if a.Started && ran >= settleTime {
			c.Settled = append(c.Settled, attempt)
		}
		if ran >= soundTime {
			c.Sound = append(c.Sound, attempt)
		}
	}
	s.mu.Unlock()
	if len(c.Settled)+len(c.Sound) == 0 {
		return
	}
	s.t.spawn(func() {
		// Repeated after the next listing if it fails.
		if err := s.t.commitEnds(c); err != nil {
			s.t.leader.Logger.Warn("failed to commit that attempts run well", logging.Step("hold"), logging.Peer(s.target.ID), logging.Error(err))
		}
	})
}

// startedBefore returns the attempts that have started, and have not settled, on the
// incarnations that a worker replaces.
func (t *term) startedBefore(r *cell.Register) []cell.StartedAttempt {
	var replaced []*session
	t.leader.Store.View(func(v *cell.View) {
		for id, w := range v.Workers() {
			if len(w.Attempts) > 0 && w.Born < r.Born && (id == r.ID || w.Address == r.Address) {
				if s := t.session(id, w.Born); s != nil {
					replaced = append(replaced, s)
				}
			}
		}
	})
	var started []cell.StartedAttempt
	for _, s := range replaced {
		started = append(started, s.startedAttempts()...)
	}
	return started
}

// logCrashes logs the crashes that a registration has proven.
func (t *term) logCrashes(result any) {
	crashes, _ := result.([]*cell.Crash)
	for _, c := range crashes {
		t.leader.metrics.crashes.Inc(1)
		t.leader.Logger.Warn("worker has crashed", logging.Step("register"), logging.Peer(c.Worker), "tasks", len(c.Tasks))
		for _, job := range c.GivenUp {
			t.leader.Logger.Warn("job given up since workers crash under a task", logging.Step("register"), logging.Peer(c.Worker), logging.Job(job))
		}
	}
}
