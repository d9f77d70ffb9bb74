package dispatch

import (
	"slices"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/structs"
)

const (
	// settleTime is how long an attempt of a suspect must have run until other jobs may
	// run beside it again.
	settleTime = 10 * time.Second
	// isolationTimeout is how long suspects wait for a worker without other jobs before
	// they start beside others: some workers never become free of other jobs. Where most
	// of the capacity is free, and for daemons, suspects must not wait and
	// idleIsolationTimeout applies.
	isolationTimeout     = 15 * time.Second
	idleIsolationTimeout = 2 * time.Second
	// maxEmptiedWorkers is how many workers are kept free for suspects at a time.
	maxEmptiedWorkers = 4
	// resolutionTimeout is how long a task that may have crashed as many workers as one may
	// waits until it is known whether they have crashed. It doubles with each further one.
	resolutionTimeout      = 10 * time.Second
	maxResolutionDoublings = 5
	// daemonRestartDelay is how long a daemon waits under which as many workers may have
	// crashed as fail another job. It has to be at work again soon after its last attempt.
	daemonRestartDelay = 2 * time.Second
	// shutOutTimeout is how long other jobs wait if only workers with suspects have room:
	// longer than settleTime, but a suspect may follow the other. Daemons wait for
	// daemonShutOutTimeout.
	shutOutTimeout       = 15 * time.Second
	daemonShutOutTimeout = 2 * time.Second
)

// isolation is what the planner remembers from plan to plan about suspects that wait for a
// worker without other jobs. The zero value is ready to use.
type isolation struct {
	// emptied maps a worker to the step whose suspects it is kept free for.
	emptied map[string]cell.StepKey
	// since is when a step first had suspects that did not find a worker.
	since map[cell.StepKey]time.Duration
	// shutOut is when a step first found room only on workers that other jobs' suspects
	// have for themselves.
	shutOut map[cell.StepKey]time.Duration
	// unresolved holds the tasks that wait until it is known whether workers have crashed
	// under them.
	unresolved map[cell.TaskKey]unresolvedTask
}

// unresolvedTask is a task with crashes that are not proven.
type unresolvedTask struct {
	crashes int
	// until is when the task may start again even if the crashes are still not proven.
	until time.Duration
}

// crashedTask is what the state knows about a task under which workers may have crashed.
type crashedTask struct {
	suspect bool
	// crashes is the number of possible crashes, unresolved how many are not proven.
	crashes    int
	unresolved int
}

// crashedTasks returns the tasks that may be started and under which workers may have
// crashed, by their indices, nil if there are none.
func crashedTasks(o *cell.StepOccurrence) map[int]crashedTask {
	var crashed map[int]crashedTask
	for i := range o.Tasks {
		t := &o.Tasks[i]
		if t.PossibleCrashes() == 0 || t.Done || t.InFlight {
			continue
		}
		if crashed == nil {
			crashed = map[int]crashedTask{}
		}
		crashed[i] = crashedTask{suspect: t.Suspect(), crashes: t.PossibleCrashes(), unresolved: t.UnresolvedLosses()}
	}
	return crashed
}

// splitSuspects separates the suspects from the other tasks.
func (rs *readyStep) splitSuspects(tasks []int) (suspects, others []int) {
	if len(rs.crashed) == 0 {
		return nil, tasks
	}
	for _, i := range tasks {
		if rs.crashed[i].suspect {
			suspects = append(suspects, i)
		} else {
			others = append(others, i)
		}
	}
	return suspects, others
}

// unsettledSuspect returns the job of a suspect that runs on the worker and has not run
// for settleTime yet, empty if there is none.
func (s *session) unsettledSuspect(w *cell.Worker, now time.Duration) string {
	if !w.HasSuspects() {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	job := ""
	for key, a := range w.Attempts {
		info := s.attempts[attemptKey{key, a.Run}]
		settled := info != nil && info.confirmed && now-info.confirmedAt >= settleTime
		if a.Suspect() && !settled && (job == "" || key.Job < job) {
			job = key.Job
		}
	}
	return job
}

// admits reports whether tasks of a job may be placed on the worker beside the suspects
// there.
func (c *candidate) admits(job string) bool {
	return (c.isolatedFor == "" || c.isolatedFor == job) && (c.plannedSuspects == 0 || c.plannedFor == job)
}

// mayJoin reports whether tasks of the step may be placed on the worker beside the suspects
// there, and although it is cold.
func (rs *readyStep) mayJoin(c *candidate) bool {
	return !(rs.avoidsCold && c.cold) && (rs.ignoresIsolation || c.admits(rs.job.ID))
}

// runsOnly reports whether the worker has no tasks of other jobs, including those that
// this plan has placed there.
func (c *candidate) runsOnly(job string) bool {
	for key := range c.worker.Attempts {
		if key.Job != job {
			return false
		}
	}
	for key, n := range c.placed {
		if n > 0 && key.Job != job {
			return false
		}
	}
	return true
}

// taskCount returns the number of tasks on the worker, including those that this plan has
// placed there.
func (c *candidate) taskCount() int {
	count := len(c.worker.Attempts)
	for _, n := range c.placed {
		count += n
	}
	return count
}

// addSuspects records that this plan has placed suspects of a job on the worker, or has
// withdrawn them if n is negative.
func (c *candidate) addSuspects(job string, n int) {
	c.plannedSuspects += n
	c.plannedFor = job
}

// runsCrashed reports whether tasks of other jobs run or are placed on the worker under
// which another worker has crashed.
func (p *planner) runsCrashed(c *candidate, job string) bool {
	for key, a := range c.worker.Attempts {
		if a.Crashes > 0 && key.Job != job {
			return true
		}
	}
	for key, n := range c.placed {
		if n > 0 && key.Job != job && p.crashedSteps[key] {
			return true
		}
	}
	return false
}

// holdSuspects prepares the plan for the tasks under which workers may have crashed.
func (p *planner) holdSuspects(readySteps []*readyStep) {
	p.holdUnresolved(readySteps)
	p.renewIsolation(readySteps)
	p.endShutOuts(readySteps)
}

// endShutOuts lets the steps that were shut out for too long use workers with suspects.
func (p *planner) endShutOuts(readySteps []*readyStep) {
	p.isolating = slices.ContainsFunc(p.candidates, func(c *candidate) bool { return c.isolatedFor != "" })
	if len(p.isolation.shutOut) == 0 {
		return
	}
	shutOut := map[cell.StepKey]time.Duration{}
	for _, rs := range readySteps {
		if since, known := p.isolation.shutOut[rs.key]; known {
			shutOut[rs.key] = since
			timeout := shutOutTimeout
			if rs.step.Daemon {
				timeout = daemonShutOutTimeout
			}
			rs.ignoresIsolation = p.now-since >= timeout
		}
	}
	p.isolation.shutOut = shutOut
}

// recordShutOut records whether a step that waits for room would have some on workers that
// other jobs' suspects have for themselves.
func (p *planner) recordShutOut(rs *readyStep) {
	if rs.waitsFor != waitsForRoom || rs.ignoresIsolation {
		return
	}
	isShutOut := p.isolating && slices.ContainsFunc(p.group(rs), func(c *candidate) bool { return p.hasRoom(rs, c) && !c.admits(rs.job.ID) })
	if _, known := p.isolation.shutOut[rs.key]; known == isShutOut {
		return
	}
	if !isShutOut {
		delete(p.isolation.shutOut, rs.key)
		return
	}
	if p.isolation.shutOut == nil {
		p.isolation.shutOut = map[cell.StepKey]time.Duration{}
	}
	p.isolation.shutOut[rs.key] = p.now
}

// holdUnresolved holds back the tasks that may not start before it is known whether
// workers have crashed under them, and for a while the daemons under which many have.
func (p *planner) holdUnresolved(readySteps []*readyStep) {
	held := map[cell.TaskKey]unresolvedTask{}
	for _, rs := range readySteps {
		for i, task := range rs.crashed {
			if task.crashes < cell.MaxCrashes || task.unresolved == 0 && !rs.step.Daemon {
				continue
			}
			key := cell.TaskKey{StepKey: rs.key, Index: i}
			wait, known := p.isolation.unresolved[key]
			if !known || wait.crashes != task.crashes {
				wait = unresolvedTask{crashes: task.crashes, until: p.now + rs.holdTime(task.crashes)}
			}
			held[key] = wait
			if p.now >= wait.until {
				continue
			}
			if rs.held == nil {
				rs.held = map[int]bool{}
			}
			rs.held[i] = true
		}
	}
	p.isolation.unresolved = held
}

// holdTime returns how long a task is held back that may have crashed a number of workers.
func (rs *readyStep) holdTime(crashes int) time.Duration {
	if rs.step.Daemon {
		return daemonRestartDelay
	}
	return resolutionTimeout << min(crashes-cell.MaxCrashes, maxResolutionDoublings)
}

// renewIsolation keeps other jobs off the workers that an earlier plan has chosen for
// suspects which are still waiting.
func (p *planner) renewIsolation(readySteps []*readyStep) {
	waiting := map[cell.StepKey]bool{}
	for _, rs := range readySteps {
		if len(rs.crashed) == 0 {
			continue
		}
		if p.crashedSteps == nil {
			p.crashedSteps = map[cell.StepKey]bool{}
		}
		p.crashedSteps[rs.key] = true
		suspects, _ := rs.splitSuspects(p.startableTasks(rs))
		waiting[rs.key] = len(suspects) > 0
	}
	for key := range p.isolation.since {
		if !waiting[key] {
			delete(p.isolation.since, key)
		}
	}
	for id, key := range p.isolation.emptied {
		c := p.byID[id]
		if c == nil || !waiting[key] {
			delete(p.isolation.emptied, id)
			continue
		}
		if c.isolatedFor == "" {
			c.isolatedFor = key.Job
		}
	}
}

// placeSuspects assigns suspects to workers without tasks of other jobs. Suspects that
// have waited too long for one are placed like other tasks.
func (p *planner) placeSuspects(rs *readyStep, suspects []int, list []*candidate) []cell.Placement {
	if len(suspects) == 0 {
		return nil
	}
	var empty, shared []*candidate
	for _, c := range list {
		if c.runsOnly(rs.job.ID) {
			empty = append(empty, c)
		} else {
			shared = append(shared, c)
		}
	}
	placed := p.placeRound(rs, suspects, empty, len(suspects))
	if since, waits := p.isolation.since[rs.key]; waits && p.now-since >= p.isolationTimeout(rs) {
		placed = append(placed, p.placeRound(rs, suspects[len(placed):], shared, len(suspects))...)
	}
	for i := range placed {
		p.byID[placed[i].Worker].addSuspects(rs.job.ID, 1)
	}
	if len(placed) < len(suspects) {
		p.awaitIsolation(rs)
	}
	return placed
}

// isolationTimeout returns how long suspects of a step wait for a worker without other jobs.
func (p *planner) isolationTimeout(rs *readyStep) time.Duration {
	if rs.step.Daemon {
		return idleIsolationTimeout
	}
	var free, capacity structs.Resources
	for _, c := range p.candidates {
		if c.service == rs.queue.Service {
			free, capacity = free.Add(c.free), capacity.Add(c.worker.Capacity)
		}
	}
	if 2*free.MilliCPU > capacity.MilliCPU && 2*free.MemoryBytes > capacity.MemoryBytes {
		return idleIsolationTimeout
	}
	return isolationTimeout
}

// awaitIsolation keeps other jobs off one worker until the suspects of a step can start
// there: the one with the fewest tasks of those that could hold one.
func (p *planner) awaitIsolation(rs *readyStep) {
	if p.isolation.since == nil {
		p.isolation.since = map[cell.StepKey]time.Duration{}
		p.isolation.emptied = map[string]cell.StepKey{}
	}
	if _, waits := p.isolation.since[rs.key]; !waits {
		p.isolation.since[rs.key] = p.now
	}
	for _, key := range p.isolation.emptied {
		if key == rs.key {
			return
		}
	}
	if len(p.isolation.emptied) >= maxEmptiedWorkers {
		return
	}
	var best *candidate
	for _, c := range p.candidates {
		if c.service != rs.queue.Service || c.withheld || c.isolatedFor != "" || c.plannedSuspects > 0 || !c.worker.HasLabel(rs.step.Label) || !rs.step.Claim().Fits(c.worker.Capacity) {
			continue
		}
		if issued, ok := rs.advice.ticketFor(c.id); rs.advice != nil && (!ok || issued.born != c.born) {
			continue
		}
		if best == nil || c.taskCount() < best.taskCount() {
			best = c
		}
	}
	if best != nil {
		best.isolatedFor = rs.job.ID
		p.isolation.emptied[best.id] = rs.key
	}
}
