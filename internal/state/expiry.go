package state

import (
	"container/heap"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// resultRetention is the minimum time for which the record of an ended job or a
// lost worker is kept, counted from its end or loss. IDRetention alone is counted
// from the submission, so a job that ran for days would be removed as it ends,
// before its result could be fetched.
const resultRetention = 24 * time.Hour

// AdvanceTime is proposed several times a second, so applying it must not scan
// all records. Each record that expires has an entry in a priority queue ordered
// by log time. The queue is derived from the records and is not part of the
// replicated state. An entry may come due before its record expires, because the
// expiry can move after the entry was queued. A request is then queued again; a
// worker is queued again each time it is lost.

// recordKind is the type of the record that a dueRecord refers to.
type recordKind int

const (
	requestRecord recordKind = iota
	jobRecord
	workerRecord
)

// dueRecord is an entry of the queue: the log time, in ms since the Unix epoch,
// at which the record is checked for expiry.
type dueRecord struct {
	atMs int64
	kind recordKind
	id   string
}

// dueQueue is a min-heap ordered by log time.
type dueQueue []dueRecord

func (q dueQueue) Len() int           { return len(q) }
func (q dueQueue) Less(i, j int) bool { return q[i].atMs < q[j].atMs }
func (q dueQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) { *q = append(*q, x.(dueRecord)) }

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	*q = (*q)[:last]
	return d
}

// advanceTime sets the log time, which never goes back. It gives requests whose
// deadline has passed without an answer the outcome "outcome unknown" and removes
// records whose retention has ended.
func (s *Store) advanceTime(c *statev1.AdvanceTime) *Result {
	if c.UnixMs <= s.data.LogTime {
		return &Result{Duplicate: true}
	}
	s.data.LogTime = c.UnixMs
	for len(s.due) > 0 && s.due[0].atMs <= s.data.LogTime {
		d := heap.Pop(&s.due).(dueRecord)
		switch d.kind {
		case requestRecord:
			s.expireRequest(d.id)
		case jobRecord:
			s.removeExpiredJob(d.id)
		case workerRecord:
			s.removeExpiredWorker(d.id)
		}
	}
	return &Result{}
}

func (s *Store) schedule(atMs int64, kind recordKind, id string) {
	heap.Push(&s.due, dueRecord{atMs, kind, id})
}

// rebuildDueQueue rebuilds the queue after the state was replaced by a snapshot.
func (s *Store) rebuildDueQueue() {
	s.due = nil
	for _, r := range s.data.Requests {
		s.scheduleRequest(r)
	}
	for _, j := range s.data.Jobs {
		s.scheduleJobRemoval(j)
	}
	for _, w := range s.data.Workers {
		s.scheduleWorkerRemoval(w)
	}
}

// requestDueMs returns the log time at which an unanswered request becomes
// "outcome unknown", or at which the record of an ended one is removed.
func requestDueMs(r *structs.Request) int64 {
	if r.Outcome == structs.OutcomeNone {
		return r.RecordedAt + (r.Deadline + answerGrace).Milliseconds() + 1
	}
	return idExpiryMs(r.ID)
}

// idExpiryMs returns the first log time at which checkID refuses the id for its
// age. From then on its record is not needed to detect a repetition.
func idExpiryMs(id string) int64 {
	ms, _ := idTime(id)
	return ms + IDRetention.Milliseconds() + 1
}

func (s *Store) scheduleRequest(r *structs.Request) { s.schedule(requestDueMs(r), requestRecord, r.ID) }

// expireRequest gives an unanswered request that is due the outcome "outcome
// unknown", and removes the record of an ended request that is due.
func (s *Store) expireRequest(id string) {
	r := s.data.Requests[id]
	if r == nil {
		return
	}
	if r.Outcome == structs.OutcomeNone && requestDueMs(r) <= s.data.LogTime {
		r.Outcome = structs.OutcomeUnknown
		r.Detail = "no answer was recorded within the deadline"
	}
	if r.Outcome != structs.OutcomeNone && requestDueMs(r) <= s.data.LogTime {
		delete(s.data.Requests, id)
		return
	}
	s.scheduleRequest(r)
}

// scheduleJobRemoval queues the removal of an ended job. A job that has not ended
// is queued when it ends.
func (s *Store) scheduleJobRemoval(j *structs.Job) {
	if j.Ended() {
		s.schedule(jobDueMs(j), jobRecord, j.ID)
	}
}

// jobDueMs returns the log time at which the record of an ended job is removed.
func jobDueMs(j *structs.Job) int64 {
	return max(idExpiryMs(j.ID), j.EndedAt+resultRetention.Milliseconds())
}

func (s *Store) removeExpiredJob(id string) {
	if j := s.data.Jobs[id]; j != nil && j.Ended() && jobDueMs(j) <= s.data.LogTime {
		delete(s.data.Jobs, id)
	}
}

func (s *Store) scheduleWorkerRemoval(w *structs.Worker) {
	if w.Lost {
		s.schedule(w.LostAt+resultRetention.Milliseconds(), workerRecord, w.ID)
	}
}

// removeExpiredWorker removes a worker that has been lost for resultRetention.
// A lost worker has no open attempts.
func (s *Store) removeExpiredWorker(id string) {
	w := s.data.Workers[id]
	if w == nil || !w.Lost || w.LostAt+resultRetention.Milliseconds() > s.data.LogTime {
		return
	}
	delete(s.data.Workers, id)
	s.observer.WorkerChanged(id)
}
