package state

import (
	"fmt"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// ServiceJobID returns the id of the job that runs a service's instances.
func ServiceJobID(team, service string) string { return fmt.Sprintf("service/%s/%s", team, service) }

// setService brings the job of a service to the document's version and to its
// number of instances. Running instances of an earlier version go on until the
// leader stops them one by one.
func (s *Store) setService(c *statev1.SetService) *Result {
	spec := structs.WorkSpecFromProto(c.Spec)
	id := ServiceJobID(spec.Team, spec.Service)
	j := s.d.Jobs[id]
	if j == nil {
		j = &structs.Job{ID: id, AcceptedAt: s.d.LogTime}
		s.d.Jobs[id] = j
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
		s.wantInstance(j, i)
	}
	s.observer.JobChanged(id)
	return &Result{}
}

// replaceSpec keeps the team's sum of waiting sizes right.
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

// wantInstance starts or stops one instance as the number wanted says.
func (s *Store) wantInstance(j *structs.Job, i int) {
	task := &j.Tasks[i]
	switch {
	case i < j.Wanted && task.State == structs.TaskEnded:
		*task = structs.Task{State: structs.TaskWaiting, Attempts: task.Attempts}
		j.EndedTasks--
		s.countWaiting(j)
	case i >= j.Wanted && task.State == structs.TaskWaiting:
		s.endTask(j, i, structs.OutcomeCancelled, nil, "fewer instances are wanted")
	case i >= j.Wanted && task.State == structs.TaskRunning:
		a := s.d.Attempts[task.Attempt]
		a.Stopping = true
		s.observer.WorkerChanged(a.WorkerID)
	}
}

func (s *Store) countWaiting(j *structs.Job) {
	t := s.team(j.Spec.Team)
	t.WaitingTasks++
	t.Waiting = t.Waiting.Add(j.Spec.Size)
}

// settleInstance restarts an instance that ended, unless it is not wanted.
func (s *Store) settleInstance(j *structs.Job, a *structs.Attempt, e *end) {
	if a.Task >= j.Wanted {
		s.endTask(j, a.Task, structs.OutcomeCancelled, nil, "fewer instances are wanted")
		return
	}
	task := &j.Tasks[a.Task]
	task.State = structs.TaskWaiting
	// An instance that the system stopped is restarted without a delay.
	if a.Reason == "" && !a.Stopping && !e.checkpointed {
		task.NotBefore = s.d.LogTime + backOff(a).Milliseconds()
	}
	s.countWaiting(j)
}
