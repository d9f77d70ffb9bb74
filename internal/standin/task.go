package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/structs"
)

// task is a task that runs on a worker. A batch task is a timer; only an
// instance of a service has a goroutine.
type task struct {
	run     *Run
	size    structs.Resources
	started time.Time
	// throttled is since when the task is throttled; zero if it is not.
	throttled time.Time
	// timer ends a batch task; nil for an instance.
	timer  *time.Timer
	cancel func(checkpoint bool)
	stop   chan struct{}
	once   sync.Once
	// abort is closed when the lease has run out: the task must end at once.
	abort     chan struct{}
	abortOnce sync.Once
}

func (t *task) expire() {
	t.cancel(false)
	t.abortOnce.Do(func() { close(t.abort) })
}

// usage returns what the task used some time ago; nil before it was measured.
func (t *task) usage(b *Behaviour, now time.Time) *apiv1.Resources {
	measured := now.Add(-b.UsageLag)
	if b.SizeFactor <= 0 || measured.Before(t.started) {
		return nil
	}
	factor := b.SizeFactor
	if !t.throttled.IsZero() && t.throttled.Before(measured) {
		factor = min(factor, 1)
	}
	scale := func(n int64) int64 { return int64(float64(n) * factor) }
	// Accelerators are whole devices, so no more than declared are used.
	return &apiv1.Resources{MilliCpu: scale(t.size.MilliCPU), MemoryBytes: scale(t.size.MemoryBytes), Accelerators: t.size.Accelerators}
}

func (w *Worker) stop(id uint64) {
	if t := w.tasks[id]; t != nil {
		t.cancel(false)
		return
	}
	if !w.seen[id] {
		w.seen[id] = true
		w.ended[id] = &apiv1.EndedAttempt{AttemptId: id, Outcome: apiv1.Outcome_OUTCOME_CANCELLED, NeverStarted: true}
		w.wakeReport()
	}
}

// checkpoint ends a task that can go on in another attempt.
func (w *Worker) checkpoint(id uint64) {
	if t := w.tasks[id]; t != nil {
		t.cancel(true)
	}
}

// throttle keeps the tasks named to their declared sizes, and lets the others go.
func (w *Worker) throttle(ids []uint64) {
	named := map[uint64]bool{}
	for _, id := range ids {
		named[id] = true
	}
	for id, t := range w.tasks {
		switch {
		case !named[id]:
			t.throttled = time.Time{}
		case t.throttled.IsZero():
			t.throttled = time.Now()
		}
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
	t := &task{run: run, size: size, started: time.Now(), stop: make(chan struct{}), abort: make(chan struct{})}
	w.tasks[a.AttemptId] = t
	if a.ServiceInstance {
		t.cancel = func(bool) { t.once.Do(func() { close(t.stop) }) }
		go w.runInstance(a, t)
		return
	}
	w.runTask(a, t)
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

// runTask ends the task when its run time has passed or it is cancelled.
func (w *Worker) runTask(a *apiv1.Assignment, t *task) {
	work := parseWork(a.Payload)
	end := &apiv1.EndedAttempt{AttemptId: a.AttemptId, JobId: a.JobId, Task: a.Task}
	t.timer = time.AfterFunc(w.c.Behaviour.runTime(work), func() {
		end.Outcome = apiv1.Outcome_OUTCOME_OK
		end.Answer = []byte("done " + t.run.ID)
		if work.Fail || w.c.Behaviour.FailAll {
			end.Outcome = apiv1.Outcome_OUTCOME_FAILED
			end.Answer = nil
			end.Detail = "the emulated task failed"
		}
		w.finish(t, end, true)
	})
	t.cancel = func(checkpoint bool) {
		if !t.timer.Stop() {
			return
		}
		end.Outcome = apiv1.Outcome_OUTCOME_CANCELLED
		end.Detail = "stopped"
		end.Checkpointed = checkpoint
		// The caller holds the worker's lock.
		go w.finish(t, end, false)
	}
}

// finish records the end of a task until it is acknowledged.
func (w *Worker) finish(t *task, end *apiv1.EndedAttempt, completed bool) {
	w.c.Records.endTask(t.run, t.size, completed)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tasks, end.AttemptId)
	w.ended[end.AttemptId] = end
	w.wakeReport()
}
