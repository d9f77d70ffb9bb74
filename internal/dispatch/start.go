package dispatch

import (
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
)

// taskPlanned is the message of the log line for a placement whose start order is sent.
const taskPlanned = "task planned"

// startAttempt sends the start order of a committed placement.
func (t *term) startAttempt(p *cell.Placement) {
	s := t.session(p.Worker, p.Born)
	if s == nil {
		return // the incarnation has ended, and its attempts with it
	}
	o := StartOrder{Task: p.Task, Run: p.Run, Fence: s.fence}
	// The deadline of the order counts from before the state is looked at, so that a delay
	// afterwards does not make the order valid for longer after a change of the state.
	decidedAt := t.leader.Clock.Now()
	t.mu.Lock()
	timing := t.times[p.Task.OccurrenceKey()]
	t.mu.Unlock()
	var expected time.Duration
	ratios := t.stats.queueRatios()
	started := func() {} // a job without a queue belongs to no class
	found, current := false, s.recordIsCurrent(t.leader.Clock.Now())
	t.leader.Store.View(func(v *cell.View) {
		j, w := v.Job(p.Task.Job), v.Worker(p.Worker)
		if j == nil || j.State != cell.Active || w == nil || w.Born != p.Born || w.Attempts[p.Task].Run != p.Run || !current || w.Overcommitted() || v.IsEvacuated(w.DataCentre) {
			return
		}
		found = true
		o.Spec = j.Spec
		step, ratio := &j.Steps[p.Task.Step], ratios.of(queueName(v, j))
		if !step.Daemon {
			expected = expectedDuration(step.EstimateMS, ratio)
		}
		o.Checkpoint = j.Occurrences[p.Task.Occurrence][p.Task.Step].Tasks[p.Task.Index].Checkpoint
		q := v.QueueOf(j)
		if q == nil {
			return
		}
		team := j.Team
		started = func() {
			t.load.taskStarted(team, classOf(j, q, ratio, timing, decidedAt), waitingTasks(step, ratio, 1))
		}
		if q.Advice != nil {
			o.Ticket = t.advice.ticket(p.Task.StepKey, p.Worker)
		}
	})
	if !found {
		// The job was cancelled, the worker has shrunk or may have, or its data centre was
		// evacuated, between the commit and the order, so the attempt never starts.
		t.spawn(func() {
			if err := t.commitUnstarted(p.Worker, p.Born, p.Task, p.Run); err != nil {
				t.leader.Logger.Warn("failed to commit the end of an attempt that did not start", logging.Step("note ends"), logging.Peer(p.Worker), logging.Error(err))
			}
		})
		return
	}
	started()
	t.cold.taskStarted(incarnation{p.Worker, p.Born}, decidedAt)
	t.leader.metrics.wait.RecordDuration(t.leader.Clock.Now() - timing.firstSeen)
	if !logging.Drops(t.leader.Logger, taskPlanned) {
		t.leader.Logger.Info(taskPlanned, logging.Step("plan"), logging.Job(p.Task.Job), "task", position(p.Task), "run", p.Run, logging.Peer(p.Worker),
			"since_seen_ms", (t.leader.Clock.Now() - timing.firstSeen).Milliseconds(), "factor", t.stats.factorOf(p.Worker), "saved", o.Checkpoint != "")
	}
	s.expectAttempt(attemptKey{p.Task, p.Run}, expected)
	t.spawn(func() { s.start(o, decidedAt) })
}
