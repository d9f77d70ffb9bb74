package cell

import "regexp"

// idPattern matches a valid job id.
var idPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// Verdict is the result of a request of a client or an operator.
type Verdict uint8

// Verdicts.
const (
	// Accepted requests were carried out, and their effect is stored.
	Accepted Verdict = iota + 1
	// NoConfiguration means that no configuration was accepted yet.
	NoConfiguration
	// NoQueue means that no queue matches the host and path.
	NoQueue
	// BadKey means that the key belongs to no team and the queue is not public.
	BadKey
	// NoJob means that the queue has no such job of the team.
	NoJob
	// Invalid means that the job, configuration, wave or evacuation is malformed or not
	// allowed.
	Invalid
	// NoWave means that there is no wave of upkeep with the number.
	NoWave
	// Withdrawn means that the job was cancelled before it was submitted, so that the
	// submission was not accepted.
	Withdrawn
	// IDTaken means that the ID of a submission is that of a job of another team or queue.
	IDTaken
)

// verdictNames are the verdicts as shown in logs, indexed by verdict; index 0 stands
// for a missing verdict.
var verdictNames = [...]string{"none", "accepted", "no configuration", "no queue", "bad key", "no job", "invalid", "no wave", "withdrawn", "id taken"}

// Valid reports whether this release knows the verdict. It does not know a missing one, nor
// those that later releases add.
func (v Verdict) Valid() bool { return v > 0 && int(v) < len(verdictNames) }

// String returns the verdict as shown in logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// authorize checks the host, path and key of a request. It returns the queue, the rest
// of the path after the queue's prefix, which is the id of a job, and the name of the
// team that owns the key, which may be empty for a public queue. The first three are
// zero unless the verdict is Accepted.
func (s *Store) authorize(r *Request) (q *Queue, rest, team string, v Verdict) {
	if s.Configuration == nil {
		return nil, "", "", NoConfiguration
	}
	q, rest = s.configIndex.resolve(r.Host, r.Path)
	if q == nil {
		return nil, "", "", NoQueue
	}
	if owner := s.configIndex.teamsByKey[r.Key]; owner != nil {
		return q, rest, owner.Name, Accepted
	}
	if q.Public {
		return q, rest, "", Accepted
	}
	return nil, "", "", BadKey
}

// JobStatus is the status of a job as shown to its client.
type JobStatus struct {
	State   JobState
	Started bool
}

// Status returns the status of the job that a request identifies.
func (v *View) Status(r *Request) (JobStatus, Verdict) {
	q, id, team, verdict := v.s.authorize(r)
	if verdict != Accepted {
		return JobStatus{}, verdict
	}
	j := v.s.Jobs[id]
	if j == nil || !v.s.mayAccess(j, q, team) {
		return JobStatus{}, NoJob
	}
	return JobStatus{State: j.State, Started: j.Started}, Accepted
}

// mayAccess reports whether a request of the team to the queue may access the job.
func (s *Store) mayAccess(j *Job, q *Queue, team string) bool {
	return s.queueOf(j) == q && (q.Public || j.Team == team)
}

// queueOf returns the queue that a job belongs to, nil if it was removed from the
// configuration. A job stays with the host and prefix that its clients use when the queue
// there gets another name.
func (s *Store) queueOf(j *Job) *Queue {
	return s.configIndex.find(queuePath{j.Host, j.Prefix}, j.Queue)
}

// IsTaken reports whether the ID of an authorized submission is that of a job of another team or
// queue. Tasks are identified by the ID of their job, so two jobs cannot have the same.
func (v *View) IsTaken(r *Request) bool {
	q, id, team, verdict := v.s.authorize(r)
	if verdict != Accepted {
		return false
	}
	j := v.s.Jobs[id]
	return j != nil && !v.s.mayAccess(j, q, team)
}

// Route returns the queue of an authorized request and the team that sent it, nil and empty if
// the request is not allowed.
func (v *View) Route(r *Request) (q *Queue, team string) {
	q, _, team, _ = v.s.authorize(r)
	return q, team
}

// IsQueue reports whether the path is that of a queue itself and not of a job.
func (v *View) IsQueue(r *Request) bool {
	q, rest := v.s.configIndex.resolve(r.Host, r.Path)
	return q != nil && rest == ""
}

// Pending returns the number of active jobs of a queue of which no task has started. running
// contains the jobs with attempts in flight that have started.
func (v *View) Pending(r *Request, running map[string]bool) (int, Verdict) {
	q, _, _, verdict := v.s.authorize(r)
	if verdict != Accepted {
		return 0, verdict
	}
	n := 0
	for _, j := range v.s.Jobs {
		if j.State == Active && !j.Begun && !running[j.ID] && v.s.queueOf(j) == q {
			n++
		}
	}
	return n, Accepted
}

// Authorize checks the queue and key of a request.
func (v *View) Authorize(r *Request) Verdict {
	_, _, _, verdict := v.s.authorize(r)
	return verdict
}

// configure puts a configuration in force if its version is higher than the current one.
func (s *Store) configure(c *Configuration) any {
	if s.Configuration != nil && c.Version <= s.Configuration.Version {
		return Accepted
	}
	index := newConfigurationIndex(c)
	if s.Configuration != nil && s.Format >= FormatOwners {
		s.transferOwnership(index)
	}
	s.Configuration, s.configIndex = c, index
	s.indexWithdrawals()
	s.failExhaustedJobs()
	return Accepted
}

// submit adds a job. Its first occurrence is opened immediately unless it is scheduled.
func (s *Store) submit(index uint64, c *Submit) any {
	q, id, team, verdict := s.authorize(&c.Request)
	if verdict != Accepted {
		return verdict
	}
	if j := s.Jobs[id]; j != nil {
		if !s.mayAccess(j, q, team) {
			return IDTaken
		}
		return Accepted
	}
	if !idPattern.MatchString(id) {
		return Invalid
	}
	j := &Job{
		ID: id, Queue: q.Name, Host: q.Host, Prefix: q.Prefix, Team: team, Spec: c.Job.Spec, Steps: c.Job.Steps, Schedule: c.Job.Schedule,
		MaxFailures: q.MaxFailures, Accepted: index, AcceptedMS: c.AcceptedMS,
	}
	if team != "" && s.Format >= FormatOwners {
		j.Key = c.Key
	}
	if j.Schedule.Times == 0 {
		j.openOccurrence()
	}
	s.Jobs[id] = j
	s.refreshReadySteps(j)
	s.refreshScheduled(j)
	return Accepted
}

// cancel cancels an active job; a job that has ended is left as it is. The cancellation of a
// job that is not known is kept as a withdrawal.
func (s *Store) cancel(index uint64, r *Request) any {
	q, id, team, verdict := s.authorize(r)
	if verdict != Accepted {
		return verdict
	}
	j := s.Jobs[id]
	if j == nil {
		s.withdraw(index, q, team, r.Key, id)
		return NoJob
	}
	if !s.mayAccess(j, q, team) {
		return NoJob
	}
	if j.State == Active {
		s.endJob(j, Cancelled)
	}
	return Accepted
}

// openOccurrences opens occurrences of active jobs. One that is not the next occurrence of
// its job is ignored, so a repeated command opens none twice.
func (s *Store) openOccurrences(c *OpenOccurrences) any {
	for _, o := range c.Occurrences {
		j := s.Jobs[o.Job]
		if j == nil || j.State != Active || len(j.Occurrences) != o.Number || o.Number >= j.occurrenceCount() {
			continue
		}
		j.openOccurrence()
		s.refreshReadySteps(j)
		s.refreshScheduled(j)
	}
	return nil
}

// deleteJobs deletes jobs that have ended.
func (s *Store) deleteJobs(c *DeleteJobs) any {
	for _, id := range c.Jobs {
		if j := s.Jobs[id]; j != nil && j.State != Active {
			delete(s.Jobs, id)
		}
	}
	return nil
}

// endJob moves a job to its final state and drops its tasks. Its attempts in flight
// stay committed to their workers until their ends are recorded.
func (s *Store) endJob(j *Job, final JobState) {
	j.State = final
	for k := range j.Occurrences {
		for i := range j.Steps {
			delete(s.readySteps, StepKey{j.ID, k, i})
		}
	}
	j.Spec, j.Occurrences = "", nil
	s.dropLosses(func(key TaskKey) bool { return key.Job == j.ID }) // its tasks are dropped too
	s.refreshScheduled(j)
}

// refreshScheduled updates the entry of the job in scheduledJobs.
func (s *Store) refreshScheduled(j *Job) {
	if j.State == Active && len(j.Occurrences) < j.Schedule.Times {
		s.scheduledJobs[j.ID] = j
		return
	}
	delete(s.scheduledJobs, j.ID)
}

// refreshReadySteps updates the entries of all steps of the job in readySteps.
func (s *Store) refreshReadySteps(j *Job) {
	if j.State != Active {
		return
	}
	for k := range j.Occurrences {
		for i := range j.Steps {
			s.refreshReadyStep(j, StepKey{j.ID, k, i})
		}
	}
}

// refreshReadyStep updates the entry of one step of an active job in readySteps.
func (s *Store) refreshReadyStep(j *Job, key StepKey) {
	occurrence := j.stepOccurrence(key)
	if occurrence.hasStartableTask(&j.Steps[key.Step]) && j.dependenciesDone(key) {
		s.readySteps[key] = occurrence
		return
	}
	delete(s.readySteps, key)
}

// hasStartableTask reports whether the step has a task that is neither done nor in
// flight; a gang, whether it is not done and none of its attempts is in flight.
func (o *StepOccurrence) hasStartableTask(step *Step) bool {
	if o.Done == len(o.Tasks) {
		return false
	}
	if step.Gang {
		return o.InFlight == 0
	}
	for i := range o.Tasks {
		if t := &o.Tasks[i]; !t.Done && !t.InFlight {
			return true
		}
	}
	return false
}
