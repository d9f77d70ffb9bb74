package standin

import (
	"context"
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
	// heartbeatHold is how long a heartbeat may be held. Ends of tasks are
	// reported beside it.
	heartbeatHold    = time.Second
	heartbeatTimeout = 2500 * time.Millisecond
	heartbeatPause   = 100 * time.Millisecond
	// fullInterval is how often a heartbeat states everything; the others state
	// what has changed since.
	fullInterval = 5 * time.Second
	// endDelay gathers the ends of tasks into one report.
	endDelay = 5 * time.Millisecond
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

	mu       sync.Mutex
	sequence uint64
	expires  time.Time
	// full is what the last full heartbeat stated, fullSequence its sequence (0
	// if the next one must be full).
	full         map[uint64]bool
	fullSequence uint64
	fullAt       time.Time
	// expiry stops every task when the lease has run out.
	expiry *time.Timer
	tasks  map[uint64]*task
	ended  map[uint64]*apiv1.EndedAttempt
	// wake asks for a report of ends.
	wake chan struct{}
	// seen holds every attempt that was started, so that none starts twice.
	seen    map[uint64]bool
	leaving bool
}

// NewWorker returns a worker with a new incarnation.
func NewWorker(c WorkerConfig) *Worker {
	return &Worker{
		c: c, incarnation: uint64(time.Now().UnixNano()), tasks: map[uint64]*task{},
		ended: map[uint64]*apiv1.EndedAttempt{}, seen: map[uint64]bool{}, wake: make(chan struct{}, 1),
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
	go w.reportEnds(ctx)
	for ctx.Err() == nil {
		if err := w.heartbeat(ctx, heartbeatHold); err != nil {
			w.c.Logger.Debug("heartbeat failed", "worker", w.c.ID, "error", err)
			sleep(ctx, heartbeatPause)
		}
	}
}

// reportEnds reports ends of tasks beside the heartbeat that is being held.
func (w *Worker) reportEnds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		sleep(ctx, endDelay)
		if err := w.heartbeat(ctx, 0); err != nil {
			w.c.Logger.Debug("report of ends failed", "worker", w.c.ID, "error", err)
			sleep(ctx, heartbeatPause)
			w.wakeReport()
		}
	}
}

func (w *Worker) wakeReport() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// heartbeat asks one entry; the lease counts from before the question.
func (w *Worker) heartbeat(ctx context.Context, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request := w.report(hold)
	entry := w.c.Entries[int(request.Sequence)%len(w.c.Entries)]
	client := apiv1connect.NewTargetServiceClient(w.c.Client, "http://"+entry)
	asked := time.Now()
	reply, err := client.Heartbeat(ctx, connect.NewRequest(request))
	if err != nil {
		w.sendFull()
		return err
	}
	if reply.Msg.SendFull {
		w.sendFull()
		if hold == 0 {
			w.wakeReport()
		}
		return nil
	}
	w.accept(asked, reply.Msg)
	return nil
}

// sendFull makes the next heartbeat state everything.
func (w *Worker) sendFull() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fullSequence = 0
}

func (w *Worker) report(hold time.Duration) *apiv1.HeartbeatRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	r := &apiv1.HeartbeatRequest{
		WorkerId: w.c.ID, Incarnation: w.incarnation, DataCentre: w.c.DataCentre, Rack: w.c.Rack,
		Capacity: w.c.Capacity.Proto(), Leaving: w.leaving, WaitMs: hold.Milliseconds(), Sequence: w.sequence,
	}
	for _, e := range w.ended {
		r.Ended = append(r.Ended, e)
	}
	now := time.Now()
	if w.fullSequence != 0 && now.Sub(w.fullAt) < fullInterval {
		w.stateChanges(r)
		return r
	}
	w.full = map[uint64]bool{}
	w.fullSequence, w.fullAt = r.Sequence, now
	for id, t := range w.tasks {
		w.full[id] = true
		r.Running = append(r.Running, id)
		r.Attempts = append(r.Attempts, &apiv1.RunningAttempt{AttemptId: id, Size: t.size.Proto(), Usage: t.usage(&w.c.Behaviour, now)})
	}
	return r
}

// stateChanges states what has changed since the last full heartbeat.
func (w *Worker) stateChanges(r *apiv1.HeartbeatRequest) {
	r.FullSequence = w.fullSequence
	for id, t := range w.tasks {
		if !w.full[id] {
			r.Running = append(r.Running, id)
			r.Attempts = append(r.Attempts, &apiv1.RunningAttempt{AttemptId: id, Size: t.size.Proto()})
		}
	}
	for id := range w.full {
		if w.tasks[id] == nil {
			r.Gone = append(r.Gone, id)
		}
	}
}

func (w *Worker) accept(asked time.Time, r *apiv1.HeartbeatResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	expires := asked.Add(time.Duration(r.LeaseMs) * time.Millisecond)
	w.extend(expires)
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
	for _, id := range r.Checkpoint {
		w.checkpoint(id)
	}
	w.throttle(r.Throttle)
	for _, a := range r.Start {
		w.start(a)
	}
}

// extend moves the end of the lease. A reply that was overtaken by a later one
// does not shorten it.
func (w *Worker) extend(expires time.Time) {
	if !expires.After(w.expires) {
		return
	}
	w.expires = expires
	if w.expiry == nil {
		w.expiry = time.AfterFunc(time.Until(expires), w.expire)
		return
	}
	w.expiry.Reset(time.Until(expires))
}

// expire stops every task when the lease has run out.
func (w *Worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if left := time.Until(w.expires); left > 0 {
		w.expiry.Reset(left)
		return
	}
	for _, t := range w.tasks {
		t.expire()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
