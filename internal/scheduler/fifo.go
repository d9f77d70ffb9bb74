package scheduler

import (
	"time"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/structs"
)

// FIFO is a simple scheduler that benchmarks compare with Scheduler. It places jobs in
// order of submission, each task on the first worker that can hold it, and has no
// shares, allotments, reservations or preemption.
type FIFO struct {
	// MaxSkippedJobs is how many jobs that do not fit are skipped in a plan. With 0 the
	// first of them blocks the rest.
	MaxSkippedJobs int
	fleet          *placement.Fleet
	head           *fifoJob
	tail           *fifoJob
	jobs           map[string]*fifoJob
	running        map[taskKey]fifoAttempt
}

type fifoJob struct {
	Job
	prev *fifoJob
	next *fifoJob
}

type fifoAttempt struct {
	slot placement.Slot
	size structs.Resources
}

// NewFIFO returns a FIFO scheduler without workers and jobs.
func NewFIFO(maxSkippedJobs int) *FIFO {
	return &FIFO{
		MaxSkippedJobs: maxSkippedJobs,
		fleet:          placement.NewFleet(),
		jobs:           map[string]*fifoJob{},
		running:        map[taskKey]fifoAttempt{},
	}
}

// SetTeam does nothing, since FIFO has no shares.
func (f *FIFO) SetTeam(string, float64, structs.Resources) {}

// UpsertWorker adds or replaces a worker.
func (f *FIFO) UpsertWorker(w placement.Worker) { f.fleet.Upsert(w) }

// Fleet returns the mirrored workers. The caller must not change them.
func (f *FIFO) Fleet() *placement.Fleet { return f.fleet }

// Waiting returns the number of waiting jobs.
func (f *FIFO) Waiting() int { return len(f.jobs) }

// AddJob adds a job at its place in the order of submission.
func (f *FIFO) AddJob(in Job) {
	f.RemoveJob(in.ID)
	j := &fifoJob{Job: in}
	f.jobs[in.ID] = j
	at := f.tail
	for at != nil && at.Submitted > in.Submitted {
		at = at.prev
	}
	j.prev = at
	if at == nil {
		j.next = f.head
		f.head = j
	} else {
		j.next = at.next
		at.next = j
	}
	if j.next == nil {
		f.tail = j
	} else {
		j.next.prev = j
	}
}

// RemoveJob removes a waiting job. Its running attempts stay until AttemptEnded.
func (f *FIFO) RemoveJob(id string) {
	j, known := f.jobs[id]
	if !known {
		return
	}
	delete(f.jobs, id)
	if j.prev == nil {
		f.head = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		f.tail = j.prev
	} else {
		j.next.prev = j.prev
	}
}

// AttemptEnded releases the size of an attempt from its worker.
func (f *FIFO) AttemptEnded(id string, task int, _ time.Duration, _ bool) {
	key := taskKey{id, int32(task)}
	if a, running := f.running[key]; running {
		f.fleet.Release(a.slot, a.size)
		delete(f.running, key)
	}
}

// ResizeAttempt replaces the size committed for an attempt.
func (f *FIFO) ResizeAttempt(id string, task int, size structs.Resources, _ time.Duration) {
	key := taskKey{id, int32(task)}
	if a, running := f.running[key]; running {
		f.fleet.Commit(a.slot, size)
		f.fleet.Release(a.slot, a.size)
		f.running[key] = fifoAttempt{a.slot, size}
	}
}

// Plan places jobs in order of submission until it has placed max tasks or more.
func (f *FIFO) Plan(_ time.Duration, max int) Batch {
	var b Batch
	skipped := 0
	for j := f.head; j != nil && skipped <= f.MaxSkippedJobs && len(b.Placements) < max; {
		next := j.next
		if f.placeJob(j, &b) {
			f.RemoveJob(j.ID)
		} else {
			skipped++
		}
		j = next
	}
	return b
}

// placeJob places the tasks that fit, or for a gang all tasks or none. It reports
// whether no waiting task is left.
func (f *FIFO) placeJob(j *fifoJob, b *Batch) bool {
	r := placement.Request{Size: j.Spec.Size}
	var slots []placement.Slot
	for range j.Tasks {
		slot, ok := placement.FirstFit{Fleet: f.fleet}.Choose(&r)
		if !ok {
			break
		}
		f.fleet.Commit(slot, r.Size)
		slots = append(slots, slot)
	}
	if j.Spec.Class == structs.ClassGang && len(slots) < len(j.Tasks) {
		for _, slot := range slots {
			f.fleet.Release(slot, r.Size)
		}
		return false
	}
	for i, slot := range slots {
		w := f.fleet.Worker(slot)
		f.running[taskKey{j.ID, int32(j.Tasks[i])}] = fifoAttempt{slot, r.Size}
		b.Placements = append(b.Placements, Placement{j.ID, j.Tasks[i], w.ID, w.Incarnation})
	}
	j.Tasks = j.Tasks[len(slots):]
	return len(j.Tasks) == 0
}
