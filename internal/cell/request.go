package cell

import "regexp"

// idPattern is the form of a job's id.
var idPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// Verdict is the answer to a client's request.
type Verdict uint8

// Verdicts.
const (
	// Accepted requests are carried out and stored.
	Accepted Verdict = iota + 1
	// NoConfiguration says that nothing is configured yet.
	NoConfiguration
	// NoQueue says that no queue has the host and path.
	NoQueue
	// BadKey says that the key is not one of the job's team.
	BadKey
	// NoJob says that no such job exists.
	NoJob
	// Invalid says that the job, configuration or wave makes no sense.
	Invalid
	// NoWave says that no such wave of upkeep was accepted.
	NoWave
)

// verdictNames are the verdicts as shown in logs; no verdict comes first.
var verdictNames = [...]string{"none", "accepted", "no configuration", "no queue", "bad key", "no job", "invalid", "no wave"}

// String returns the verdict as shown in logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// authorize finds the queue, the rest of the path and the team of a request.
func (s *Store) authorize(r *Request) (q *Queue, rest, team string, v Verdict) {
	if s.Configuration == nil {
		return nil, "", "", NoConfiguration
	}
	q, rest = s.index.resolve(r.Host, r.Path)
	if q == nil {
		return nil, "", "", NoQueue
	}
	if owner := s.index.owners[r.Key]; owner != nil {
		return q, rest, owner.Name, Accepted
	}
	if q.Public {
		return q, rest, "", Accepted
	}
	return nil, "", "", BadKey
}

// JobStatus is a job as shown to its client.
type JobStatus struct {
	State   JobState
	Started bool
}

// Status answers a question for a job's state.
func (v *View) Status(r *Request) (JobStatus, Verdict) {
	q, id, team, verdict := v.s.authorize(r)
	if verdict != Accepted {
		return JobStatus{}, verdict
	}
	j := v.s.Jobs[id]
	if j == nil || !v.s.owns(j, q, team) {
		return JobStatus{}, NoJob
	}
	return JobStatus{State: j.State, Started: j.Started}, Accepted
}

// owns reports whether a request of the team to the queue may see the job.
func (s *Store) owns(j *Job, q *Queue, team string) bool {
	return j.Queue == q.Name && (q.Public || j.Team == team)
}

// IsQueue reports whether the path is that of a queue itself.
func (v *View) IsQueue(r *Request) bool {
	q, rest := v.s.index.resolve(r.Host, r.Path)
	return q != nil && rest == ""
}

// Pending counts the accepted jobs of a queue of which no task has started.
func (v *View) Pending(r *Request) (int, Verdict) {
	q, _, _, verdict := v.s.authorize(r)
	if verdict != Accepted {
		return 0, verdict
	}
	n := 0
	for _, j := range v.s.Jobs {
		if j.Queue == q.Name && j.State == Active && !j.Started {
			n++
		}
	}
	return n, Accepted
}

// Authorize checks a request's queue and key without changing anything.
func (v *View) Authorize(r *Request) Verdict {
	_, _, _, verdict := v.s.authorize(r)
	return verdict
}

func (s *Store) configure(c *Configuration) any {
	if s.Configuration != nil && c.Version <= s.Configuration.Version {
		return Accepted
	}
	s.Configuration = c
	s.index = newIndex(c)
	s.endExhausted()
	return Accepted
}

func (s *Store) submit(index uint64, c *Submit) any {
	q, id, team, verdict := s.authorize(&c.Request)
	if verdict != Accepted {
		return verdict
	}
	if s.Jobs[id] != nil {
		return Accepted
	}
	if !idPattern.MatchString(id) {
		return Invalid
	}
	j := &Job{
		ID: id, Queue: q.Name, Team: team, Spec: c.Job.Spec, Steps: c.Job.Steps, Schedule: c.Job.Schedule,
		MaxFailures: q.MaxFailures, Accepted: index,
	}
	if j.Schedule.Times == 0 {
		j.open()
	}
	s.Jobs[id] = j
	s.refresh(j)
	s.indexScheduled(j)
	return Accepted
}

func (s *Store) cancel(r *Request) any {
	q, id, team, verdict := s.authorize(r)
	if verdict != Accepted {
		return verdict
	}
	j := s.Jobs[id]
	if j == nil || !s.owns(j, q, team) {
		return NoJob
	}
	if j.State == Active {
		s.end(j, Cancelled)
	}
	return Accepted
}

func (s *Store) openDue(c *OpenOccurrences) any {
	for _, o := range c.Occurrences {
		j := s.Jobs[o.Job]
		if j == nil || j.State != Active || len(j.Occurrences) != o.Number || o.Number >= j.occurrences() {
			continue
		}
		j.open()
		s.refresh(j)
		s.indexScheduled(j)
	}
	return nil
}

func (s *Store) forget(c *DeleteJobs) any {
	for _, id := range c.Jobs {
		if j := s.Jobs[id]; j != nil && j.State != Active {
			delete(s.Jobs, id)
		}
	}
	return nil
}

// end moves a job to its final state; its open attempts stay committed until
// their ends are known.
func (s *Store) end(j *Job, to JobState) {
	j.State = to
	for k := range j.Occurrences {
		for i := range j.Steps {
			delete(s.ready, StepKey{j.ID, k, i})
		}
	}
	j.Spec, j.Occurrences = "", nil
	s.indexScheduled(j)
}

// indexScheduled notes whether further occurrences of the job become due.
func (s *Store) indexScheduled(j *Job) {
	if j.State == Active && len(j.Occurrences) < j.Schedule.Times {
		s.scheduled[j.ID] = j
		return
	}
	delete(s.scheduled, j.ID)
}

// refresh brings the index of ready steps up to the job's state.
func (s *Store) refresh(j *Job) {
	if j.State != Active {
		return
	}
	for k := range j.Occurrences {
		for i := range j.Steps {
			s.refreshStep(j, StepKey{j.ID, k, i})
		}
	}
}

func (s *Store) refreshStep(j *Job, key StepKey) {
	run := j.stepRun(key)
	if run.waiting(&j.Steps[key.Step]) && j.due(key) {
		s.ready[key] = run
		return
	}
	delete(s.ready, key)
}

// waiting reports whether a task of the step may be started now.
func (r *StepOccurrence) waiting(step *Step) bool {
	if r.Done == len(r.Tasks) {
		return false
	}
	if step.Gang {
		return r.InFlight == 0
	}
	for i := range r.Tasks {
		if t := &r.Tasks[i]; !t.Done && !t.InFlight {
			return true
		}
	}
	return false
}
