package dispatch

import (
	"context"
	"sync"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
)

const (
	// planGap is the least time between two plans, so that events that arrive
	// together are planned together.
	planGap = 8 * time.Millisecond
	// stopRepeat is after how long a stop without effect is sent again.
	stopRepeat = 400 * time.Millisecond
)

// term is what a leader knows beyond the replicated state. It is lost with the
// leadership and learned anew by the next leader.
type term struct {
	l      *Leader
	ctx    context.Context
	number uint64
	began  time.Duration
	// lease is the length of the leases of workers, briefLease that of those with
	// brief work only.
	lease      time.Duration
	briefLease time.Duration
	advice     *adviceDesk
	speeds     *speedBook
	wall       *wallClock
	// reserved is what the last plan kept for gangs; it belongs to the planner.
	reserved map[string]cell.StepKey
	tasks    sync.WaitGroup

	mu       sync.Mutex
	sessions map[string]*session
	// cordoned workers get no new work: their machines are about to go down.
	cordoned map[string]bool
	// synced is set once all lives that an earlier leader may have given leases to
	// have a session.
	synced bool
	// times holds what the leader knows of occurrences of active jobs that had a
	// ready step.
	times map[cell.OccurrenceKey]jobTimes
	// preempted is when tasks last gave way to a gang, gaveWay how often a task did.
	preempted map[cell.StepKey]time.Duration
	gaveWay   map[cell.TaskKey]int
	stops     map[stopKey]time.Duration
}

// jobTimes are the times of an occurrence of an active job.
type jobTimes struct {
	// arrived is when the leader first saw the occurrence.
	arrived time.Duration
	// objective is the time in which the job is meant to be complete.
	objective time.Duration
	// lasting jobs run until they are cancelled.
	lasting bool
}

// brief reports whether the job is late anyway if its work waits for the end of
// a long lease.
func (j jobTimes) brief() bool { return !j.lasting && j.objective < leaseLength }

type stopKey struct {
	worker string
	task   cell.TaskKey
	run    uint32
}

func newTerm(ctx context.Context, l *Leader, number uint64, now time.Duration) *term {
	t := &term{
		l: l, ctx: ctx, number: number, began: now, lease: min(leaseLength, l.Bounds.MaxLease), briefLease: min(briefLease, l.Bounds.MaxLease), sessions: map[string]*session{},
		times: map[cell.OccurrenceKey]jobTimes{}, preempted: map[cell.StepKey]time.Duration{}, gaveWay: map[cell.TaskKey]int{}, wall: newWallClock(), cordoned: map[string]bool{}, stops: map[stopKey]time.Duration{}, speeds: newSpeedBook(),
	}
	t.advice = newAdviceDesk(t)
	return t
}

// spawn runs f; wait returns only after it has.
func (t *term) spawn(f func()) {
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		f()
	}()
}

func (t *term) wait() { t.tasks.Wait() }

// leads reports whether orders may still be given.
func (t *term) leads() bool {
	_, leads := t.l.Log.Lease()
	number, _ := t.l.Log.Term()
	return leads && number == t.number && t.ctx.Err() == nil
}

// holdsOffice reports whether no later leader is known. Without the lease no order
// is given, but what the term has learned is kept: a lease is lost for a moment when
// a voter is replaced or answers late.
func (t *term) holdsOffice() bool {
	number, _ := t.l.Log.Term()
	_, address := t.l.Log.Leader()
	return t.ctx.Err() == nil && number == t.number && (address == t.l.PeerAddress || t.leads())
}

// pause waits and reports whether the term goes on.
func (t *term) pause(d time.Duration) bool { return cellapi.Pause(t.ctx, d) }

// run plans until the lease is lost.
func (t *term) run() {
	t.spawn(t.forgetEnded)
	t.spawn(t.keepMachines)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for t.holdsOffice() {
		if !t.leads() {
			t.pause(leadInterval) // the lease may come back before another leads
			continue
		}
		t.syncSessions()
		t.stopUnwanted()
		t.openDue()
		t.planOnce()
		if !t.pause(planGap) {
			return
		}
		select {
		case <-t.ctx.Done():
			return
		case <-t.l.wake:
		case <-ticker.C:
		}
	}
}

// session returns the session of a worker's life, nil if there is none.
func (t *term) session(worker string, born int64) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sessions[worker]; s != nil && s.born == born {
		return s
	}
	return nil
}

// sessionOf returns the session of a worker, nil if there is none.
func (t *term) sessionOf(worker string) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sessions[worker]
}

// syncSessions starts a session for each life of a worker.
func (t *term) syncSessions() {
	var fresh []*session
	t.l.Store.View(func(v *cell.View) {
		t.mu.Lock()
		defer t.mu.Unlock()
		for id, w := range v.Workers() {
			s := t.sessions[id]
			if s != nil && s.born == w.Born && s.target.Address == w.Address {
				continue
			}
			if w.Gone && len(w.Attempts) == 0 {
				continue
			}
			n := newSession(t, w, !t.synced)
			if s != nil {
				s.end()
				if s.born == w.Born {
					n.continueFrom(s)
				}
			}
			t.sessions[id] = n
			fresh = append(fresh, n)
		}
		t.synced = true
	})
	for _, s := range fresh {
		t.spawn(s.run)
	}
}

// heard takes in a report of a worker.
func (t *term) heard(r *cellapi.Report) {
	if s := t.session(r.ID, r.Born); s != nil {
		s.reported(r, t.l.Clock.Now())
	}
}

// stopUnwanted sends stops for attempts whose job has ended or whose gang is
// not complete any more.
func (t *term) stopUnwanted() {
	now := t.l.Clock.Now()
	var orders []stopKey
	t.l.Store.View(func(v *cell.View) {
		for id, w := range v.Workers() {
			if w.Gone {
				continue
			}
			for key, a := range w.Attempts {
				if !wanted(v, key, a.Run) {
					orders = append(orders, stopKey{id, key, a.Run})
				}
			}
		}
	})
	for _, o := range orders {
		t.mu.Lock()
		last, sent := t.stops[o]
		due := !sent || now-last > stopRepeat
		if due {
			t.stops[o] = now
		}
		s := t.sessions[o.worker]
		t.mu.Unlock()
		if due && s != nil {
			t.spawn(func() { s.stop(o.task, o.run) })
		}
	}
	if len(orders) == 0 {
		t.mu.Lock()
		clear(t.stops)
		t.mu.Unlock()
	}
}

// wanted reports whether an attempt is to go on.
func wanted(v *cell.View, key cell.TaskKey, run uint32) bool {
	j := v.Job(key.Job)
	if j == nil || j.State != cell.Active || key.Occurrence >= len(j.Occurrences) {
		return false
	}
	step, sr := &j.Steps[key.Step], &j.Occurrences[key.Occurrence][key.Step]
	if sr.Tasks[key.Index].Run != run {
		return false
	}
	return !step.Gang || sr.Done == len(sr.Tasks) || sr.InFlight == len(sr.Tasks)
}

// openDue makes the occurrences of scheduled jobs due when it is time.
func (t *term) openDue() {
	now := t.l.Clock.Now()
	if t.wall.samples(now) < wallSamples && now-t.began < wallSettle {
		return // this process's own clock may have been stepped
	}
	nowMS := t.wall.unixMS(now)
	var due []cell.OccurrenceKey
	t.l.Store.View(func(v *cell.View) {
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
	if _, err := t.l.propose(t.ctx, &cell.Command{OpenOccurrences: &cell.OpenOccurrences{Occurrences: due}}); err != nil {
		t.l.Logger.Warn("occurrences not opened", logging.Step("open occurrences"), "occurrences", len(due), logging.Error(err))
		return // tried again with the next plan
	}
	for _, o := range due {
		t.l.Logger.Info("occurrence due", logging.Step("open occurrences"), logging.Job(o.Job), "occurrence", o.Number, "unix_ms", nowMS, "clocks", t.wall.samples(now))
	}
}

// note commits ends of attempts on a worker.
func (t *term) note(worker string, born int64, upto uint64, ends []cell.AttemptEnd) error {
	_, err := t.l.propose(t.ctx, &cell.Command{RecordEnds: &cell.RecordEnds{Worker: worker, Born: born, LastEnd: upto, Ends: ends}})
	return err
}

// logEnded logs the jobs that ended with some attempts.
func (t *term) logEnded(ends []cell.AttemptEnd) {
	for i := range ends {
		state := cell.Active
		t.l.Store.View(func(v *cell.View) {
			if j := v.Job(ends[i].Task.Job); j != nil {
				state = j.State
			}
		})
		if state == cell.Complete || state == cell.Failed {
			t.l.Logger.Info("job ended", logging.Step("note ends"), logging.Job(ends[i].Task.Job), "state", state.String())
		}
	}
}
