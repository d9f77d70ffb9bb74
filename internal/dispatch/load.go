package dispatch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
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
	// started is the work started since the load was derived, by priority, and served the
	// average for each second.
	started, served map[int]overload.Work
	refusals        map[refusalKey]int
	reportedAt      time.Duration
}

func newLoadWatch(t *term) *loadWatch {
	return &loadWatch{t: t, started: map[int]overload.Work{}, served: map[int]overload.Work{}, refusals: map[refusalKey]int{}}
}

// run derives the load and measures the lateness until the term ends.
func (w *loadWatch) run() {
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
	load := w.t.deriveLoad()
	now := w.t.leader.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.started {
		w.served[p] = w.served[p].Add(overload.Work{}) // so that each priority has an average
	}
	for p, average := range w.served {
		current := w.started[p].Scale(1 / elapsed.Seconds())
		w.served[p] = average.Add(current.Sub(average).Scale(servedWeight))
	}
	clear(w.started)
	load.Served, load.StartsPerSecond = w.served, w.startRate.PerSecond()
	w.load = load
	if overloaded := load.Overloaded(w.overloaded); overloaded != w.overloaded {
		w.overloaded = overloaded
		w.t.leader.Logger.Warn("overload of the cell changed", logging.Step("admit"), "overloaded", overloaded)
	}
	if now-w.reportedAt >= loadReportInterval {
		w.reportedAt = now
		w.report()
	}
}

// report logs the refusals since the last report. The caller holds w.mu.
func (w *loadWatch) report() {
	waits := map[int]int64{}
	for p := range w.load.Backlog {
		waits[p] = w.load.Wait(p).Milliseconds()
	}
	for k, n := range w.refusals {
		w.t.leader.Logger.Warn("submissions refused", logging.Step("admit"), "team", k.team, "queue", k.queue, "reason", k.reason.String(), "count", n)
	}
	if w.overloaded || w.startRate.Lateness() > latenessInterval {
		w.t.leader.Logger.Warn("cell is loaded", logging.Step("admit"), "wait_ms", waits, "starts_per_second", fmt.Sprintf("%.0f", w.load.StartsPerSecond), "free", w.load.Free.MilliCPU, "capacity", w.load.Capacity.MilliCPU, "late_ms", w.startRate.Lateness().Milliseconds())
	}
	clear(w.refusals)
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
	if !judged {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.load == nil || w.t.leader.AdmitAll {
		return nil
	}
	if !w.overloaded {
		w.load.Add(j.Team, j.Priority, j.Waiting)
		return nil
	}
	d := w.load.Admit(&j, rand.Float64())
	if d.Reason != overload.None {
		w.refusals[refusalKey{j.Team, queue, d.Reason}]++
		w.t.leader.metrics.refusedSubmissions[d.Reason].Inc(1)
		return &cellapi.Reply{Refused: d.Reason.String(), RetryAfterMS: d.RetryAfter.Milliseconds()}
	}
	w.load.Add(j.Team, j.Priority, j.Waiting)
	return nil
}

// taskStarted records the start of a task of a team.
func (w *loadWatch) taskStarted(team string, priority int, task overload.Waiting) {
	w.starts.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started[priority] = w.started[priority].Add(task.Work)
	if w.load != nil {
		w.load.Remove(team, priority, task)
	}
}

// isJudged reports whether a job has an objective from its submission on: it is neither
// scheduled nor without an end.
func isJudged(s *cell.Submission) bool {
	for i := range s.Steps {
		if s.Steps[i].Daemon {
			return false
		}
	}
	return s.Schedule.Times == 0
}

// demandOf returns what a submission to a queue asks for.
func (t *term) demandOf(s *cell.Submission, q *cell.Queue, team string) overload.Job {
	ratio := t.stats.queueRatioOf(q.Name)
	j := overload.Job{Team: team, Priority: q.Priority}
	for i := range s.Steps {
		step := &s.Steps[i]
		j.Waiting = j.Waiting.Add(waitingTasks(step, ratio, step.Count))
	}
	for _, rest := range remainingDurations(&cell.Job{Steps: s.Steps}, ratio) {
		j.Chain = max(j.Chain, rest)
	}
	j.Objective = time.Duration(float64(j.Chain)*q.Stretch) + time.Duration(q.ObjectiveMS)*time.Millisecond
	return j
}

// deriveLoad derives capacity and backlog from the replicated state.
func (t *term) deriveLoad() *overload.Load {
	load := overload.NewLoad()
	ratios, now := t.stats.queueRatios(), t.leader.Clock.Now()
	t.leader.Store.View(func(v *cell.View) {
		for _, w := range v.Workers() {
			if w.Usable() && t.usableSession(w.ID, w.Born, now) != nil {
				load.Capacity = load.Capacity.Add(w.Capacity)
				load.Free = load.Free.Add(w.Free().Max(structs.Resources{}))
			}
		}
		c := v.Configuration()
		if c == nil {
			return
		}
		for i := range c.Teams {
			load.Teams[c.Teams[i].Name] = &overload.Team{Weight: c.Teams[i].Weight, Limit: c.Teams[i].Limit}
		}
		for _, j := range v.Jobs() {
			if j.State != cell.Active {
				continue
			}
			if q := v.QueueOf(j); q != nil {
				load.Add(j.Team, q.Priority, unstartedWork(j, ratios.of(q.Name)))
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
