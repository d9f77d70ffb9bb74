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
	// heartbeatHold is how long the server may hold a heartbeat before it answers.
	// Ends of tasks are meanwhile reported by further heartbeats.
	heartbeatHold = time.Second
	// heartbeatTimeout bounds the time for one heartbeat, including the hold.
	heartbeatTimeout = 2500 * time.Millisecond
	// heartbeatRetryDelay is the wait after a failed heartbeat.
	heartbeatRetryDelay = 100 * time.Millisecond
	// fullHeartbeatInterval is the interval of full heartbeats, which state all running
	// attempts. The others state the changes since the last full one.
	fullHeartbeatInterval = 5 * time.Second
	// endReportDelay is the wait before ends of tasks are reported, so that ends at
	// almost the same time go into one heartbeat.
	endReportDelay = 5 * time.Millisecond
)

// WorkerConfig configures an emulated worker.
type WorkerConfig struct {
	ID         string
	DataCentre string
	Rack       string
	Capacity   structs.Resources
	Behaviour  Behaviour
	// Entries are the addresses to which the worker sends heartbeats in turn.
	Entries []string
	Client  *http.Client
	Records *Records
	Logger  *slog.Logger
	// Instance is the template for the instances of services that run on the worker.
	Instance InstanceConfig
}

// Worker is an emulated worker.
type Worker struct {
	config      WorkerConfig
	incarnation uint64

	mu sync.Mutex
	// sequence is the number of the last heartbeat.
	sequence uint64
	// expires is when the lease expires.
	expires time.Time
	// lastFullIDs holds the attempts that the last full heartbeat stated.
	lastFullIDs map[uint64]bool
	// lastFullSequence is the sequence of the last full heartbeat; 0 if the next one
	// must be full.
	lastFullSequence uint64
	lastFullAt       time.Time
	// expiry calls expire at the end of the lease.
	expiry *time.Timer
	// tasks holds the running tasks by attempt id.
	tasks map[uint64]*task
	// ended holds the ended attempts that are not acknowledged.
	ended map[uint64]*apiv1.EndedAttempt
	// reportRequests receives a value when ends of tasks are to be reported.
	reportRequests chan struct{}
	// knownAttempts holds every attempt that was started or stopped, so that none
	// starts twice or after it was stopped.
	knownAttempts map[uint64]bool
	leaving       bool
}

// NewWorker returns a worker with a new incarnation.
func NewWorker(c WorkerConfig) *Worker {
	return &Worker{
		config: c, incarnation: uint64(time.Now().UnixNano()), tasks: map[uint64]*task{},
		ended: map[uint64]*apiv1.EndedAttempt{}, knownAttempts: map[uint64]bool{}, reportRequests: make(chan struct{}, 1),
	}
}

// Leave makes the following heartbeats state that the worker takes no new work.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// Run sends heartbeats and runs the assigned tasks until the context ends.
func (w *Worker) Run(ctx context.Context) {
	go w.reportEnds(ctx)
	for ctx.Err() == nil {
		if err := w.heartbeat(ctx, heartbeatHold); err != nil {
			w.config.Logger.Debug("heartbeat failed", "worker", w.config.ID, "error", err)
			sleep(ctx, heartbeatRetryDelay)
		}
	}
}

// reportEnds reports ends of tasks with heartbeats that are answered at once, while
// another heartbeat is being held.
func (w *Worker) reportEnds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.reportRequests:
		}
		sleep(ctx, endReportDelay)
		if err := w.heartbeat(ctx, 0); err != nil {
			w.config.Logger.Debug("report of ends failed", "worker", w.config.ID, "error", err)
			sleep(ctx, heartbeatRetryDelay)
			w.requestReport()
		}
	}
}

// requestReport makes reportEnds send a heartbeat.
func (w *Worker) requestReport() {
	select {
	case w.reportRequests <- struct{}{}:
	default:
	}
}

// heartbeat sends a heartbeat to one entry and applies the reply. The lease counts
// from before the request is sent, so that it does not expire later than the server
// assumes.
func (w *Worker) heartbeat(ctx context.Context, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request := w.newHeartbeat(hold)
	entry := w.config.Entries[int(request.Sequence)%len(w.config.Entries)]
	client := apiv1connect.NewTargetServiceClient(w.config.Client, "http://"+entry)
	sentAt := time.Now()
	reply, err := client.Heartbeat(ctx, connect.NewRequest(request))
	if err != nil {
		w.requireFullHeartbeat()
		return err
	}
	if reply.Msg.SendFull {
		w.requireFullHeartbeat()
		if hold == 0 {
			w.requestReport()
		}
		return nil
	}
	w.applyReply(sentAt, reply.Msg)
	return nil
}

// requireFullHeartbeat makes the next heartbeat a full one.
func (w *Worker) requireFullHeartbeat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFullSequence = 0
}

// newHeartbeat returns the next heartbeat, which the server may hold for a time.
func (w *Worker) newHeartbeat(hold time.Duration) *apiv1.HeartbeatRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	r := &apiv1.HeartbeatRequest{
		WorkerId: w.config.ID, Incarnation: w.incarnation, DataCentre: w.config.DataCentre, Rack: w.config.Rack,
		Capacity: w.config.Capacity.Proto(), Leaving: w.leaving, WaitMs: hold.Milliseconds(), Sequence: w.sequence,
	}
	for _, e := range w.ended {
		r.Ended = append(r.Ended, e)
	}
	now := time.Now()
	if w.lastFullSequence != 0 && now.Sub(w.lastFullAt) < fullHeartbeatInterval {
		w.addChanges(r)
		return r
	}
	w.lastFullIDs = map[uint64]bool{}
	w.lastFullSequence, w.lastFullAt = r.Sequence, now
	for id, t := range w.tasks {
		w.lastFullIDs[id] = true
		r.Running = append(r.Running, id)
		r.Attempts = append(r.Attempts, &apiv1.RunningAttempt{AttemptId: id, Size: t.size.Proto(), Usage: t.usage(&w.config.Behaviour, now)})
	}
	return r
}

// addChanges adds the changes since the last full heartbeat to a heartbeat.
func (w *Worker) addChanges(r *apiv1.HeartbeatRequest) {
	r.FullSequence = w.lastFullSequence
	for id, t := range w.tasks {
		if !w.lastFullIDs[id] {
			r.Running = append(r.Running, id)
			r.Attempts = append(r.Attempts, &apiv1.RunningAttempt{AttemptId: id, Size: t.size.Proto()})
		}
	}
	for id := range w.lastFullIDs {
		if w.tasks[id] == nil {
			r.Gone = append(r.Gone, id)
		}
	}
}

// applyReply extends the lease and carries out the directives of a reply to a
// heartbeat sent at sentAt.
func (w *Worker) applyReply(sentAt time.Time, r *apiv1.HeartbeatResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	expires := sentAt.Add(time.Duration(r.LeaseMs) * time.Millisecond)
	w.extendLease(expires)
	for _, id := range r.Acknowledged {
		delete(w.ended, id)
	}
	// Once the lease of this reply has expired, the server may have declared its
	// attempts lost, even if a later reply has renewed the worker's lease.
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

// extendLease moves the end of the lease. A reply that arrives after the reply to a
// later heartbeat does not shorten it.
func (w *Worker) extendLease(expires time.Time) {
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

// expire stops every task if the lease has expired.
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

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
