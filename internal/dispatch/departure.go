package dispatch

import (
	"context"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
)

// departureWait is how long the acknowledgement of a departure waits until the attempts on
// the worker have been stopped. Once it is acknowledged the worker ends, and then only the
// expiry of its lease shows that nothing runs there. Callers repeat a call after 450 ms.
const departureWait = 300 * time.Millisecond

// processDeparture handles the announcement of an incarnation that it is shutting down. born
// is 0 if the announcement does not state it. The worker may run its attempts until it has
// received the answer, or some seconds longer if that is lost. So they are stopped, and stay
// committed until it is certain that they have ended; a later leader goes on with it.
func (t *term) processDeparture(ctx context.Context, id string, born int64) (reply *cellapi.Reply, committed bool) {
	departing, _ := t.departingReport(id, born)
	if departing == nil {
		return &cellapi.Reply{Verdict: cell.Accepted}, false
	}
	if _, err := t.commitOnce(ctx, &cell.Command{Register: departing}, nil); err != nil {
		return t.leader.failure(err), true
	}
	// From here on the worker gets no new attempts.
	departing, attempts := t.departingReport(id, departing.Born)
	if departing == nil {
		return &cellapi.Reply{Verdict: cell.Accepted}, true
	}
	if attempts == 0 {
		if err := t.commitDeregistration(ctx, departing); err != nil {
			// The first commit was carried out, so the call is not refused as a whole.
			return &cellapi.Reply{Unknown: err.Error()}, true
		}
		return &cellapi.Reply{Verdict: cell.Accepted}, true
	}
	t.leader.Logger.Info("worker is leaving", logging.Step("deregister"), logging.Peer(id), "born", departing.Born, "attempts", attempts)
	t.awaitDeparture(ctx, id, departing.Born)
	return &cellapi.Reply{Verdict: cell.Accepted}, true
}

// departingReport returns the report that marks an incarnation as departing, and the number of
// its attempts. The report is nil if it has left or is not known.
func (t *term) departingReport(id string, born int64) (r *cell.Register, attempts int) {
	t.leader.Store.View(func(v *cell.View) {
		w := v.Worker(id)
		if w == nil || w.Gone || born != 0 && born != w.Born {
			return
		}
		r = &cell.Register{
			ID: w.ID, Born: w.Born, Address: w.Address, DataCentre: w.DataCentre, Service: w.Service,
			Capacity: w.Capacity, Labels: w.Labels, Rack: w.Rack, Draining: true, Departing: true,
		}
		attempts = len(w.Attempts)
	})
	return r, attempts
}

// awaitDeparture waits until nothing runs on a departing incarnation, for departureWait at
// most.
func (t *term) awaitDeparture(ctx context.Context, id string, born int64) {
	s := t.session(id, born)
	if s == nil {
		return
	}
	s.wakeUp()
	timer := time.NewTimer(departureWait)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
	case <-ctx.Done():
	case <-timer.C:
	}
}

// commitDeregistration commits that a departing incarnation has left, of which nothing runs
// any more. departing is the report that marked it as departing.
func (t *term) commitDeregistration(ctx context.Context, departing *cell.Register) error {
	r := *departing
	r.Departing, r.Deregistered = false, true
	if _, err := t.commitOnce(ctx, &cell.Command{Register: &r}, nil); err != nil {
		t.leader.Logger.Warn("failed to commit that a worker has left", logging.Step("deregister"), logging.Peer(r.ID), logging.Error(err))
		return err
	}
	t.leader.Logger.Info("worker has left", logging.Step("deregister"), logging.Peer(r.ID), "born", r.Born)
	return nil
}

// commitDepartedEnds commits the ends of attempts on a departing incarnation. Its end is no
// crash, so nothing is left to be resolved.
func (s *session) commitDepartedEnds(ended []cell.StartedAttempt) {
	c := &cell.RecordEnds{Worker: s.target.ID, Born: s.born}
	for _, a := range ended {
		c.Ends = append(c.Ends, cell.AttemptEnd{Task: a.Task, Run: a.Run, Outcome: cell.EndedEarly, Checkpoint: s.checkpointOf(attemptKey{a.Task, a.Run})})
	}
	s.commitListed(c, s.t.leader.Clock.Now())
}

// endDeparture commits that a departing incarnation without attempts has left. run repeats
// it if it fails.
func (s *session) endDeparture() {
	if r, _ := s.t.departingReport(s.target.ID, s.born); r != nil && s.t.commitDeregistration(s.ctx, r) != nil {
		s.t.pause(retryDelay)
	}
}
