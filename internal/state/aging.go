package state

import (
	"container/heap"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// resultRetention is how long an ended job and a lost worker are remembered at
// least, so that the result of a job that ran for days can be fetched.
const resultRetention = 24 * time.Hour

// AdvanceTime is proposed several times a second, so it must not look at records
// that are not due: each record has an entry in a queue ordered by time. The
// queue is derived from the records and not part of the replicated state; an
// entry that is due early is put back.

type dueKind int

const (
	dueRequest dueKind = iota
	dueJob
	dueWorker
)

// due is the log time, in ms, at which a record is to be looked at.
type due struct {
	at   int64
	kind dueKind
	id   string
}

type dueQueue []due

func (q dueQueue) Len() int           { return len(q) }
func (q dueQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q dueQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) { *q = append(*q, x.(due)) }

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	*q = (*q)[:last]
	return d
}

// advanceTime moves the log time, ends records without an answer and forgets
// records that are older than the retention.
func (s *Store) advanceTime(c *statev1.AdvanceTime) *Result {
	if c.UnixMs <= s.d.LogTime {
		return &Result{Duplicate: true}
	}
	s.d.LogTime = c.UnixMs
	for len(s.queue) > 0 && s.queue[0].at <= s.d.LogTime {
		d := heap.Pop(&s.queue).(due)
		switch d.kind {
		case dueRequest:
			s.ageRequest(d.id)
		case dueJob:
			s.ageJob(d.id)
		case dueWorker:
			s.ageWorker(d.id)
		}
	}
	return &Result{}
}

func (s *Store) watch(at int64, kind dueKind, id string) { heap.Push(&s.queue, due{at, kind, id}) }

// watchAll rebuilds the queue after the state was replaced.
func (s *Store) watchAll() {
	s.queue = nil
	for _, r := range s.d.Requests {
		s.watchRequest(r)
	}
	for _, j := range s.d.Jobs {
		s.watchJob(j)
	}
	for _, w := range s.d.Workers {
		s.watchWorker(w)
	}
}

// requestDue is when an unanswered request becomes "outcome unknown", or when an
// ended one is forgotten.
func requestDue(r *structs.Request) int64 {
	if r.Outcome == structs.OutcomeNone {
		return r.RecordedAt + (r.Deadline + answerGrace).Milliseconds() + 1
	}
	return forgetAt(r.ID)
}

// forgetAt is when an id is refused for its age.
func forgetAt(id string) int64 {
	ms, _ := idTime(id)
	return ms + IDRetention.Milliseconds() + 1
}

func (s *Store) watchRequest(r *structs.Request) { s.watch(requestDue(r), dueRequest, r.ID) }

func (s *Store) ageRequest(id string) {
	r := s.d.Requests[id]
	if r == nil {
		return
	}
	if r.Outcome == structs.OutcomeNone && requestDue(r) <= s.d.LogTime {
		r.Outcome = structs.OutcomeUnknown
		r.Detail = "no answer was recorded within the deadline"
	}
	if r.Outcome != structs.OutcomeNone && requestDue(r) <= s.d.LogTime {
		delete(s.d.Requests, id)
		return
	}
	s.watchRequest(r)
}

// watchJob enters an ended job; one that has not ended is entered when it ends.
func (s *Store) watchJob(j *structs.Job) {
	if j.Ended() {
		s.watch(jobDue(j), dueJob, j.ID)
	}
}

func jobDue(j *structs.Job) int64 {
	return max(forgetAt(j.ID), j.EndedAt+resultRetention.Milliseconds())
}

func (s *Store) ageJob(id string) {
	if j := s.d.Jobs[id]; j != nil && j.Ended() && jobDue(j) <= s.d.LogTime {
		delete(s.d.Jobs, id)
	}
}

func (s *Store) watchWorker(w *structs.Worker) {
	if w.Lost {
		s.watch(w.LostAt+resultRetention.Milliseconds(), dueWorker, w.ID)
	}
}

// ageWorker forgets a worker that has been lost for long. It has no attempts.
func (s *Store) ageWorker(id string) {
	w := s.d.Workers[id]
	if w == nil || !w.Lost || w.LostAt+resultRetention.Milliseconds() > s.d.LogTime {
		return
	}
	delete(s.d.Workers, id)
	s.observer.WorkerChanged(id)
}
