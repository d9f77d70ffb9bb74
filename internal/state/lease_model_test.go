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

// leaseSimulation models workers, leaders and the network around one Store and the
// lease tables of two processes, one of which leads at a time. Handlers are split
// into steps that are run one by one, so a handler can be paused between a check
// and its effect.
type leaseSimulation struct {
	t   *rapid.T
	now time.Duration // true time
	// store is the replicated state, on which every committed command is applied.
	store   *Store
	index   uint64
	leaders [2]*modelLeader
	leading int // index of the current leader
	workers []*modelWorker
	steps   []func() // pending steps of all handlers
	runs    []*modelRun
	started map[string]int // number of starts of each non-idempotent task
	jobs    int
	// focused selects idempotent tasks only and fewer kinds of events.
	focused bool
	// registered holds the newest committed registration of each worker.
	registered map[string]*statev1.RegisterWorker
}

// modelLeader is one of the processes that can lead.
type modelLeader struct {
	table *lease.Table
	rate  float64       // rate of its clock relative to true time
	since time.Duration // start of its leadership, on its own clock
	epoch uint64
	// expiring is set while the process handles an expired lease.
	expiring bool
}

// modelWorker is one incarnation of a worker.
type modelWorker struct {
	id          string
	incarnation uint64
	rate        float64 // rate of its clock relative to true time
	capacity    int64   // in thousandths of a core
	sequence    uint64  // number of the last heartbeat
	expires     time.Duration
	seen        map[uint64]bool                // attempts ever received
	ended       map[uint64]*apiv1.EndedAttempt // ends that are not yet acknowledged
}

// modelRun is one execution of an attempt on a worker. A rogue run is one that the
// store never assigned.
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

// local returns the time that a clock of the given rate shows at true time now.
func local(now time.Duration, rate float64) time.Duration { return time.Duration(float64(now) * rate) }

func (w *leaseSimulation) apply(c *statev1.DataCentreCommand) *Result {
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

// leads reports whether the process leads and its leadership began at since.
func (w *leaseSimulation) leads(l int, since time.Duration) bool {
	return w.leading == l && w.leaders[l].since == since
}

// propose proposes a command and calls next with its result, or with nil if the
// proposer does not receive the outcome. The command is committed at once, later or
// never; it is never committed if the process does not lead.
func (w *leaseSimulation) propose(l int, c *statev1.DataCentreCommand, next func(known *Result)) {
	if w.leading != l {
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

// later adds a step that is run at some later time.
func (w *leaseSimulation) later(step func()) { w.steps = append(w.steps, step) }

// advance advances true time. Workers whose leases have expired stop their tasks.
func (w *leaseSimulation) advance(d time.Duration) {
	w.now += d
	for _, r := range w.runs {
		if r.active && !r.rogue && local(w.now, r.worker.rate) >= r.worker.expires {
			w.endRun(r, apiv1.Outcome_OUTCOME_CANCELLED)
		}
	}
}

func (w *leaseSimulation) endRun(r *modelRun, outcome apiv1.Outcome) {
	r.active = false
	r.worker.ended[r.attempt] = &apiv1.EndedAttempt{AttemptId: r.attempt, Outcome: outcome, JobId: r.job, Task: r.index}
}

func (w *leaseSimulation) heartbeat(m *modelWorker) {
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
	sentAt := local(w.now, m.rate)
	for range rapid.IntRange(1, 2).Draw(w.t, "copies") {
		l := w.leading
		w.later(func() { w.handle(l, m, r, sentAt) })
	}
}

// handle models the leader's heartbeat handler, DataCentreServer.Heartbeat, as a
// sequence of steps.
func (w *leaseSimulation) handle(l int, m *modelWorker, r *apiv1.HeartbeatRequest, sentAt time.Duration) {
	if w.leading != l {
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
		w.later(func() { w.register(l, since, m, r, sentAt) })
	}
	w.later(renew)
}

func (w *leaseSimulation) register(l int, since time.Duration, m *modelWorker, r *apiv1.HeartbeatRequest, sentAt time.Duration) {
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
				w.later(func() { w.reply(l, since, m, r, sentAt, known.Acknowledged) })
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

func (w *leaseSimulation) reply(l int, since time.Duration, m *modelWorker, r *apiv1.HeartbeatRequest, sentAt time.Duration, acknowledged []uint64) {
	d := w.store.Directives(r.WorkerId, r.Incarnation, r.Running)
	if !w.leads(l, since) {
		return
	}
	for range rapid.IntRange(1, 2).Draw(w.t, "copies") {
		w.later(func() { w.accept(m, &d, sentAt, acknowledged) })
	}
}

// accept models how a worker handles the reply to a heartbeat sent at sentAt.
func (w *leaseSimulation) accept(m *modelWorker, d *Directives, sentAt time.Duration, acknowledged []uint64) {
	if w.workers[workerNumber(m)] != m {
		return // the reply is for an incarnation that has ended
	}
	m.expires = max(m.expires, sentAt+lease.WorkerDuration)
	for _, id := range acknowledged {
		delete(m.ended, id)
	}
	if local(w.now, m.rate) >= sentAt+lease.WorkerDuration {
		return // the lease has expired: the attempts may already be declared lost
	}
	for _, id := range d.Stop {
		w.stop(m, id)
	}
	for i := range d.Start {
		w.start(m, &d.Start[i])
	}
}

func workerNumber(m *modelWorker) int { return int(m.id[1] - '0') }

func (w *leaseSimulation) stop(m *modelWorker, id uint64) {
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

func (w *leaseSimulation) start(m *modelWorker, a *AssignedAttempt) {
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

// expire models how the leader handles the expired lease of a worker. A single
// goroutine of each process does this, so it handles one worker at a time.
func (w *leaseSimulation) expire(l int, id string) {
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

// finishSteps runs up to 12 pending steps, the newest first. The steps that remain
// are delayed.
func (w *leaseSimulation) finishSteps(t *rapid.T) {
	for range rapid.SampledFrom([]int{1, 2, 3, 4, 6, 12, 12, 12}).Draw(t, "steps") {
		if len(w.steps) == 0 {
			return
		}
		s := w.steps[len(w.steps)-1]
		w.steps = w.steps[:len(w.steps)-1]
		s()
	}
}

// lead makes a process the leader. It advances the time first, because an election
// takes time: no two leaderships begin at the same instant.
func (w *leaseSimulation) lead(l int) {
	w.advance(time.Millisecond)
	w.leading = l
	leader := w.leaders[l]
	leader.since = local(w.now, leader.rate)
	leader.epoch = w.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_BeginLeadership{BeginLeadership: &statev1.BeginLeadership{}}}).Epoch
}

func (w *leaseSimulation) submit() {
	w.jobs++
	id := testID(w.jobs)
	idempotent := w.focused || rapid.Bool().Draw(w.t, "idempotent")
	spec := &statev1.WorkSpec{Team: "a", Service: "s", Size: &apiv1.Resources{MilliCpu: 1000}, Tasks: 1, Idempotent: idempotent, Exclusive: true}
	w.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_SubmitJob{SubmitJob: &statev1.SubmitJob{JobId: id, Spec: spec}}})
}

// place tries to place the task of each open job on a random worker, and checks the
// actual load of the workers.
func (w *leaseSimulation) place() {
	// The log time may run ahead of the clocks; advancing it ends every backoff.
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

// checkLoad fails the test if the attempts that a worker runs or must start exceed
// its registered capacity. Rogue runs count only once the store has charged them.
func (w *leaseSimulation) checkLoad(m *modelWorker) {
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

// check checks the invariants after each action: no task runs twice at once, no
// non-idempotent task is started twice, every worker has the capacity of its newest
// registration, and only attempts that are not open are charged.
func (w *leaseSimulation) check(t *rapid.T) {
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
			t.Fatalf("worker %s has a capacity other than that of its newest registration", m.id)
		}
		for id, size := range s.Charged {
			if _, open := s.Attempts[id]; open || size.MilliCPU < 0 {
				t.Fatalf("attempt %d of worker %s is charged wrongly", id, m.id)
			}
		}
	}
}

// testID returns a UUIDv7 with time zero and the given number.
func testID(n int) string { return fmt.Sprintf("00000000-0000-7000-8000-%012d", n) }

func newWorker(n int, incarnation uint64, t *rapid.T) *modelWorker {
	return &modelWorker{
		id:          fmt.Sprintf("w%d", n),
		incarnation: incarnation,
		capacity:    2000,
		seen:        map[uint64]bool{},
		ended:       map[uint64]*apiv1.EndedAttempt{},
		rate:        rapid.SampledFrom([]float64{0.99, 1}).Draw(t, "worker's rate"), expires: -1,
	}
}
