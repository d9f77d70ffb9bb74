package dispatch

import (
	"context"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

const (
	// fullPace is the pace at which an attempt starts, in percent.
	fullPace = 100
	// firstPace is that of fillers on a worker with serving tasks, until it is
	// known how much these bear.
	firstPace = 30
	// paceStep is by how much fillers speed up with each listing, in percent.
	paceStep = 10
	// The tail of a serving task against its target: fillers slow down above the
	// first, stop above the second, and speed up below the third. What disturbs
	// changes within seconds, so there is room to the target itself.
	slowTail, stopTail, easyTail = 0.8, 0.95, 0.6
)

// nextPace returns the pace of the fillers of a worker after a listing in which the
// worst tail of a serving task was a share of its target.
func nextPace(pace int, tail float64) int {
	switch {
	case tail > stopTail:
		return 0
	case tail > slowTail:
		return pace / 2
	case tail < easyTail:
		return min(fullPace, pace+paceStep)
	}
	return pace
}

// worstTail returns the highest tail of a serving task against its target, and
// whether any serves.
func worstTail(listing *AttemptListing, targets map[cell.TaskKey]int64) (tail float64, serves bool) {
	for i := range listing.Running {
		r := &listing.Running[i]
		if target := targets[r.Task]; target > 0 {
			tail, serves = max(tail, r.Load/float64(target)), true
		}
	}
	return tail, serves
}

// pace slows the fillers of the worker down as the tasks that serve beside them
// need it.
func (s *session) pace(listing *AttemptListing, state *local) {
	tail, serves := worstTail(listing, state.targets)
	s.mu.Lock()
	before := s.fillerPace
	switch {
	case !serves:
		s.fillerPace = fullPace
	case !s.serves:
		s.fillerPace = min(firstPace, nextPace(firstPace, tail))
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
		if info := s.info(attemptKey{r.Task, r.Run}); info.slowedBy != fullPace-percent {
			orders = append(orders, PaceOrder{Task: r.Task, Run: r.Run, SpeedPercent: percent, Fence: s.t.number})
		}
	}
	s.mu.Unlock()
	if before != percent && len(orders) > 0 {
		s.t.l.Logger.Info("fillers paced", logging.Step("pace"), logging.Peer(s.target.ID), "percent", percent, "before", before, "tail_of_target", tail, "fillers", len(orders))
	}
	for _, o := range orders {
		s.t.spawn(func() { s.sendPace(&o) })
	}
}

// sendPace sends one order; one without an answer is sent again after the next
// listing.
func (s *session) sendPace(o *PaceOrder) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	r, err := s.t.l.Workers.Pace(ctx, s.target, o)
	if err != nil || r.Answer != Done {
		s.t.l.Logger.Info("pace not answered", logging.Step("pace"), logging.Peer(s.target.ID), logging.Job(o.Task.Job), "run", o.Run, "answer", r.Answer.String(), "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.info(attemptKey{o.Task, o.Run}).slowedBy = fullPace - o.SpeedPercent
}
