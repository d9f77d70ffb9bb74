package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

// failedStartAvoidance is how long a worker gets no new attempts after a start order
// that it did not answer, that it could not carry out, or that reached another
// incarnation.
const failedStartAvoidance = time.Second

// start sends the start order for a committed attempt until the worker answers or
// the order's deadline, startValidity after decidedAt, has passed. If the attempt has
// certainly not started, it commits its end.
func (s *session) start(o StartOrder, decidedAt time.Duration) {
	key := attemptKey{o.Task, o.Run}
	s.mu.Lock()
	o.DeadlineMS = s.clock.estimate(decidedAt) + startValidity.Milliseconds()
	s.latestLeaseEnd = max(s.latestLeaseEnd, s.clock.certainlyPassed(o.DeadlineMS))
	s.lastGrant = s.t.leader.Clock.Now()
	info := s.attemptInfo(key)
	info.deadlineMS, info.startInFlight = o.DeadlineMS, true
	s.mu.Unlock()
	s.wakeUp()
	answer, certain := s.sendStart(&o, decidedAt+startValidity)
	now := s.t.leader.Clock.Now()
	s.mu.Lock()
	info.startInFlight = false
	if answer == Done {
		info.confirmed, info.confirmedAt, info.startAnsweredAt = true, now, now
	}
	s.mu.Unlock()
	if answer == Done {
		s.commitStarted(key)
		return
	}
	s.t.leader.Logger.Warn("start failed", logging.Step("start"), logging.Peer(s.target.ID), logging.Job(o.Task.Job), "task", position(o.Task), "run", o.Run, "answer", answer.String(), "certain", certain)
	switch answer {
	case BadTicket:
		s.t.advice.expireTicket(o.Task.StepKey, s.target.ID)
	case WrongIncarnation, Unhealthy, NoCapacity, 0:
		s.avoid(now, failedStartAvoidance)
	}
	if !certain {
		return // a later listing shows whether it has started
	}
	if err := s.t.commitUnstarted(s.target.ID, s.born, o.Task, o.Run); err != nil {
		s.t.leader.Logger.Warn("failed to commit the end of an attempt that did not start", logging.Step("note ends"), logging.Peer(s.target.ID), logging.Error(err))
	}
}

// position returns the occurrence, step and index of a task for logs.
func position(k cell.TaskKey) [3]int { return [3]int{k.Occurrence, k.Step, k.Index} }

// sendStart returns the answer, 0 if there is none. certain applies if the answer
// is not Done: it reports whether the attempt has certainly not started and never
// will.
func (s *session) sendStart(o *StartOrder, until time.Duration) (answer OrderAnswer, certain bool) {
	certain = true
	key := attemptKey{o.Task, o.Run}
	for s.t.leader.Clock.Now() < until && s.ctx.Err() == nil {
		if !s.t.leads() || s.isReplaced() {
			return 0, certain
		}
		sent := s.t.leader.Clock.Now()
		s.t.outstanding.trySending(s.target.ID, key)
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		r, err := s.t.leader.Workers.Start(ctx, s.target, o)
		cancel()
		var unsent *NotSentError
		switch {
		case errors.As(err, &unsent):
			s.t.outstanding.tryAnswered(s.target.ID, key)
			s.callUnanswered(sent)
			s.t.pause(retryDelay)
			continue
		case err != nil:
			// The delay counts from the end of the call: the process may have been paused before
			// it sent the order.
			isFirst := s.t.outstanding.tryUnanswered(s.target.ID, key, s.t.leader.Clock.Now())
			s.t.leader.metrics.unansweredStarts.Inc(1)
			s.callUnanswered(sent)
			certain = false
			if isFirst && !s.commitUnanswered(key) {
				return 0, false
			}
			if left := retryDelay - (s.t.leader.Clock.Now() - sent); left > 0 {
				s.t.pause(left) // the call failed at once
			}
			continue
		}
		s.t.outstanding.tryAnswered(s.target.ID, key)
		if s.answeredBySuccessor(sent, &r) {
			s.callUnanswered(sent)
			s.incarnationInDoubt(s.t.leader.Clock.Now())
			return 0, false
		}
		s.callAnswered(sent, r.ClockMS, s.t.leader.Clock.Now())
		// A stale run may have been started or stopped by an earlier try of this
		// order.
		return r.Answer, certain && r.Answer != StaleRun && r.Answer != StaleFence
	}
	return 0, certain
}

// commitUnanswered commits that a try of the start order for an attempt had no answer, so that later
// leaders know that it may still be carried out. Without it the order must not be sent again.
func (s *session) commitUnanswered(k attemptKey) bool {
	err := s.t.commitEnds(&cell.RecordEnds{Worker: s.target.ID, Born: s.born, Unanswered: []cell.StartedAttempt{{Task: k.task, Run: k.run}}})
	if err != nil {
		s.t.leader.Logger.Warn("failed to commit that a start was not answered", logging.Step("start"), logging.Peer(s.target.ID), logging.Job(k.task.Job), logging.Error(err))
	}
	return err == nil
}

// stop orders the worker to stop an attempt or to reject its start.
func (s *session) stop(task cell.TaskKey, run uint32) {
	if !s.t.leads() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	r, err := s.t.leader.Workers.Stop(ctx, s.target, &StopOrder{Task: task, Run: run, Fence: s.fence})
	if err != nil || r.Answer != Done {
		s.t.leader.Logger.Info("stop not answered", logging.Step("stop"), logging.Peer(s.target.ID), logging.Job(task.Job), "run", run, "answer", r.Answer.String(), "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if info := s.attemptInfo(attemptKey{task, run}); !info.stopped {
		info.stopped, info.stoppedAt = true, s.t.leader.Clock.Now()
	}
}
