package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
)

const (
	// minPlanGap is the shortest time between two plans, so that events that
	// arrive together are handled by one plan.
	minPlanGap = 8 * time.Millisecond
	// housekeepingInterval is the shortest time between two searches for workers without a
	// session and for attempts that should not run, which look at all workers.
	housekeepingInterval = 40 * time.Millisecond
	// stopRetryInterval is how long the leader waits before it repeats a stop
	// order for an attempt that has not ended.
	stopRetryInterval = 400 * time.Millisecond
)

// term holds what a leader has beyond the replicated state. It is discarded at the
// end of the leadership and rebuilt by the next leader.
type term struct {
	leader *Leader
	ctx    context.Context
	// number is the Raft term, which fences all orders.
	number uint64
	began  time.Duration
	// lease is the duration of workers' leases, and shortLease that for workers
	// all of whose attempts belong to jobs that need a short lease.
	lease      time.Duration
	shortLease time.Duration
	// inheritedRecordAt is when the workers sent, at the earliest, the newest reports that an
	// earlier leader has processed; it is valid if recordsInherited is set.
	inheritedRecordAt time.Duration
	recordsInherited  bool
	advice            *adviceBroker
	outstanding       outstandingStarts
	// workersReturn is set once a worker has come back under its ID.
	workersReturn atomic.Bool
	stats         *workerStats
	// cold holds until when workers are slow after their start.
	cold coldWorkers
	// load decides on submissions.
	load *loadWatch
	// wall is the wall-clock time that the control processes agree on.
	wall *wallClock
	// reserved maps a worker to the gang for which the last plan reserved it. Only
	// the planner's goroutine uses it.
	reserved map[string]cell.StepKey
	// attemptCopies is shared by the plans. Only the planner's goroutine uses it.
	attemptCopies attemptCopies
	// planTime is how long a plan may take until the next one begins.
	planTime time.Duration
	// window is what plans look at when there are more steps than one can. Only the planner's
	// goroutine uses it.
	window planWindow
	// turnDelay is that of the plans. Only the planner's goroutine uses it.
	turnDelay turnDelay
	// housekeepingAt is when sessions and unwanted attempts were last looked for. Only the
	// planner's goroutine uses it.
	housekeepingAt time.Duration
	// successorRegistered is set once a later incarnation of a worker has registered: orders for the
	// earlier one can have an effect on it until it has been called.
	successorRegistered atomic.Bool
	// isolation is that of the last plan. Only the planner's goroutine uses it.
	isolation isolation
	// waitReportAt and attemptReportAt are when the next reports are due, and unconfirmed
	// holds the attempts in the last one of the latter. Only the planner's goroutine uses
	// them.
	waitReportAt    time.Duration
	attemptReportAt time.Duration
	unconfirmed     map[stopKey]bool
	// endedDataForgotten is when the data of ended jobs was last dropped. Only the
	// planner's goroutine uses it.
	endedDataForgotten time.Duration
	// movesAt is when running tasks were last looked for that should move. Only the planner's
	// goroutine uses it.
	movesAt    time.Duration
	goroutines sync.WaitGroup

	mu sync.Mutex
	// sessions holds the session of each worker's newest incarnation by worker ID.
	sessions map[string]*session
	// cordoned workers get no new attempts because their machines are about to be
	// taken down.
	cordoned map[string]bool
	// synced is set once every incarnation that may hold a lease of an earlier
	// leader has a session.
	synced bool
	// times holds the timing of the occurrences of active jobs that have had a
	// ready step.
	times map[cell.OccurrenceKey]jobTiming
	// lastPreemption is when tasks were last preempted for a gang; preemptions
	// counts how often each task was preempted.
	lastPreemption map[cell.StepKey]time.Duration
	preemptions    map[cell.TaskKey]int
	// moving holds the tasks that are being moved out of evacuated data centres.
	moving map[cell.TaskKey]move
	// stalls holds the tasks that were stopped because they made no progress.
	stalls map[cell.TaskKey]taskStalls
	// lastStopOrder is when a stop order was last sent for an unwanted attempt.
	lastStopOrder map[stopKey]time.Duration

	// commits holds the commands of callers that are being committed.
	commits pendingCommits
}

// jobTiming is the timing of an occurrence of an active job.
type jobTiming struct {
	// firstSeen is when this leader first saw a ready step of the occurrence, or when an
	// earlier leader accepted the job.
	firstSeen time.Duration
	// objective is the time after firstSeen within which the job should be
	// complete.
	objective time.Duration
	// daemon is set if a step of the job is a daemon, which runs until the job is
	// cancelled.
	daemon bool
}

// needsShortLease reports whether the job would miss its objective if its work had
// to wait until a lease of the normal duration expires.
func (j jobTiming) needsShortLease() bool { return !j.daemon && j.objective < leaseDuration }

// stopKey identifies an attempt on a worker.
type stopKey struct {
	worker string
	task   cell.TaskKey
	run    uint32
}

func newTerm(ctx context.Context, l *Leader, number uint64, now time.Duration) *term {
	t := &term{
		leader:         l,
		ctx:            ctx,
		number:         number,
		began:          now,
		lease:          min(leaseDuration, l.Bounds.MaxLease),
		shortLease:     min(shortLeaseDuration, l.Bounds.MaxLease),
		sessions:       map[string]*session{},
		times:          map[cell.OccurrenceKey]jobTiming{},
		lastPreemption: map[cell.StepKey]time.Duration{},
		preemptions:    map[cell.TaskKey]int{},
		moving:         map[cell.TaskKey]move{},
		stalls:         map[cell.TaskKey]taskStalls{},
		wall:           newWallClock(),
		cordoned:       map[string]bool{},
		lastStopOrder:  map[stopKey]time.Duration{},
		stats:          newWorkerStats(),
		planTime:       maxPlanTime,
	}
	t.advice = newAdviceBroker(t)
	t.load = newLoadWatch(t)
	return t
}

// inheritRecords states when this process last followed another leader, if it has.
func (t *term) inheritRecords(followedAt time.Duration, hasFollowed bool) {
	t.inheritedRecordAt, t.recordsInherited = followedAt-maxLeaderSilence-reportInterval, hasFollowed
}

// spawn runs f in a goroutine that wait waits for.
func (t *term) spawn(f func()) {
	t.goroutines.Add(1)
	go func() {
		defer t.goroutines.Done()
		f()
	}()
}

func (t *term) wait() { t.goroutines.Wait() }

// leads reports whether this term holds the leader's lease, so that it may send
// orders.
func (t *term) leads() bool {
	_, leads := t.leader.Log.Lease()
	number, _ := t.leader.Log.Term()
	return leads && number == t.number && t.ctx.Err() == nil
}

// isCurrent reports whether no later leader is known. While the lease is missing
// the term sends no orders but keeps its data, since the lease is lost for a
// moment when a voter is replaced or answers late.
func (t *term) isCurrent() bool {
	number, _ := t.leader.Log.Term()
	_, address := t.leader.Log.Leader()
	return t.ctx.Err() == nil && number == t.number && (address == t.leader.PeerAddress || t.leads())
}

// pause waits for d and reports whether the term continues.
func (t *term) pause(d time.Duration) bool { return cellapi.Pause(t.ctx, d) }

// run makes plans until another leader takes over or the context ends.
func (t *term) run() {
	t.spawn(t.forgetEndedJobs)
	t.spawn(t.runUpkeep)
	t.spawn(t.load.run)
	t.spawn(t.adoptFormat)
	ticker := time.NewTicker(maxPlanInterval)
	defer ticker.Stop()
	for t.isCurrent() {
		if !t.leads() {
			t.pause(leadershipPollInterval) // the lease may be regained before another process leads
			continue
		}
		use := t.newProcessorUse()
		if now := t.leader.Clock.Now(); now >= t.housekeepingAt+housekeepingInterval || t.successorRegistered.Swap(false) || !t.isSynced() {
			t.housekeepingAt = now
			t.syncSessions()
			t.stopUnwanted()
			t.endMoves(now)
			t.reportUnconfirmedAttempts()
		}
		use.stop()
		t.openDueOccurrences()
		if !t.pause(planPause(use.used + t.planOnce())) {
			return
		}
		select {
		case <-t.ctx.Done():
			return
		case <-t.leader.wake:
		case <-ticker.C:
		}
	}
}

// isSynced reports whether every incarnation of before the term has a session.
func (t *term) isSynced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced
}

// session returns the session of an incarnation of a worker, nil if there is none.
func (t *term) session(worker string, born int64) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sessions[worker]; s != nil && s.born == born {
		return s
	}
	return nil
}

// sessionOf returns the session of the newest incarnation of a worker, nil if
// there is none.
func (t *term) sessionOf(worker string) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sessions[worker]
}

// syncSessions starts a session for each new incarnation and for each incarnation
// whose address has changed. It wakes sessions that wait for attempts although the
// state has some: their order may never have been sent.
func (t *term) syncSessions() {
	var newSessions []*session
	t.leader.Store.View(func(v *cell.View) {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, w := range v.Workers() {
			if w.Lives > 0 {
				t.workersReturn.Store(true)
			}
		}
		for id, w := range v.Workers() {
			s := t.sessions[id]
			if s != nil && s.born == w.Born && s.target.Address == w.Address {
				if len(w.Attempts) > 0 && s.idle.Load() {
					s.wakeUp()
				}
				continue
			}
			if !t.synced {
				t.outstanding.addEarlier(w, t.began, t.workersReturn.Load())
			}
			if w.Gone && len(w.Attempts) == 0 {
				continue
			}
			started := newSession(t, w, !t.synced)
			if s != nil {
				s.cancel()
				if s.born == w.Born {
					started.copyStateFrom(s)
				}
			}
			t.sessions[id] = started
			newSessions = append(newSessions, started)
		}
		t.synced = true
	})
	for _, s := range newSessions {
		t.spawn(s.run)
	}
}

// runningJobs returns the jobs of the attempts that their workers have started or listed.
func (t *term) runningJobs() map[string]bool {
	t.mu.Lock()
	sessions := slices.Collect(maps.Values(t.sessions))
	t.mu.Unlock()
	running := map[string]bool{}
	for _, s := range sessions {
		for _, job := range s.runningJobs() {
			running[job] = true
		}
	}
	return running
}

// observeReport passes a report to the worker's session. It returns false if the session
// has seen a later report.
func (t *term) observeReport(r *cellapi.Report) bool {
	s := t.session(r.ID, r.Born)
	return s == nil || s.observeReport(r, t.leader.Clock.Now())
}

// confirmRecord passes a report that agrees with its worker's record to the worker's
// session.
func (t *term) confirmRecord(r *cellapi.Report, arrived time.Duration) {
	if s := t.session(r.ID, r.Born); s != nil {
		s.confirmRecord(r, arrived)
	}
}

// stopUnwanted sends stop orders for attempts whose job has ended, whose gang is no longer
// complete, whose worker is shutting down, or that an incarnation of another kind has inherited.
func (t *term) stopUnwanted() {
	now := t.leader.Clock.Now()
	var orders []stopKey
	t.leader.Store.View(func(v *cell.View) {
		for id, w := range v.Workers() {
			if w.Gone {
				continue
			}
			for key, a := range w.Attempts {
				if w.Departing || !wanted(v, key, a.Run) || !v.Suits(w, key) {
					orders = append(orders, stopKey{id, key, a.Run})
				}
			}
		}
	})
	for _, o := range orders {
		t.mu.Lock()
		last, sent := t.lastStopOrder[o]
		due := !sent || now-last > stopRetryInterval
		if due {
			t.lastStopOrder[o] = now
		}
		s := t.sessions[o.worker]
		t.mu.Unlock()
		if due && s != nil {
			t.spawn(func() { s.stop(o.task, o.run) })
		}
	}
	if len(orders) == 0 {
		t.mu.Lock()
		clear(t.lastStopOrder)
		t.mu.Unlock()
	}
}

// wanted reports whether an attempt should continue to run.
func wanted(v *cell.View, key cell.TaskKey, run uint32) bool {
	j := v.Job(key.Job)
	if j == nil || j.State != cell.Active || key.Occurrence >= len(j.Occurrences) {
		return false
	}
	step, occurrence := &j.Steps[key.Step], &j.Occurrences[key.Occurrence][key.Step]
	if occurrence.Tasks[key.Index].Run != run {
		return false
	}
	return !step.Gang || occurrence.Done == len(occurrence.Tasks) || occurrence.InFlight == len(occurrence.Tasks)
}

// openDueOccurrences commits the occurrences of scheduled jobs that are due.
func (t *term) openDueOccurrences() {
	now := t.leader.Clock.Now()
	if t.wall.samples(now) < minWallSamples && now-t.began < wallSettleTime {
		return // the wall clock of this process alone may have been stepped
	}
	nowMS := t.wall.unixMS(now)
	var due []cell.OccurrenceKey
	t.leader.Store.View(func(v *cell.View) {
		for id, j := range v.Scheduled() {
			next := len(j.Occurrences)
			if nowMS >= j.Schedule.StartMS+int64(next)*j.Schedule.IntervalMS {
				due = append(due, cell.OccurrenceKey{Job: id, Number: next})
			}
		}
	})
	if len(due) == 0 {
		return
	}
	if _, err := t.leader.propose(t.ctx, &cell.Command{OpenOccurrences: &cell.OpenOccurrences{Occurrences: due}}); err != nil {
		t.leader.Logger.Warn("failed to commit due occurrences", logging.Step("open occurrences"), "occurrences", len(due), logging.Error(err))
		return // retried with the next plan
	}
	for _, o := range due {
		t.leader.Logger.Info("occurrence due", logging.Step("open occurrences"), logging.Job(o.Job), "occurrence", o.Number, "unix_ms", nowMS, "clocks", t.wall.samples(now))
	}
}

// commitEnds commits ends of attempts on a worker.
func (t *term) commitEnds(c *cell.RecordEnds) error {
	_, err := t.leader.propose(t.ctx, &cell.Command{RecordEnds: c})
	return err
}

// commitUnstarted commits that an attempt was never started.
func (t *term) commitUnstarted(worker string, born int64, task cell.TaskKey, run uint32) error {
	return t.commitEnds(&cell.RecordEnds{Worker: worker, Born: born, Ends: []cell.AttemptEnd{{Task: task, Run: run, Outcome: cell.EndedUnstarted}}})
}

// logEndedJobs logs the jobs that ended together with the given attempts.
func (t *term) logEndedJobs(ends []cell.AttemptEnd) {
	for i := range ends {
		state := cell.Active
		t.leader.Store.View(func(v *cell.View) {
			if j := v.Job(ends[i].Task.Job); j != nil {
				state = j.State
			}
		})
		if state == cell.Complete || state == cell.Failed {
			t.leader.Logger.Info("job ended", logging.Step("note ends"), logging.Job(ends[i].Task.Job), "state", state.String())
		}
	}
}
