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

// run is a running task of the model.
type run struct {
	end   time.Duration
	place Placement
}

type runs []run

func (r runs) Len() int           { return len(r) }
func (r runs) Less(i, j int) bool { return r[i].end < r[j].end }
func (r runs) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runs) Push(x any)        { *r = append(*r, x.(run)) }
func (r *runs) Pop() any {
	h := *r
	x := h[len(h)-1]
	*r = h[:len(h)-1]
	return x
}

// model runs what a scheduler plans, with actual run times by job.
type model struct {
	s       *Scheduler
	now     time.Duration
	actual  map[string]time.Duration
	started map[string]time.Duration
	order   []string
	running runs
	ended   map[string]int
	// gangs holds the sizes of gangs, and waiting the placed tasks of those not
	// yet complete: they hold their workers but cannot run.
	gangs   map[string]int
	waiting map[string][]Placement
	// interrupted counts preemptions, which end the attempt at once.
	interrupted int
}

func newModel(o Options) *model {
	return &model{
		s: New(o), actual: map[string]time.Duration{}, started: map[string]time.Duration{}, ended: map[string]int{},
		gangs: map[string]int{}, waiting: map[string][]Placement{},
	}
}

func (m *model) add(j Job, actual time.Duration) {
	m.actual[j.ID] = actual
	if j.Spec.Class == structs.ClassGang {
		m.gangs[j.ID] = len(j.Tasks)
	}
	m.s.AddJob(j)
}

// plan plans and commits until nothing more is placed, and returns the
// placements.
func (m *model) plan() []Placement {
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

func (m *model) start(p Placement) {
	m.waiting[p.JobID] = append(m.waiting[p.JobID], p)
	if len(m.waiting[p.JobID]) < m.gangs[p.JobID] {
		return
	}
	if _, again := m.started[p.JobID]; !again {
		m.started[p.JobID] = m.now
		m.order = append(m.order, p.JobID)
	}
	for _, p := range m.waiting[p.JobID] {
		heap.Push(&m.running, run{m.now + m.actual[p.JobID], p})
	}
	delete(m.waiting, p.JobID)
}

func (m *model) interrupt(p Preemption) {
	for i, r := range m.running {
		if r.place.JobID == p.JobID && r.place.Task == p.Task {
			heap.Remove(&m.running, i)
			m.s.AttemptEnded(p.JobID, p.Task, m.now, false)
			return
		}
	}
}

// advance moves to a time, ending tasks on the way and planning after each.
func (m *model) advance(to time.Duration) {
	for len(m.running) > 0 && m.running[0].end <= to {
		r := heap.Pop(&m.running).(run)
		m.now = r.end
		m.s.AttemptEnded(r.place.JobID, r.place.Task, m.now, true)
		m.ended[r.place.JobID]++
		m.plan()
	}
	m.now = to
	m.plan()
}

func openTeams(s *Scheduler, names ...string) {
	for _, n := range names {
		s.SetTeam(n, 1, share.Unlimited)
	}
}
