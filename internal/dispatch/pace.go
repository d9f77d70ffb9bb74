package dispatch

import (
	"context"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

const (
	// fullPace is the speed of an attempt after its start, in percent.
	fullPace = 100
	// initialFillerPace is the speed of fillers when a serving task joins them, in
	// percent, until listings show how much the serving task is disturbed.
	initialFillerPace = 30
	// paceStep is by how many percent fillers speed up with each listing.
	paceStep = 10
	// Thresholds for the response time tail of a serving task as a share of its
	// target. Fillers slow down above slowDownTail, stop above stopTail and speed
	// up below speedUpTail. The load changes within seconds, so the thresholds
	// leave a margin to the target.
	slowDownTail, stopTail, speedUpTail = 0.8, 0.95, 0.6
)

// nextPace returns the new speed limit of a worker's fillers, in percent. tail is
// the worst response time tail of a serving task as a share of its target.
func nextPace(pace int, tail float64) int {
	switch {
	case tail > stopTail:
		return 0
	case tail > slowDownTail:
		return pace / 2
	case tail < speedUpTail:
		return min(fullPace, pace+paceStep)
	}
	return pace
}

// worstTail returns the highest response time tail of a serving task as a share of
// its target, and whether there is a serving task.
func worstTail(listing *AttemptListing, targets map[cell.TaskKey]int64) (tail float64, serves bool) {
	for i := range listing.Running {
		r := &listing.Running[i]
		if target := targets[r.Task]; target > 0 {
			tail, serves = max(tail, r.Load/float64(target)), true
		}
	}
	return tail, serves
}

// pace adapts the speed of the worker's fillers to the serving tasks beside them.
func (s *session) pace(listing *AttemptListing, state *workerState) {
	tail, serves := worstTail(listing, state.targets)
	s.mu.Lock()
	before := s.fillerPace
	switch {
	case !serves:
		s.fillerPace = fullPace
	case !s.serves:
		s.fillerPace = min(initialFillerPace, nextPace(initialFillerPace, tail))
	default:
		s.fillerPace = nextPace(s.fillerPace, tail)
	}
	s.serves = serves
	percent := s.fillerPace
	var orders []PaceOrder
	for i := range listing.Running {
		r := &listing.Running[i]
		if a, ok := state.attempts[r.Task]; !ok || a.Run != r.Run || !a.Filler {
			continue
		}
		if info := s.attemptInfo(attemptKey{r.Task, r.Run}); info.speedReduction != fullPace-percent {
			orders = append(orders, PaceOrder{Task: r.Task, Run: r.Run, SpeedPercent: percent, Fence: s.fence})
		}
	}
	s.mu.Unlock()
	if before != percent && len(orders) > 0 {
		s.t.leader.Logger.Info("fillers paced", logging.Step("pace"), logging.Peer(s.target.ID), "percent", percent, "before", before, "tail_of_target", tail, "fillers", len(orders))
	}
	for _, o := range orders {
		s.t.spawn(func() { s.sendPace(&o) })
	}
}

// sendPace sends one pace order. If it fails, the next listing leads to another
// one.
func (s *session) sendPace(o *PaceOrder) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	r, err := s.t.leader.Workers.Pace(ctx, s.target, o)
	if err != nil || r.Answer != Done {
		s.t.leader.Logger.Info("pace order failed", logging.Step("pace"), logging.Peer(s.target.ID), logging.Job(o.Task.Job), "run", o.Run, "answer", r.Answer.String(), "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptInfo(attemptKey{o.Task, o.Run}).speedReduction = fullPace - o.SpeedPercent
}
