package state

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/lease"
	"laburnumgrade/internal/structs"
)

// leaseWorld is a model of workers, leaders and the network around one Store
// and the lease tables of two processes that lead in turn. A handler runs one
// step at a time, so it can be paused between a check and its effect.
type leaseWorld struct {
	t       *rapid.T
	now     time.Duration
	store   *Store
	index   uint64
	leaders [2]*modelLeader
	current int
	workers []*modelWorker
	steps   []func()
	runs    []*modelRun
	started map[string]int
	jobs    int
	focused bool
	// registered is the capacity in the newest heartbeat that was committed.
	registered map[string]*statev1.RegisterWorker
}

type modelLeader struct {
	table *lease.Table
	rate  float64
	since time.Duration
	epoch uint64
	// expiring is set while the process looks for leases that have run out.
	expiring bool
}

type modelWorker struct {
	id          string
	incarnation uint64
	rate        float64
	capacity    int64
	sequence    uint64
	expires     time.Duration
	seen        map[uint64]bool
	ended       map[uint64]*apiv1.EndedAttempt
}

type modelRun struct {
	attempt uint64
	task    string
	job     string
	index   int32
	worker  *modelWorker
	size    int64
	active  bool
	rogue   bool
}

// local returns a process's clock.
func local(now time.Duration, rate float64) time.Duration { return time.Duration(float64(now) * rate) }

func (w *leaseWorld) apply(c *statev1.DataCentreCommand) *Result {
	b, err := proto.Marshal(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.index++
	if r := c.GetRegisterWorker(); r != nil {
		newest := w.registered[r.WorkerId]
		if r.Incarnation > newest.GetIncarnation() || r.Incarnation == newest.GetIncarnation() && r.Sequence > newest.GetSequence() {
			w.registered[r.WorkerId] = r
		}
	}
	return w.store.Apply(w.index, b).(*Result)
}

// leads reports whether the process leads and has since then.
func (w *leaseWorld) leads(l int, since time.Duration) bool {
	return w.current == l && w.leaders[l].since == since
}

// propose commits the command if the process leads, and then continues with the
// outcome known or not; or it continues first and commits later.
func (w *leaseWorld) propose(l int, c *statev1.DataCentreCommand, next func(known *Result)) {
	if w.current != l {
		next(nil)
		return
	}
	since := w.leaders[l].since
	switch rapid.IntRange(0, 9).Draw(w.t, "fate") {
	case 0:
		next(nil)
		return
	case 1:
		w.apply(c)
		next(nil)
		return
	case 2:
		late := func() {
			if w.leads(l, since) {
				w.apply(c)
			}
		}
		w.steps = append([]func(){late}, w.steps...)
		next(nil)
		return
	}
	next(w.apply(c))
}

func (w *leaseWorld) later(step func()) { w.steps = append(w.steps, step) }

// advance moves the clocks; workers stop their tasks when their leases end.
func (w *leaseWorld) advance(d time.Duration) {
	w.now += d
	for _, r := range w.runs {
		if r.active && !r.rogue && local(w.now, r.worker.rate) >= r.worker.expires {
			w.endRun(r, apiv1.Outcome_OUTCOME_CANCELLED)
		}
	}
}

func (w *leaseWorld) endRun(r *modelRun, outcome apiv1.Outcome) {
	r.active = false
	r.worker.ended[r.attempt] = &apiv1.EndedAttempt{AttemptId: r.attempt, Outcome: outcome, JobId: r.job, Task: r.index}
}

func (w *leaseWorld) heartbeat(m *modelWorker) {
	m.sequence++
	r := &apiv1.HeartbeatRequest{
		WorkerId: m.id, Incarnation: m.incarnation, Capacity: &apiv1.Resources{MilliCpu: m.capacity}, Sequence: m.sequence,
	}
	for _, run := range w.runs {
		if run.active && run.worker == m {
			r.Running = append(r.Running, run.attempt)
			r.Attempts = append(r.Attempts, &apiv1.RunningAttempt{AttemptId: run.attempt, Size: &apiv1.Resources{MilliCpu: run.size}})
		}
	}
	for _, e := range m.ended {
		r.Ended = append(r.Ended, e)
	}
	asked := local(w.now, m.rate)
	for range rapid.IntRange(1, 2).Draw(w.t, "copies") {
		l := w.current
		w.later(func() { w.handle(l, m, r, asked) })
	}
}

// handle mirrors DataCentreServer.Heartbeat, one step per call.
func (w *leaseWorld) handle(l int, m *modelWorker, r *apiv1.HeartbeatRequest, asked time.Duration) {
	if w.current != l {
		return
	}
	leader := w.leaders[l]
	since := leader.since
	renew := func() {
		if cur, ok := w.store.Worker(r.WorkerId); ok && r.Incarnation < cur.Incarnation {
			return
		}
		if !leader.table.Renew(r.WorkerId, since, local(w.now, leader.rate)) {
			return
		}
		w.later(func() { w.register(l, since, m, r, asked) })
	}
	w.later(renew)
}

func (w *leaseWorld) register(l int, since time.Duration, m *modelWorker, r *apiv1.HeartbeatRequest, asked time.Duration) {
	ends := func() {
		c := &statev1.EndAttempts{}
		for _, e := range r.Ended {
			c.Ended = append(c.Ended, &statev1.EndAttempt{
				AttemptId: e.AttemptId, WorkerId: r.WorkerId, Incarnation: r.Incarnation, Outcome: e.Outcome,
				NeverStarted: e.NeverStarted, JobId: e.JobId, Task: e.Task,
			})
		}
		w.propose(l, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_EndAttempts{EndAttempts: c}}, func(known *Result) {
			if known != nil {
				w.later(func() { w.reply(l, since, m, r, asked, known.Acknowledged) })
			}
		})
	}
	if w.store.RegistrationCurrent(r) {
		w.later(ends)
	}
	c := &statev1.RegisterWorker{WorkerId: r.WorkerId, Incarnation: r.Incarnation, Capacity: r.Capacity, Sequence: r.Sequence, Running: r.Attempts}
	w.propose(l, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RegisterWorker{RegisterWorker: c}}, func(known *Result) {
		if known != nil && known.Refusal == "" {
			w.later(ends)
		}
	})
}

func (w *leaseWorld) reply(l int, since time.Duration, m *modelWorker, r *apiv1.HeartbeatRequest, asked time.Duration, acknowledged []uint64) {
	d := w.store.Directives(r.WorkerId, r.Incarnation, r.Running)
	if !w.leads(l, since) {
		return
	}
	for range rapid.IntRange(1, 2).Draw(w.t, "copies") {
		w.later(func() { w.accept(m, &d, asked, acknowledged) })
	}
}

// accept mirrors the worker's side of the protocol.
func (w *leaseWorld) accept(m *modelWorker, d *Directives, asked time.Duration, acknowledged []uint64) {
	if w.workers[workerNumber(m)] != m {
		return // a restarted incarnation hears nothing
	}
	m.expires = max(m.expires, asked+lease.WorkerDuration)
	for _, id := range acknowledged {
		delete(m.ended, id)
	}
	if local(w.now, m.rate) >= asked+lease.WorkerDuration {
		return // its attempts may have been declared lost since
	}
	for _, id := range d.Stop {
		w.stop(m, id)
	}
	for i := range d.Start {
		w.start(m, &d.Start[i])
	}
}

func workerNumber(m *modelWorker) int { return int(m.id[1] - '0') }

func (w *leaseWorld) stop(m *modelWorker, id uint64) {
	for _, r := range w.runs {
		if r.active && r.worker == m && r.attempt == id {
			w.endRun(r, apiv1.Outcome_OUTCOME_CANCELLED)
		}
	}
	if !m.seen[id] {
		m.seen[id] = true
		m.ended[id] = &apiv1.EndedAttempt{AttemptId: id, Outcome: apiv1.Outcome_OUTCOME_CANCELLED, NeverStarted: true}
	}
}

func (w *leaseWorld) start(m *modelWorker, a *AssignedAttempt) {
	if m.seen[a.Attempt.ID] {
		return
	}
	m.seen[a.Attempt.ID] = true
	task := fmt.Sprintf("%s/%d", a.Attempt.JobID, a.Attempt.Task)
	w.runs = append(w.runs, &modelRun{
		attempt: a.Attempt.ID, task: task, job: a.Attempt.JobID, index: int32(a.Attempt.Task),
		worker: m, size: a.Spec.Size.MilliCPU, active: true,
	})
	if !a.Spec.Idempotent {
		w.started[task]++
	}
}

// expire mirrors the leader's search for leases that have run out, which one
// goroutine of each process does.
func (w *leaseWorld) expire(l int, id string) {
	leader := w.leaders[l]
	since, epoch := leader.since, leader.epoch
	seen, ok := w.store.Worker(id)
	if !ok || leader.expiring {
		return
	}
	if !seen.Lost && !leader.table.BeginExpiry(id, since, local(w.now, leader.rate)) {
		return
	}
	leader.expiring = true
	done := func() {
		leader.table.CompleteExpiry(id, since)
		leader.expiring = false
	}
	if seen.Lost {
		w.later(done)
		return
	}
	w.later(func() {
		c := &statev1.LoseWorker{WorkerId: id, Incarnation: seen.Incarnation, Registration: seen.Registration, Epoch: epoch}
		w.propose(l, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_LoseWorker{LoseWorker: c}}, func(known *Result) {
			if known != nil {
				w.later(done)
				return
			}
			leader.expiring = false
		})
	})
}

// finishSteps takes the newest steps, mostly until none is left; what remains is
// delayed.
func (w *leaseWorld) finishSteps(t *rapid.T) {
	for range rapid.SampledFrom([]int{1, 2, 3, 4, 6, 12, 12, 12}).Draw(t, "steps") {
		if len(w.steps) == 0 {
			return
		}
		s := w.steps[len(w.steps)-1]
		w.steps = w.steps[:len(w.steps)-1]
		s()
	}
}

// lead begins a leadership; an election takes time, so no two begin at once.
func (w *leaseWorld) lead(l int) {
	w.advance(time.Millisecond)
	w.current = l
	leader := w.leaders[l]
	leader.since = local(w.now, leader.rate)
	leader.epoch = w.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_BeginLeadership{BeginLeadership: &statev1.BeginLeadership{}}}).Epoch
}

func (w *leaseWorld) submit() {
	w.jobs++
	id := testID(w.jobs)
	idempotent := w.focused || rapid.Bool().Draw(w.t, "idempotent")
	spec := &statev1.WorkSpec{Team: "a", Service: "s", Size: &apiv1.Resources{MilliCpu: 1000}, Tasks: 1, Idempotent: idempotent, Exclusive: true}
	w.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_SubmitJob{SubmitJob: &statev1.SubmitJob{JobId: id, Spec: spec}}})
}

// place puts every waiting task on a worker, and checks the worker's real load.
func (w *leaseWorld) place() {
	// The log time may run ahead of the clocks, so it ends every back-off.
	w.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AdvanceTime{AdvanceTime: &statev1.AdvanceTime{UnixMs: w.store.LogTime() + maxBackOff.Milliseconds()*2}}})
	for _, id := range w.store.OpenJobs() {
		m := rapid.SampledFrom(w.workers).Draw(w.t, "worker")
		p := &statev1.Placement{JobId: id, WorkerId: m.id, Incarnation: m.incarnation}
		r := w.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_Plan{Plan: &statev1.Plan{Placements: []*statev1.Placement{p}}}})
		if r.Placements[0].Refusal == "" {
			w.checkLoad(m)
		}
	}
}

// checkLoad fails if what a worker runs and is to run exceeds its capacity.
func (w *leaseWorld) checkLoad(m *modelWorker) {
	s, _ := w.store.Worker(m.id)
	load := int64(0)
	for range s.Attempts {
		load += 1000
	}
	for _, r := range w.runs {
		if _, open := s.Attempts[r.attempt]; r.active && r.worker == m && !open && (!r.rogue || s.Charged[r.attempt] != (structs.Resources{})) {
			load += r.size
		}
	}
	if load > s.Capacity.MilliCPU {
		w.t.Fatalf("worker %s is loaded with %d of %d", m.id, load, s.Capacity.MilliCPU)
	}
}

func (w *leaseWorld) check(t *rapid.T) {
	active := map[string]int{}
	for _, r := range w.runs {
		if r.active && !r.rogue {
			active[r.task]++
			if active[r.task] > 1 {
				t.Fatalf("task %s runs twice", r.task)
			}
		}
	}
	for task, n := range w.started {
		if n > 1 {
			t.Fatalf("non-idempotent task %s was started %d times", task, n)
		}
	}
	for _, m := range w.workers {
		s, _ := w.store.Worker(m.id)
		if s.Capacity.MilliCPU != w.registered[m.id].GetCapacity().GetMilliCpu() {
			t.Fatalf("worker %s is loaded by an older capacity", m.id)
		}
		for id, size := range s.Charged {
			if _, open := s.Attempts[id]; open || size.MilliCPU < 0 {
				t.Fatalf("attempt %d of worker %s is charged wrongly", id, m.id)
			}
		}
	}
}

// testID returns the UUIDv7 of time zero with the number.
func testID(n int) string { return fmt.Sprintf("00000000-0000-7000-8000-%012d", n) }

func newWorker(n int, incarnation uint64, t *rapid.T) *modelWorker {
	return &modelWorker{
		id: fmt.Sprintf("w%d", n), incarnation: incarnation, capacity: 2000, seen: map[uint64]bool{}, ended: map[uint64]*apiv1.EndedAttempt{},
		rate: rapid.SampledFrom([]float64{0.99, 1}).Draw(t, "worker's rate"), expires: -1,
	}
}
