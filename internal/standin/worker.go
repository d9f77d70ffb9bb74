package standin

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/internal/structs"
)

const (
	heartbeatHold = 800 * time.Millisecond
	// busyHold is the hold while tasks run, so that their ends are soon reported.
	busyHold         = 50 * time.Millisecond
	heartbeatTimeout = 2500 * time.Millisecond
	heartbeatPause   = 100 * time.Millisecond
	leaseCheck       = 20 * time.Millisecond
)

// WorkerConfig configures an emulated worker.
type WorkerConfig struct {
	ID         string
	DataCentre string
	Rack       string
	Capacity   structs.Resources
	Behaviour  Behaviour
	// Entries are the addresses that the worker asks in turn.
	Entries []string
	Client  *http.Client
	Records *Records
	Logger  *slog.Logger
	// Instance is the template of the instances of services that run here.
	Instance InstanceConfig
}

// Worker is an emulated worker.
type Worker struct {
	c           WorkerConfig
	incarnation uint64

	mu      sync.Mutex
	expires time.Time
	tasks   map[uint64]*task
	ended   map[uint64]*apiv1.EndedAttempt
	// seen holds every attempt that was started, so that none starts twice.
	seen    map[uint64]bool
	leaving bool
}

type task struct {
	run  *Run
	size structs.Resources
	stop chan struct{}
	once sync.Once
	// abort is closed when the lease has run out: the task must end at once.
	abort     chan struct{}
	abortOnce sync.Once
}

func (t *task) cancel() { t.once.Do(func() { close(t.stop) }) }

func (t *task) expire() {
	t.cancel()
	t.abortOnce.Do(func() { close(t.abort) })
}

// NewWorker returns a worker with a new incarnation.
func NewWorker(c WorkerConfig) *Worker {
	return &Worker{
		c: c, incarnation: uint64(time.Now().UnixNano()), tasks: map[uint64]*task{},
		ended: map[uint64]*apiv1.EndedAttempt{}, seen: map[uint64]bool{},
	}
}

// Leave announces that the worker takes no new work.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// Run sends heartbeats until the context ends.
func (w *Worker) Run(ctx context.Context) {
	go w.enforceLease(ctx)
	for n := uint64(1); ctx.Err() == nil; n++ {
		if err := w.heartbeat(ctx, n); err != nil {
			w.c.Logger.Debug("heartbeat failed", "worker", w.c.ID, "error", err)
			sleep(ctx, heartbeatPause)
		}
	}
}

// heartbeat asks one entry; the lease counts from before the question.
func (w *Worker) heartbeat(ctx context.Context, n uint64) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	entry := w.c.Entries[int(n)%len(w.c.Entries)]
	client := apiv1connect.NewTargetServiceClient(w.c.Client, "http://"+entry)
	request := w.report(n)
	asked := time.Now()
	reply, err := client.Heartbeat(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	w.accept(asked, reply.Msg)
	return nil
}

func (w *Worker) report(n uint64) *apiv1.HeartbeatRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &apiv1.HeartbeatRequest{
		WorkerId: w.c.ID, Incarnation: w.incarnation, DataCentre: w.c.DataCentre, Rack: w.c.Rack,
		Capacity: w.c.Capacity.Proto(), Leaving: w.leaving, WaitMs: heartbeatHold.Milliseconds(), Sequence: n,
	}
	for id, t := range w.tasks {
		r.Running = append(r.Running, id)
		r.Attempts = append(r.Attempts, &apiv1.RunningAttempt{AttemptId: id, Size: t.size.Proto()})
	}
	for _, e := range w.ended {
		r.Ended = append(r.Ended, e)
	}
	if len(r.Running) > 0 {
		r.WaitMs = busyHold.Milliseconds()
	}
	return r
}

func (w *Worker) accept(asked time.Time, r *apiv1.HeartbeatResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A reply that was overtaken by a later one does not shorten the lease.
	expires := asked.Add(time.Duration(r.LeaseMs) * time.Millisecond)
	if expires.After(w.expires) {
		w.expires = expires
	}
	for _, id := range r.Acknowledged {
		delete(w.ended, id)
	}
	// After the reply's own lease its attempts may have been declared lost, even
	// if a later reply has renewed the worker's lease.
	if time.Now().After(expires) {
		return
	}
	for _, id := range r.Stop {
		w.stop(id)
	}
	for _, a := range r.Start {
		w.start(a)
	}
}

func (w *Worker) stop(id uint64) {
	if t := w.tasks[id]; t != nil {
		t.cancel()
		return
	}
	if !w.seen[id] {
		w.seen[id] = true
		w.ended[id] = &apiv1.EndedAttempt{AttemptId: id, Outcome: apiv1.Outcome_OUTCOME_CANCELLED, NeverStarted: true}
	}
}

func (w *Worker) start(a *apiv1.Assignment) {
	if w.seen[a.AttemptId] {
		return
	}
	w.seen[a.AttemptId] = true
	size := structs.ResourcesFromProto(a.Size)
	id := fmt.Sprintf("%s/%d", a.JobId, a.Task)
	if a.ServiceInstance {
		// Each data centre numbers its own instances of a service.
		id += "@" + w.c.DataCentre
	}
	run := w.c.Records.startTask(Run{
		ID: id, Attempt: a.AttemptId, Target: w.c.ID, Team: a.Team, Service: a.Service,
	}, size, w.c.Capacity)
	t := &task{run: run, size: size, stop: make(chan struct{}), abort: make(chan struct{})}
	w.tasks[a.AttemptId] = t
	if a.ServiceInstance {
		go w.runInstance(a, t)
		return
	}
	go w.runTask(a, t)
}

// runInstance serves calls until the instance is stopped. A stopped instance
// announces that it is leaving and finishes its calls first.
func (w *Worker) runInstance(a *apiv1.Assignment, t *task) {
	end := &apiv1.EndedAttempt{AttemptId: a.AttemptId, JobId: a.JobId, Task: a.Task, Outcome: apiv1.Outcome_OUTCOME_CANCELLED, Detail: "stopped"}
	c := w.c.Instance
	c.ID = fmt.Sprintf("%s-%d", w.c.ID, a.AttemptId)
	c.DataCentre, c.Team, c.Service = w.c.DataCentre, a.Team, a.Service
	c.Entries, c.Client, c.Records, c.Logger, c.Behaviour = w.c.Entries, w.c.Client, w.c.Records, w.c.Logger, w.c.Behaviour
	in, err := NewInstance(c)
	if err != nil {
		end.Outcome = apiv1.Outcome_OUTCOME_FAILED
		end.Detail = err.Error()
		w.finish(t, end, false)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go in.Run(ctx)
	<-t.stop
	in.Leave()
	in.drain(t.abort)
	w.finish(t, end, false)
}

// finish records the end of a task until it is acknowledged.
func (w *Worker) finish(t *task, end *apiv1.EndedAttempt, completed bool) {
	w.c.Records.endTask(t.run, t.size, completed)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tasks, end.AttemptId)
	w.ended[end.AttemptId] = end
}

func (w *Worker) runTask(a *apiv1.Assignment, t *task) {
	work := parseWork(a.Payload)
	end := &apiv1.EndedAttempt{AttemptId: a.AttemptId, JobId: a.JobId, Task: a.Task, Outcome: apiv1.Outcome_OUTCOME_OK, Answer: []byte("done " + t.run.ID)}
	completed := true
	select {
	case <-time.After(w.c.Behaviour.runTime(work)):
	case <-t.stop:
		completed = false
		end.Outcome = apiv1.Outcome_OUTCOME_CANCELLED
		end.Answer = nil
		end.Detail = "stopped"
	}
	if completed && (work.Fail || w.c.Behaviour.FailAll) {
		end.Outcome = apiv1.Outcome_OUTCOME_FAILED
		end.Answer = nil
		end.Detail = "the emulated task failed"
	}
	w.finish(t, end, completed)
}

// enforceLease stops every task when the lease has run out.
func (w *Worker) enforceLease(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, leaseCheck)
		w.mu.Lock()
		if time.Now().After(w.expires) {
			for _, t := range w.tasks {
				t.expire()
			}
		}
		w.mu.Unlock()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
