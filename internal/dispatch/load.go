package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/overload"
	"laburnumgrade/internal/structs"
)

const (
	// loadInterval is how often the load is derived from the state, and latenessInterval how
	// often the lateness of the leader's goroutines is measured.
	loadInterval     = 200 * time.Millisecond
	latenessInterval = 50 * time.Millisecond
	// servedWeight is the weight of the newest interval in the average of what is started,
	// which covers some seconds: wide gangs start at long intervals.
	servedWeight = 0.08
	// loadReportInterval is how often refusals are logged.
	loadReportInterval = time.Second
	// minJudgedTerm is the age of a term from which submissions are judged: the average of what
	// is started covers some seconds.
	minJudgedTerm = 5 * time.Second
	// refusalTime is how long a refused submission stays refused. Its client comes back after
	// a second at the earliest; an attempt that was held up on its way arrives before.
	refusalTime = 900 * time.Millisecond
)

// refusalKey identifies refusals that are counted together.
type refusalKey struct {
	team, queue string
	reason      overload.Reason
}

// loadWatch decides on submissions from the load of the cell.
type loadWatch struct {
	t *term
	// starts counts the task starts since the last observation of the start rate.
	starts atomic.Int64

	mu   sync.Mutex
	load *overload.Load
	// overloaded is set while submissions are judged.
	overloaded bool
	startRate  overload.StartRate
	// delays finds the priorities in which jobs wait beyond their time, delayed is its last
	// result.
	delays  overload.Delays
	delayed map[int]bool
	// started is the work started since the load was derived, and served the average for each
	// second.
	started, served map[overload.Class]overload.Work
	// refusedUntil has the jobs that were refused lately by their path. An earlier attempt of
	// the same submission that arrives late must not be accepted then.
	refusedUntil map[string]time.Duration
	refusals     map[refusalKey]int
	reportedAt   time.Duration
}

func newLoadWatch(t *term) *loadWatch {
	return &loadWatch{
		t: t, started: map[overload.Class]overload.Work{}, served: map[overload.Class]overload.Work{},
		refusedUntil: map[string]time.Duration{}, refusals: map[refusalKey]int{},
	}
}

// run derives the load and measures the lateness until the term ends.
func (w *loadWatch) run() {
	defer w.t.leader.metrics.setOverloaded(false)
	w.refresh(loadInterval)
	derivedAt := w.t.leader.Clock.Now()
	for due := derivedAt + latenessInterval; w.t.pause(max(0, due-w.t.leader.Clock.Now())); due = w.t.leader.Clock.Now() + latenessInterval {
		// A goroutine whose timer expires runs first. After Gosched it waits in the queue, like
		// those that serve requests.
		runtime.Gosched()
		now := w.t.leader.Clock.Now()
		w.mu.Lock()
		w.startRate.Observe(latenessInterval, max(0, now-due), int(w.starts.Swap(0)))
		w.mu.Unlock()
		if now-derivedAt >= loadInterval {
			w.refresh(now - derivedAt)
			derivedAt = now
		}
	}
}

// refresh derives the load from the state.
func (w *loadWatch) refresh(elapsed time.Duration) {
	now := w.t.leader.Clock.Now()
	load := w.t.deriveLoad(now)
	w.mu.Lock()
	w.averageServed(elapsed)
	load.Served, load.StartsPerSecond = maps.Clone(w.served), w.startRate.PerSecond()
	w.load = load
	maps.DeleteFunc(w.refusedUntil, func(_ string, until time.Duration) bool { return until < now })
	// What a new leader has started shows nothing before its average has filled.
	mayJudge := now-w.t.began >= minJudgedTerm
	overloaded := mayJudge && load.Overloaded(w.overloaded)
	load.Delayed = w.delays.Observe(load, now)
	if !mayJudge {
		clear(load.Delayed)
	}
	delayedChanged := !maps.Equal(load.Delayed, w.delayed)
	w.delayed = load.Delayed
	changed := overloaded != w.overloaded
	w.overloaded = overloaded
	var refusals map[refusalKey]int
	due, late := now-w.reportedAt >= loadReportInterval, w.startRate.Lateness()
	if due {
		w.reportedAt, refusals, w.refusals = now, w.refusals, map[refusalKey]int{}
	}
	w.mu.Unlock()
	if changed {
		w.t.leader.metrics.setOverloaded(overloaded)
		w.t.leader.Logger.Warn("overload of the cell changed", logging.Step("admit"), "overloaded", overloaded)
	}
	if delayedChanged {
		w.t.leader.Logger.Warn("priorities in which jobs wait beyond their time changed", logging.Step("admit"), "priorities", slices.Sorted(maps.Keys(load.Delayed)))
		w.t.leader.metrics.delayedPriorities.Update(float64(len(load.Delayed)))
	}
	if due {
		w.report(load, refusals, overloaded, late)
	}
}

// averageServed adds the work started in the elapsed time to the averages. The caller holds
// w.mu.
func (w *loadWatch) averageServed(elapsed time.Duration) {
	for c := range w.started {
		if _, known := w.served[c]; !known {
			w.served[c] = overload.Work{}
		}
	}
	for c, average := range w.served {
		current := w.started[c].Scale(1 / elapsed.Seconds())
		w.served[c] = average.Add(current.Sub(average).Scale(servedWeight))
	}
	clear(w.started)
}

// report logs the refusals since the last report, and the load while the cell is overloaded or
// its leader late.
func (w *loadWatch) report(load *overload.Load, refusals map[refusalKey]int, overloaded bool, late time.Duration) {
	for k, n := range refusals {
		w.t.leader.Logger.Warn("submissions refused", logging.Step("admit"), "team", k.team, "queue", k.queue, "reason", k.reason.String(), "count", n)
	}
	if overloaded || late > latenessInterval {
		w.t.leader.Logger.Warn("cell is loaded", logging.Step("admit"), "starts_per_second", fmt.Sprintf("%.0f", load.StartsPerSecond),
			"free", load.Free.MilliCPU, "capacity", load.Capacity.MilliCPU, "late_ms", late.Milliseconds())
	}
}

// admit decides on a submission that is allowed and not known. It returns nil if the job is
// accepted.
func (w *loadWatch) admit(c *cell.Submit) *cellapi.Reply {
	var j overload.Job
	queue, judged := "", false
	w.t.leader.Store.View(func(v *cell.View) {
		q, team := v.Route(&c.Request)
		if q == nil || !isJudged(&c.Job) {
			return
		}
		queue, judged = q.Name, true
		j = w.t.demandOf(&c.Job, q, team)
	})
	if !judged || w.t.leader.AdmitAll {
		return nil
	}
	now := w.t.leader.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.load == nil {
		return nil
	}
	if until, refused := w.refusedUntil[c.Host+c.Path]; refused && now < until {
		return &cellapi.Reply{Refused: "the submission was refused before", RetryAfterMS: (until - now).Milliseconds()}
	}
	if !w.overloaded && !w.load.Delayed[j.Class.Priority] {
		w.load.Add(j.Team, j.Class, j.Waiting)
		return nil
	}
	d := w.load.Admit(&j, rand.Float64())
	if d.Reason != overload.None {
		w.refusals[refusalKey{j.Team, queue, d.Reason}]++
		w.refusedUntil[c.Host+c.Path] = now + refusalTime
		w.t.leader.metrics.refusedSubmissions[d.Reason].Inc(1)
		return &cellapi.Reply{Refused: d.Reason.String(), RetryAfterMS: d.RetryAfter.Milliseconds()}
	}
	w.load.Add(j.Team, j.Class, j.Waiting)
	return nil
}

// taskStarted records the start of a task of a team.
func (w *loadWatch) taskStarted(team string, c overload.Class, task overload.Waiting) {
	w.starts.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started[c] = w.started[c].Add(task.Work)
	if w.load != nil {
		w.load.Remove(team, c, task)
	}
}

// isJudged reports whether a job has an objective from its submission on: it is neither
// scheduled nor without an end.
func isJudged(s *cell.Submission) bool { return s.Schedule.Times == 0 && hasEnd(s.Steps) }

// hasEnd reports whether all steps come to an end.
func hasEnd(steps []cell.Step) bool {
	return !slices.ContainsFunc(steps, func(s cell.Step) bool { return s.Daemon })
}

// demandOf returns what a submission to a queue asks for.
func (t *term) demandOf(s *cell.Submission, q *cell.Queue, team string) overload.Job {
	ratio := t.stats.queueRatioOf(q.Name)
	j := overload.Job{Team: team}
	for i := range s.Steps {
		j.Waiting = j.Waiting.Add(waitingTasks(&s.Steps[i], ratio, s.Steps[i].Count))
	}
	j.Chain, j.Objective = chainAndObjective(s.Steps, q, ratio)
	j.Class = overload.ClassOf(q.Priority, j.Objective-j.Chain)
	return j
}

// chainAndObjective returns the expected duration of the longest chain of steps, and the time in
// which a job of the steps should be complete.
func chainAndObjective(steps []cell.Step, q *cell.Queue, ratio float64) (chain, objective time.Duration) {
	chain = slices.Max(remainingDurations(&cell.Job{Steps: steps}, ratio))
	return chain, objectiveOf(chain, q)
}

// objectiveOf returns the time in which a job with a chain of steps should be complete.
func objectiveOf(chain time.Duration, q *cell.Queue) time.Duration {
	return time.Duration(float64(chain)*q.Stretch) + time.Duration(q.ObjectiveMS)*time.Millisecond
}

// classOf returns the class of a job in the order in which work starts.
func classOf(j *cell.Job, q *cell.Queue, ratio float64, timing jobTiming, now time.Duration) overload.Class {
	if timing.isOverdue(now) {
		return overload.Overdue
	}
	chain, objective := chainAndObjective(j.Steps, q, ratio)
	return overload.ClassOf(q.Priority, objective-chain)
}

// setOverloaded updates the gauge of overload.
func (m *leaderMetrics) setOverloaded(overloaded bool) {
	value := 0.0
	if overloaded {
		value = 1
	}
	m.overloaded.Update(value)
}

// deriveLoad derives capacity and backlog from the replicated state.
func (t *term) deriveLoad(now time.Duration) *overload.Load {
	load := overload.NewLoad()
	ratios := t.stats.queueRatios()
	t.mu.Lock()
	times := maps.Clone(t.times)
	t.mu.Unlock()
	coldRatio := t.stats.coldRatio()
	t.leader.Store.View(func(v *cell.View) {
		for id, w := range v.Workers() {
			// Workers that do not answer for a moment count: after a change of the leader all
			// of them have to answer first.
			if !w.Usable() || v.IsEvacuated(w.DataCentre) {
				continue
			}
			capacity, free := w.Capacity, w.Free().Max(structs.Resources{})
			if coldRatio > 1 && t.cold.isCold(incarnation{id, w.Born}, now) {
				capacity, free = effectiveCapacity(capacity, coldRatio), effectiveCapacity(free, coldRatio)
			}
			load.Capacity, load.Free = load.Capacity.Add(capacity), load.Free.Add(free)
		}
		c := v.Configuration()
		if c == nil {
			return
		}
		for i := range c.Teams {
			load.Teams[c.Teams[i].Name] = &overload.Team{Weight: c.Teams[i].Weight, Limit: c.Teams[i].Limit}
		}
		mostUrgent := mostUrgentPriority(c)
		for _, j := range v.Jobs() {
			if j.State != cell.Active {
				continue
			}
			q := v.QueueOf(j)
			if q == nil || !hasEnd(j.Steps) {
				continue
			}
			ratio := ratios.of(q.Name)
			timing, known := times[cell.OccurrenceKey{Job: j.ID}]
			class := classOf(j, q, ratio, timing, now)
			load.Add(j.Team, class, unstartedWork(j, ratio))
			// Only jobs of the most urgent queues start as soon as they can: what others have waited,
			// such as gangs that gather room, does not show how long the next one waits.
			if known && !j.Started && j.Schedule.Times == 0 && q.Priority == mostUrgent {
				load.AddWait(class, now-timing.firstSeen)
			}
		}
	})
	return load
}

// unstartedWork returns the tasks of a job's open occurrences that are neither done nor in
// flight.
func unstartedWork(j *cell.Job, ratio float64) overload.Waiting {
	var sum overload.Waiting
	for _, occurrence := range j.Occurrences {
		for i := range occurrence {
			if n := len(occurrence[i].Tasks) - occurrence[i].Done - occurrence[i].InFlight; n > 0 {
				sum = sum.Add(waitingTasks(&j.Steps[i], ratio, n))
			}
		}
	}
	return sum
}

// waitingTasks returns n tasks of a step.
func waitingTasks(step *cell.Step, ratio float64, n int) overload.Waiting {
	size := step.Claim()
	return overload.Waiting{Work: overload.TaskWork(size, expectedDuration(step.EstimateMS, ratio), float64(n)), Size: size.Scale(int64(n))}
}
