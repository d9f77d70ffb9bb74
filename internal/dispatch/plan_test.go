package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/structs"
)

const service = "planner"

// newPlanner returns a planner at the time 10 s with workers of 64 cores.
func newPlanner(workers int, advice map[cell.StepKey]*stepAdvice) *planner {
	p := &planner{
		now: 10 * time.Second, byID: map[string]*candidate{}, headroom: map[string]structs.Resources{},
		advice: func(k cell.StepKey) *stepAdvice { return advice[k] }, plan: plan{reserved: map[string]cell.StepKey{}},
		allowedShare: func(string) float64 { return 0.3 },
		request:      func(*adviceRequest) bool { return true },
	}
	for i := range workers {
		capacity := structs.Resources{MilliCPU: 64_000, MemoryBytes: 128 << 30}
		c := &candidate{
			id: fmt.Sprintf("w%02d", i), born: 1, service: service, runTimeFactor: 1, free: capacity,
			worker: &cell.Worker{ID: fmt.Sprintf("w%02d", i), Born: 1, Service: service, Capacity: capacity},
		}
		p.candidates = append(p.candidates, c)
		p.byID[c.id] = c
	}
	return p
}

// newReadyStep returns a ready step of a queue that needs advice.
func (p *planner) newReadyStep(job string, priority int, step cell.Step) *readyStep {
	j := &cell.Job{ID: job, Team: "red", Steps: []cell.Step{step}}
	p.headroom["red"] = structs.Resources{MilliCPU: 1 << 40, MemoryBytes: 1 << 60, Accelerators: 1}
	return &readyStep{
		key: cell.StepKey{Job: job}, job: j, team: j.Team, step: &j.Steps[0], occurrence: &cell.StepOccurrence{Tasks: make([]cell.Task, step.Count)},
		queue:     &cell.Queue{Service: service, Priority: priority, Advice: &cell.AdviceTerms{DecideMS: 500, PerWorkerMS: 7, ValidityMS: 2000}},
		remaining: time.Second, deadline: time.Minute,
	}
}

func newGangStep(count int, cores int64) cell.Step {
	return cell.Step{Count: count, Gang: true, Size: structs.Resources{MilliCPU: cores * 1000, MemoryBytes: 1 << 30}}
}

// adviceAllowing returns advice with tickets for the workers that expire at a
// time.
func adviceAllowing(until time.Duration, workers ...string) *stepAdvice {
	s := &stepAdvice{queried: map[string]bool{}, tickets: map[string]ticket{}}
	for _, w := range workers {
		s.queried[w] = true
		s.tickets[w] = ticket{value: "t-" + w, validUntil: until, born: 1}
	}
	return s
}

func placedOn(p *planner) []string {
	var list []string
	for i := range p.placements {
		list = append(list, p.placements[i].Worker)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Guards against a separate request for advice for each worker as it gets free
// capacity: the first request includes workers without free capacity.
func TestAdviceRequestIncludesFullWorkers(t *testing.T) {
	p := newPlanner(5, nil)
	for _, c := range p.candidates[1:] {
		c.free.MilliCPU = 1000
	}
	p.planSteps([]*readyStep{p.newReadyStep("a", 1, newGangStep(2, 18))})
	assert.Equal(t, len(p.adviceRequests), 1)
	assert.Equal(t, len(p.adviceRequests[0].workers), 5)
	assert.Equal(t, p.adviceRequests[0].workers[0].id, "w00")
}

// Guards against requests for advice while no worker has capacity for a task.
func TestNoAdviceRequestWithoutCapacity(t *testing.T) {
	p := newPlanner(3, nil)
	for _, c := range p.candidates {
		c.free.MilliCPU = 1000
	}
	p.planSteps([]*readyStep{p.newReadyStep("a", 1, newGangStep(2, 18))})
	assert.Equal(t, len(p.adviceRequests), 0)
}

// Guards against repeated renewals: workers with a valid ticket are used before
// workers that otherwise rank better.
func TestValidTicketsFirst(t *testing.T) {
	advice := adviceAllowing(12*time.Second, "w00", "w01", "w02")
	for _, w := range []string{"w00", "w02"} {
		expired := advice.tickets[w]
		expired.validUntil = 9 * time.Second
		advice.tickets[w] = expired
	}
	p := newPlanner(3, map[cell.StepKey]*stepAdvice{{Job: "a"}: advice})
	p.candidates[0].runTimeFactor, p.candidates[2].runTimeFactor = 0.5, 0.5
	p.planSteps([]*readyStep{p.newReadyStep("a", 0, newGangStep(3, 18))})
	assert.Equal(t, len(p.adviceRequests), 0)
	assert.DeepEqual(t, placedOn(p), []string{"w01"})
}

// Guards against a renewal that covers only the chosen workers, so that the next
// plan, which may choose others, has to renew again.
func TestRenewalCoversAllFittingWorkers(t *testing.T) {
	advice := adviceAllowing(9*time.Second, "w00", "w01", "w02", "w03")
	p := newPlanner(4, map[cell.StepKey]*stepAdvice{{Job: "a"}: advice})
	p.planSteps([]*readyStep{p.newReadyStep("a", 0, newGangStep(3, 18))})
	assert.Equal(t, len(p.placements), 0)
	assert.Equal(t, len(p.adviceRequests), 1)
	assert.Equal(t, len(p.adviceRequests[0].workers), 4)
	assert.Equal(t, len(p.adviceRequests[0].heldPlacements), 3)
}

// Guards against smaller tasks that take the capacity for which a gang's tickets
// are being renewed, even if these tasks rank higher.
func TestCapacityIsHeldDuringRenewal(t *testing.T) {
	advice := adviceAllowing(9*time.Second, "w00")
	advice.inFlight = 1
	for i := range 3 {
		advice.heldPlacements = append(advice.heldPlacements, cell.Placement{Task: cell.TaskKey{StepKey: cell.StepKey{Job: "gang"}, Index: i}, Worker: "w00", Born: 1})
	}
	p := newPlanner(1, map[cell.StepKey]*stepAdvice{{Job: "gang"}: advice, {Job: "small"}: adviceAllowing(20*time.Second, "w00")})
	small := p.newReadyStep("small", 0, cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 18_000, MemoryBytes: 1 << 30}})
	p.planSteps([]*readyStep{small, p.newReadyStep("gang", 1, newGangStep(3, 18))})
	assert.Equal(t, len(p.placements), 0)
}

// Guards against a gang of which only a part is started.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	p := newPlanner(2, map[cell.StepKey]*stepAdvice{{Job: "a"}: adviceAllowing(20*time.Second, "w00", "w01"), {Job: "b"}: adviceAllowing(20*time.Second, "w00", "w01")})
	p.candidates[1].free.MilliCPU = 1000
	p.planSteps([]*readyStep{p.newReadyStep("a", 1, newGangStep(6, 18)), p.newReadyStep("b", 1, newGangStep(3, 18))})
	assert.Equal(t, len(p.placements), 0, "the capacity that the first gang waits for is not given to the second")
	p = newPlanner(2, map[cell.StepKey]*stepAdvice{{Job: "b"}: adviceAllowing(20*time.Second, "w00", "w01")})
	p.planSteps([]*readyStep{p.newReadyStep("b", 1, newGangStep(6, 18))})
	assert.Equal(t, len(p.placements), 6)
}

// Guards against work on a slow worker on which it would miss its deadline, and
// against work on a fast worker that would be in time on a slow one.
func TestSlowWorkersGetWorkWithSlack(t *testing.T) {
	for _, c := range []struct {
		deadline time.Duration
		want     string
	}{{30 * time.Second, "w01"}, {25 * time.Second, "w00"}} {
		p := newPlanner(2, map[cell.StepKey]*stepAdvice{{Job: "a"}: adviceAllowing(20*time.Second, "w00", "w01")})
		p.candidates[1].runTimeFactor = 2
		rs := p.newReadyStep("a", 1, cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 1000}})
		rs.remaining, rs.deadline = 6*time.Second, c.deadline
		p.planSteps([]*readyStep{rs})
		assert.DeepEqual(t, placedOn(p), []string{c.want})
	}
}

// Guards against urgent work whose requests for advice wait behind requests that
// take most of a second each: some callers are reserved for short requests.
func TestLongCallsLeaveCallers(t *testing.T) {
	b := newAdviceBroker(nil)
	for i := range 6 {
		b.announce(fmt.Sprintf("p%d", i), 0)
	}
	for b.chooseCaller(0, 600*time.Millisecond, maxCallerBacklog) != nil {
	}
	free := 0
	for _, c := range b.callers {
		if len(c.queue) == 0 {
			free++
		}
	}
	assert.Equal(t, free, 2)
	assert.Assert(t, b.chooseCaller(0, 15*time.Millisecond, maxCallerBacklog) != nil)
	for i := range 5 {
		b.callers[fmt.Sprintf("p%d", i)].avoidUntil = time.Second
	}
	b.callers["p5"].queue = nil
	assert.Equal(t, b.chooseCaller(0, 600*time.Millisecond, maxCallerBacklog).peer, "p5", "the last caller takes all calls")
}

// Guards against a request for advice of half a second for each worker that is new
// or has become free: it is sent only if it is likely to complete the gang.
func TestNoAdviceRequestForTooFewWorkers(t *testing.T) {
	for extra, adviceRequests := range map[int]int{1: 0, 12: 1} {
		advice := map[cell.StepKey]*stepAdvice{{Job: "a"}: adviceAllowing(time.Minute, "w00", "w01")}
		for i := 2; i < 6; i++ {
			advice[cell.StepKey{Job: "a"}].queried[fmt.Sprintf("w%02d", i)] = true
		}
		p := newPlanner(6+extra, advice)
		p.candidates[0].free.MilliCPU, p.candidates[1].free.MilliCPU = 1000, 1000
		p.planSteps([]*readyStep{p.newReadyStep("a", 1, newGangStep(6, 20))})
		assert.Equal(t, len(p.adviceRequests), adviceRequests, "%d workers that were not asked about", extra)
		assert.Equal(t, len(p.reserved) > 0, adviceRequests == 0)
	}
}

// attemptsOf returns the attempts of a worker that runs another task of a step.
func attemptsOf(k cell.StepKey) map[cell.TaskKey]cell.Attempt {
	return map[cell.TaskKey]cell.Attempt{{StepKey: k, Index: 99}: {Run: 1}}
}

// Guards against a wide gang whose requests for advice follow each other, so that it waits
// for several calls although most workers are free.
func TestWideGangRequestsAdviceAtOnce(t *testing.T) {
	p := newPlanner(300, nil)
	p.planSteps([]*readyStep{p.newReadyStep("a", 1, newGangStep(60, 18))}) // 3 on a worker, 20 of 67 allowed
	named := map[string]int{}
	for _, q := range p.adviceRequests {
		assert.Assert(t, len(q.workers) <= maxAdviceWorkers)
		for _, c := range q.workers {
			named[c.id]++
		}
	}
	assert.Equal(t, len(p.adviceRequests), 3)
	assert.Equal(t, len(named), 90)
}

// Guards against a request that names more workers than the service accepts, so that a gang
// on many workers never gets its tickets renewed, and against a renewal in parts, of which
// some expire while others wait for a process, where one request can name all.
func TestRenewalOfManyTicketsIsDividedAtLimit(t *testing.T) {
	for tasks, requests := range map[int]int{30: 1, 60: 1, 100: 1, 120: 2} {
		var workers []string
		for i := range tasks {
			workers = append(workers, fmt.Sprintf("w%02d", i))
		}
		advice := adviceAllowing(9*time.Second, workers...)
		p := newPlanner(tasks, map[cell.StepKey]*stepAdvice{{Job: "a"}: advice})
		p.planSteps([]*readyStep{p.newReadyStep("a", 1, newGangStep(tasks, 40))})
		assert.Equal(t, len(p.placements), 0)
		assert.Equal(t, len(p.adviceRequests), requests, "%d tasks", tasks)
		renewed := 0
		for _, q := range p.adviceRequests {
			assert.Assert(t, len(q.workers) <= 100)
			assert.Equal(t, len(q.heldPlacements), tasks)
			renewed += len(q.workers)
		}
		assert.Equal(t, renewed, tasks)
	}
}

// Guards against several long requests for a gang in a cell that is nearly full: most of
// the workers in them have no room for it.
func TestGangInFullCellMakesOneRequest(t *testing.T) {
	p := newPlanner(300, nil)
	for _, c := range p.candidates[5:] {
		c.free.MilliCPU = 1000
	}
	p.planSteps([]*readyStep{p.newReadyStep("a", 1, newGangStep(60, 18))})
	assert.Equal(t, len(p.adviceRequests), 1)
}

// Guards against tasks that wait for the tickets of others although they need not start
// together, and renew all of them whenever room appears on another worker.
func TestTasksWithValidTicketsAreNotRenewed(t *testing.T) {
	advice := adviceAllowing(12*time.Second, "w00", "w01")
	expired := advice.tickets["w01"]
	expired.validUntil = 9 * time.Second
	advice.tickets["w01"] = expired
	p := newPlanner(2, map[cell.StepKey]*stepAdvice{{Job: "a"}: advice})
	step := newGangStep(6, 18)
	step.Gang = false
	p.planSteps([]*readyStep{p.newReadyStep("a", 2, step)})
	assert.Equal(t, len(p.placements), 3)
	assert.DeepEqual(t, placedOn(p), []string{"w00"})
	assert.Equal(t, p.byID["w01"].free, p.byID["w01"].worker.Capacity, "room of undone placements is free")
}

// Guards against plans that rank all workers for requests that no process can take, and
// against requests that pass those of steps before them.
func TestNoFurtherRequestsWithoutFreeCaller(t *testing.T) {
	p := newPlanner(40, nil)
	var requested []string
	p.request = func(q *adviceRequest) bool {
		requested = append(requested, q.step.Job)
		return len(requested) <= 2
	}
	var steps []*readyStep
	for i := range 50 {
		steps = append(steps, p.newReadyStep(fmt.Sprintf("j%02d", i), 1, newGangStep(2, 18)))
	}
	p.planSteps(steps)
	assert.DeepEqual(t, requested, []string{"j00", "j01", "j02"})
	assert.Equal(t, p.waiting[waitsForAdvice], 50)
	assert.Equal(t, p.deferred, 48)
	short := p.newReadyStep("short", 1, newGangStep(2, 18))
	short.queue.Advice = &cell.AdviceTerms{DecideMS: 11}
	p.planSteps([]*readyStep{short})
	assert.Equal(t, requested[len(requested)-1], "short", "reserved callers may still take it")
}

// Guards against a gang that the workers cannot hold even if they are empty, and that has
// them reserved for ever while other work waits.
func TestImpossibleGangReservesNoWorkers(t *testing.T) {
	denied := adviceAllowing(20*time.Second, "w00")
	denied.queried["w01"], denied.queried["w02"] = true, true
	p := newPlanner(3, map[cell.StepKey]*stepAdvice{{Job: "gang"}: denied, {Job: "small"}: adviceAllowing(20*time.Second, "w00", "w01", "w02")})
	small := p.newReadyStep("small", 2, cell.Step{Count: 3, MaxPerWorker: 1, Size: structs.Resources{MilliCPU: 18_000, MemoryBytes: 1 << 30}})
	p.planSteps([]*readyStep{p.newReadyStep("gang", 1, newGangStep(2, 40)), small})
	assert.DeepEqual(t, placedOn(p), []string{"w00", "w01", "w02"})

	p = newPlanner(3, map[cell.StepKey]*stepAdvice{{Job: "gang"}: adviceAllowing(20*time.Second, "w00"), {Job: "small"}: adviceAllowing(20*time.Second, "w00")})
	small = p.newReadyStep("small", 2, cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 18_000, MemoryBytes: 1 << 30}})
	for _, c := range p.candidates[1:] {
		c.free.MilliCPU = 1000
	}
	p.planSteps([]*readyStep{p.newReadyStep("gang", 1, newGangStep(2, 40)), small})
	assert.Equal(t, len(p.placements), 0, "the other workers may be allowed")
}

// Guards against gangs that wait for their first advice and use up the number of gangs that
// may reserve room, so that those which know where they may run lose theirs.
func TestGangWithoutAdviceReservesNothing(t *testing.T) {
	advice := map[cell.StepKey]*stepAdvice{{Job: "knows"}: adviceAllowing(20*time.Second, "w00", "w01")}
	p := newPlanner(2, advice)
	p.candidates[1].free.MilliCPU = 1000
	var steps []*readyStep
	for i := range 2 * maxReservedGangs {
		rs := p.newReadyStep(fmt.Sprintf("asks%02d", i), 1, newGangStep(6, 18))
		advice[rs.key] = &stepAdvice{inFlight: 1}
		steps = append(steps, rs)
	}
	small := p.newReadyStep("small", 2, newGangStep(3, 18))
	small.queue.Advice = nil
	p.planSteps(append(steps, p.newReadyStep("knows", 1, newGangStep(6, 18)), small))
	assert.Equal(t, len(p.reserved), 2)
	assert.Equal(t, len(p.placements), 0)
}
