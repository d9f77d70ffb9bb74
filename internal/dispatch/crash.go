package dispatch

import (
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

// startCrashWindow is how long after the start of an attempt its worker may still answer if
// the attempt is what crashes it.
const startCrashWindow = 100 * time.Millisecond

// leaseRanOut reports whether every lease of the worker has run out.
func (s *session) leaseRanOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.t.leader.Clock.Now() > s.latestLeaseEnd
}

// startedAttempts returns the attempts that the worker has started or listed. Once its
// lease has run out, those are left out that it kept running for a while: they may have
// ended before the worker crashed.
func (s *session) startedAttempts() []cell.StartedAttempt {
	ranOut := s.leaseRanOut()
	s.mu.Lock()
	defer s.mu.Unlock()
	var started []cell.StartedAttempt
	for k, info := range s.attempts {
		if info.confirmed && (!ranOut || s.lastAnswered <= info.confirmedAt+startCrashWindow) {
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

// startedBefore returns the attempts that have started on the incarnations that a worker
// replaces.
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
