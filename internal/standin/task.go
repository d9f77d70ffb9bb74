package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/structs"
)

// task is a task that runs on a worker. A batch task needs only a timer; an instance
// of a service has a goroutine.
type task struct {
	run     *Run
	size    structs.Resources
	started time.Time
	// throttledSince is when the task was throttled; zero if it is not.
	throttledSince time.Time
	// timer ends a batch task; nil for an instance.
	timer *time.Timer
	// cancel ends the task, with a checkpoint if the argument is true.
	cancel func(checkpoint bool)
	// stop is closed, once, to stop an instance.
	stop     chan struct{}
	stopOnce sync.Once
	// abort is closed, once, when the lease has expired: the task must end at once.
	abort     chan struct{}
	abortOnce sync.Once
}

// expire ends the task because the lease of its worker has expired.
func (t *task) expire() {
	t.cancel(false)
	t.abortOnce.Do(func() { close(t.abort) })
}

// usage returns the usage that a worker reports at time now. It is as old as
// b.UsageLag, and nil if the task had not started then or no usage is reported.
func (t *task) usage(b *Behaviour, now time.Time) *apiv1.Resources {
	measured := now.Add(-b.UsageLag)
	if b.SizeFactor <= 0 || measured.Before(t.started) {
		return nil
	}
	factor := b.SizeFactor
	if !t.throttledSince.IsZero() && t.throttledSince.Before(measured) {
		factor = min(factor, 1)
	}
	scale := func(n int64) int64 { return int64(float64(n) * factor) }
	// Accelerators are allocated as whole devices, so the usage is as declared.
	return &apiv1.Resources{MilliCpu: scale(t.size.MilliCPU), MemoryBytes: scale(t.size.MemoryBytes), Accelerators: t.size.Accelerators}
}

// stop stops an attempt. An attempt that has not been started is reported as ended
// without a start, and is not started any more.
func (w *Worker) stop(id uint64) {
	if t := w.tasks[id]; t != nil {
		t.cancel(false)
		return
	}
	if !w.knownAttempts[id] {
		w.knownAttempts[id] = true
		w.ended[id] = &apiv1.EndedAttempt{AttemptId: id, Outcome: apiv1.Outcome_OUTCOME_CANCELLED, NeverStarted: true}
		w.requestReport()
	}
}

// checkpoint ends an attempt with a checkpoint from which another attempt can resume.
func (w *Worker) checkpoint(id uint64) {
	if t := w.tasks[id]; t != nil {
		t.cancel(true)
	}
}

// throttle limits the given attempts to their declared sizes and lifts the limit of
// all others.
func (w *Worker) throttle(ids []uint64) {
	throttled := map[uint64]bool{}
	for _, id := range ids {
		throttled[id] = true
	}
	for id, t := range w.tasks {
		switch {
		case !throttled[id]:
			t.throttledSince = time.Time{}
		case t.throttledSince.IsZero():
			t.throttledSince = time.Now()
		}
	}
}

// start starts an assigned attempt, unless it was started or stopped before.
func (w *Worker) start(a *apiv1.Assignment) {
	if w.knownAttempts[a.AttemptId] {
		return
	}
	w.knownAttempts[a.AttemptId] = true
	size := structs.ResourcesFromProto(a.Size)
	id := fmt.Sprintf("%s/%d", a.JobId, a.Task)
	if a.ServiceInstance {
		// Instances of a service are numbered in each data centre separately.
		id += "@" + w.config.DataCentre
	}
	run := w.config.Records.startTask(Run{
		ID: id, Attempt: a.AttemptId, Target: w.config.ID, Team: a.Team, Service: a.Service,
	}, size, w.config.Capacity)
	t := &task{run: run, size: size, started: time.Now(), stop: make(chan struct{}), abort: make(chan struct{})}
	w.tasks[a.AttemptId] = t
	if a.ServiceInstance {
		t.cancel = func(bool) { t.stopOnce.Do(func() { close(t.stop) }) }
		go w.runInstance(a, t)
		return
	}
	w.runTask(a, t)
}

// runInstance serves calls until the instance is stopped. A stopped instance first
// announces that it is leaving and finishes its calls.
func (w *Worker) runInstance(a *apiv1.Assignment, t *task) {
	end := &apiv1.EndedAttempt{AttemptId: a.AttemptId, JobId: a.JobId, Task: a.Task, Outcome: apiv1.Outcome_OUTCOME_CANCELLED, Detail: "stopped"}
	c := w.config.Instance
	c.ID = fmt.Sprintf("%s-%d", w.config.ID, a.AttemptId)
	c.DataCentre, c.Team, c.Service = w.config.DataCentre, a.Team, a.Service
	c.Entries, c.Client, c.Records, c.Logger, c.Behaviour = w.config.Entries, w.config.Client, w.config.Records, w.config.Logger, w.config.Behaviour
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

// runTask starts the timer that ends the task after its run time, and sets cancel.
func (w *Worker) runTask(a *apiv1.Assignment, t *task) {
	work := parseWork(a.Payload)
	end := &apiv1.EndedAttempt{AttemptId: a.AttemptId, JobId: a.JobId, Task: a.Task}
	t.timer = time.AfterFunc(w.config.Behaviour.runTime(work), func() {
		end.Outcome = apiv1.Outcome_OUTCOME_OK
		end.Answer = []byte("done " + t.run.ID)
		if work.Fail || w.config.Behaviour.FailAll {
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
		// finish locks the worker, which the caller of cancel has locked.
		go w.finish(t, end, false)
	}
}

// finish records the end of a task. Heartbeats report it until it is acknowledged.
func (w *Worker) finish(t *task, end *apiv1.EndedAttempt, completed bool) {
	w.config.Records.endTask(t.run, t.size, completed)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tasks, end.AttemptId)
	w.ended[end.AttemptId] = end
	w.requestReport()
}
