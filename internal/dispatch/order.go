package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

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
	s.t.l.Logger.Warn("start failed", logging.Step("start"), logging.Peer(s.target.ID), logging.Job(o.Task.Job), "task", position(o.Task), "run", o.Run, "answer", answer.String(), "certain", certain)
	switch answer {
	case BadTicket:
		s.t.advice.drop(o.Task.StepKey, s.target.ID)
	case WrongIncarnation, Unhealthy, NoCapacity, 0:
		s.penalize(now, time.Second)
	}
	if !certain {
		return // a later listing decides
	}
	if err := s.t.note(s.target.ID, s.born, 0, []cell.AttemptEnd{{Task: o.Task, Run: o.Run, Outcome: cell.EndedUnstarted}}); err != nil {
		s.t.l.Logger.Warn("end not committed", logging.Step("note ends"), logging.Peer(s.target.ID), logging.Error(err))
	}
}

// position is a task within its job, for logs: occurrence, step, index.
func position(k cell.TaskKey) [3]int { return [3]int{k.Occurrence, k.Step, k.Index} }

// sendStart returns the answer, 0 if there is none, and whether the attempt has
// certainly not started and never will, if the answer is not Done.
func (s *session) sendStart(o *StartOrder, until time.Duration) (answer OrderAnswer, certain bool) {
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
