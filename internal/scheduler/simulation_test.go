package scheduler

import (
	"container/heap"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/share"
	"laburnumgrade/internal/structs"
)

// TestMain fixes rapid's seed, so that the result does not change between runs.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func cores(n int64) structs.Resources {
	return structs.Resources{MilliCPU: n * 1000, MemoryBytes: n << 30}
}

// batch returns the spec of a batch job with tasks of size cores.
func batch(team, service string, size int64, runTime time.Duration) structs.WorkSpec {
	return structs.WorkSpec{
		Team: team, Service: service, Class: structs.ClassBatch, Size: cores(size), RunTime: runTime, WaitWhenFull: true,
	}
}

func gangOf(team, service string, size int64, runTime time.Duration) structs.WorkSpec {
	spec := batch(team, service, size, runTime)
	spec.Class = structs.ClassGang
	return spec
}

// upTo returns the task numbers 0 to n-1.
func upTo(n int) []int {
	tasks := make([]int, n)
	for i := range tasks {
		tasks[i] = i
	}
	return tasks
}

func addWorkers(s *Scheduler, n int, capacity structs.Resources) {
	for i := range n {
		s.UpsertWorker(placement.Worker{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/6), Incarnation: 1, Capacity: capacity})
	}
}

// runningTask is a running task of a simulation.
type runningTask struct {
	end       time.Duration
	placement Placement
}

// runningHeap is a heap of running tasks by their end.
type runningHeap []runningTask

func (r runningHeap) Len() int           { return len(r) }
func (r runningHeap) Less(i, j int) bool { return r[i].end < r[j].end }
func (r runningHeap) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runningHeap) Push(x any)        { *r = append(*r, x.(runningTask)) }
func (r *runningHeap) Pop() any {
	h := *r
	x := h[len(h)-1]
	*r = h[:len(h)-1]
	return x
}

// simulation commits and runs what a scheduler plans. The actual run times are given
// by job.
type simulation struct {
	s       *Scheduler
	now     time.Duration
	actual  map[string]time.Duration
	started map[string]time.Duration
	order   []string // jobs by first start
	running runningHeap
	ended   map[string]int // number of tasks by job
	// gangs holds the number of tasks of each gang, and incomplete the placed tasks of
	// gangs of which not all are placed: these take room but do not run.
	gangs      map[string]int
	incomplete map[string][]Placement
	// interrupted counts preemptions, which end the attempt at once.
	interrupted int
}

func newSimulation(o Options) *simulation {
	return &simulation{
		s: New(o), actual: map[string]time.Duration{}, started: map[string]time.Duration{}, ended: map[string]int{},
		gangs: map[string]int{}, incomplete: map[string][]Placement{},
	}
}

func (m *simulation) add(j Job, actual time.Duration) {
	m.actual[j.ID] = actual
	if j.Spec.Class == structs.ClassGang {
		m.gangs[j.ID] = len(j.Tasks)
	}
	m.s.AddJob(j)
}

// plan plans and commits until nothing more is placed, and returns the
// placements.
func (m *simulation) plan() []Placement {
	var all []Placement
	for {
		b := m.s.Plan(m.now, 100)
		for _, p := range b.Placements {
			m.start(p)
		}
		for _, p := range b.Preemptions {
			m.interrupted++
			m.interrupt(p)
		}
		all = append(all, b.Placements...)
		if len(b.Placements) == 0 && len(b.Preemptions) == 0 {
			return all
		}
	}
}

func (m *simulation) start(p Placement) {
	m.incomplete[p.JobID] = append(m.incomplete[p.JobID], p)
	if len(m.incomplete[p.JobID]) < m.gangs[p.JobID] {
		return
	}
	if _, again := m.started[p.JobID]; !again {
		m.started[p.JobID] = m.now
		m.order = append(m.order, p.JobID)
	}
	for _, p := range m.incomplete[p.JobID] {
		heap.Push(&m.running, runningTask{m.now + m.actual[p.JobID], p})
	}
	delete(m.incomplete, p.JobID)
}

func (m *simulation) interrupt(p Preemption) {
	for i, r := range m.running {
		if r.placement.JobID == p.JobID && r.placement.Task == p.Task {
			heap.Remove(&m.running, i)
			m.s.AttemptEnded(p.JobID, p.Task, m.now, false)
			return
		}
	}
}

// advance moves the clock to a time. It ends the tasks that end until then, and plans
// after each.
func (m *simulation) advance(to time.Duration) {
	for len(m.running) > 0 && m.running[0].end <= to {
		r := heap.Pop(&m.running).(runningTask)
		m.now = r.end
		m.s.AttemptEnded(r.placement.JobID, r.placement.Task, m.now, true)
		m.ended[r.placement.JobID]++
		m.plan()
	}
	m.now = to
	m.plan()
}

// openTeams adds teams with equal weights and without a limit.
func openTeams(s *Scheduler, names ...string) {
	for _, n := range names {
		s.SetTeam(n, 1, share.Unlimited)
	}
}
