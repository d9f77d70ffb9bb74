package state

import (
	"fmt"
	"strings"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// ServiceJobID returns the id of the job that runs a service's instances.
func ServiceJobID(team, service string) string { return fmt.Sprintf("service/%s/%s", team, service) }

// IsServiceJob reports whether the job runs the instances that the document of a
// service declares, one per task: it has the class service and an id as returned by
// ServiceJobID.
func IsServiceJob(j *structs.Job) bool {
	return j.Spec.Class == structs.ClassService && strings.HasPrefix(j.ID, "service/")
}

// setService updates the job of a service to the document's version and number of
// instances. Running instances of an earlier version continue until the leader
// stops them one by one. A version older than the current one is refused.
func (s *Store) setService(c *statev1.SetService) *Result {
	spec := structs.WorkSpecFromProto(c.Spec)
	id := ServiceJobID(spec.Team, spec.Service)
	j := s.data.Jobs[id]
	if j == nil {
		j = &structs.Job{ID: id, AcceptedAt: s.data.LogTime}
		s.data.Jobs[id] = j
	}
	if spec.Version < j.Spec.Version {
		return &Result{Refusal: fmt.Sprintf("service %s has version %d, not %d", id, j.Spec.Version, spec.Version)}
	}
	s.replaceSpec(j, spec)
	j.Wanted = spec.Tasks
	for len(j.Tasks) < j.Wanted {
		j.Tasks = append(j.Tasks, structs.Task{State: structs.TaskEnded})
		j.EndedTasks++
	}
	for i := range j.Tasks {
		s.scaleInstance(j, i)
	}
	s.observer.JobChanged(id)
	return &Result{}
}

// replaceSpec sets the job's specification and adjusts the team's sum of waiting
// sizes to the new size of its tasks.
func (s *Store) replaceSpec(j *structs.Job, spec structs.WorkSpec) {
	waiting := int64(0)
	for i := range j.Tasks {
		if j.Tasks[i].State == structs.TaskWaiting {
			waiting++
		}
	}
	t := s.team(spec.Team)
	t.Waiting = t.Waiting.Sub(j.Spec.Size.Scale(waiting)).Add(spec.Size.Scale(waiting))
	j.Spec = spec
}

// scaleInstance queues task i for placement if it is one of the wanted instances
// and has ended, and ends or stops it if it is beyond the wanted number.
func (s *Store) scaleInstance(j *structs.Job, i int) {
	task := &j.Tasks[i]
	switch {
	case i < j.Wanted && task.State == structs.TaskEnded:
		*task = structs.Task{State: structs.TaskWaiting, Attempts: task.Attempts}
		j.EndedTasks--
		s.addWaitingTask(j)
	case i >= j.Wanted && task.State == structs.TaskWaiting:
		s.endTask(j, i, structs.OutcomeCancelled, nil, "fewer instances are wanted")
	case i >= j.Wanted && task.State == structs.TaskRunning:
		a := s.data.Attempts[task.Attempt]
		a.Stopping = true
		s.observer.WorkerChanged(a.WorkerID)
	}
}

// addWaitingTask adds one waiting task of the job to the team's sums.
func (s *Store) addWaitingTask(j *structs.Job) {
	t := s.team(j.Spec.Team)
	t.WaitingTasks++
	t.Waiting = t.Waiting.Add(j.Spec.Size)
}

// restartOrEndInstance queues an instance that ended for a restart, or ends its task
// if it is beyond the wanted number of instances.
func (s *Store) restartOrEndInstance(j *structs.Job, a *structs.Attempt, e *attemptEnd) {
	if a.Task >= j.Wanted {
		s.endTask(j, a.Task, structs.OutcomeCancelled, nil, "fewer instances are wanted")
		return
	}
	task := &j.Tasks[a.Task]
	task.State = structs.TaskWaiting
	// The backoff delay applies only to an instance that ended on its own, not to
	// one that the scheduler stopped or checkpointed.
	if a.Reason == "" && !a.Stopping && !e.checkpointed {
		task.NotBefore = s.data.LogTime + backOff(a).Milliseconds()
	}
	s.addWaitingTask(j)
}
