package state

import (
	"fmt"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// applyPlan commits the placements that are still valid and refuses the others. The
// placements of a gang job are committed only if they cover all its waiting tasks
// and all of them are valid.
func (s *Store) applyPlan(p *statev1.Plan) *Result {
	r := &Result{Placements: make([]PlacementResult, len(p.Placements))}
	for first := 0; first < len(p.Placements); {
		end := first + 1
		for end < len(p.Placements) && p.Placements[end].JobId == p.Placements[first].JobId {
			end++
		}
		s.placeJob(p.Placements[first:end], r.Placements[first:end])
		first = end
	}
	return r
}

// placeJob applies consecutive placements of one job and fills in their results.
func (s *Store) placeJob(placements []*statev1.Placement, results []PlacementResult) {
	j := s.data.Jobs[placements[0].JobId]
	if j != nil && j.Spec.Class == structs.ClassGang {
		s.placeGang(j, placements, results)
		return
	}
	for i, p := range placements {
		results[i] = s.place(j, p)
	}
}

// placeGang places all waiting tasks of a gang job, or none of them.
func (s *Store) placeGang(j *structs.Job, placements []*statev1.Placement, results []PlacementResult) {
	refusal := ""
	if waiting := len(j.Tasks) - j.EndedTasks - runningTasks(j); waiting != len(placements) {
		refusal = fmt.Sprintf("gang job %s has %d waiting tasks, the plan places %d", j.ID, waiting, len(placements))
	}
	placed := 0
	for i, p := range placements {
		if refusal != "" {
			break
		}
		results[i] = s.place(j, p)
		refusal = results[i].Refusal
		placed++
	}
	if refusal == "" {
		return
	}
	for i := range placements {
		if i < placed && results[i].AttemptID != 0 {
			s.undoPlacement(j, results[i].AttemptID)
		}
		results[i] = PlacementResult{Refusal: refusal}
	}
}

func runningTasks(j *structs.Job) int {
	n := 0
	for i := range j.Tasks {
		if j.Tasks[i].State == structs.TaskRunning {
			n++
		}
	}
	return n
}

// undoPlacement reverts a placement made earlier by the command being applied.
func (s *Store) undoPlacement(j *structs.Job, attempt uint64) {
	a := s.data.Attempts[attempt]
	s.closeAttempt(a)
	task := &j.Tasks[a.Task]
	task.State = structs.TaskWaiting
	task.Attempt = 0
	task.Attempts--
	t := s.team(a.Team)
	t.WaitingTasks++
	t.Waiting = t.Waiting.Add(a.Size)
}

// place commits one attempt of the job's task to the worker, or returns the reason
// for which it was refused.
func (s *Store) place(j *structs.Job, p *statev1.Placement) PlacementResult {
	if refusal := s.checkPlacement(j, p); refusal != "" {
		return PlacementResult{Refusal: refusal}
	}
	s.data.NextAttempt++
	task := &j.Tasks[p.Task]
	task.State = structs.TaskRunning
	task.Attempt = s.data.NextAttempt
	task.Attempts++
	a := &structs.Attempt{
		ID: s.data.NextAttempt, JobID: j.ID, Task: int(p.Task), Number: task.Attempts,
		WorkerID: p.WorkerId, Incarnation: p.Incarnation, Size: j.Spec.Size, Team: j.Spec.Team, Version: j.Spec.Version,
	}
	s.data.Attempts[a.ID] = a
	w := s.data.Workers[p.WorkerId]
	w.Attempts[a.ID] = struct{}{}
	w.Committed = w.Committed.Add(a.Size)
	t := s.team(a.Team)
	t.Running = t.Running.Add(a.Size)
	t.RunningTasks++
	t.WaitingTasks--
	t.Waiting = t.Waiting.Sub(a.Size)
	if o, ok := s.observer.(AttemptObserver); ok {
		o.AttemptCommitted(a)
	}
	s.observer.WorkerChanged(w.ID)
	s.observer.JobChanged(j.ID)
	return PlacementResult{AttemptID: a.ID}
}

// checkPlacement returns the reason to refuse the placement, empty if it is valid.
func (s *Store) checkPlacement(j *structs.Job, p *statev1.Placement) string {
	if j == nil {
		return fmt.Sprintf("job %s is not known", p.JobId)
	}
	if p.Task < 0 || int(p.Task) >= len(j.Tasks) {
		return fmt.Sprintf("job %s has no task %d", p.JobId, p.Task)
	}
	if j.Cancelled || j.Tasks[p.Task].State != structs.TaskWaiting {
		return fmt.Sprintf("task %d of job %s is not waiting", p.Task, p.JobId)
	}
	if wait := j.Tasks[p.Task].NotBefore - s.data.LogTime; wait > 0 {
		return fmt.Sprintf("task %d of job %s waits %d ms before its next attempt", p.Task, p.JobId, wait)
	}
	w, refusal := s.currentWorker(p.WorkerId, p.Incarnation)
	if refusal != "" {
		return refusal
	}
	if !w.Schedulable() {
		return fmt.Sprintf("worker %s takes no new work", w.ID)
	}
	if !j.Spec.Size.Fits(w.Free()) {
		return fmt.Sprintf("worker %s has too little free for job %s", w.ID, j.ID)
	}
	t := s.team(j.Spec.Team)
	if !t.Running.Add(j.Spec.Size).Fits(t.Allotment) {
		return fmt.Sprintf("team %s is at its allotment in this data centre", j.Spec.Team)
	}
	return ""
}
