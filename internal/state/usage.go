package state

import (
	"fmt"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// resizeAttempts brings what is committed to attempts in line with their usage:
// not below the declaration, and not above what the worker and the team's
// allotment have room for. An attempt that uses more than that is throttled,
// checkpointed or stopped, as its document allows.
func (s *Store) resizeAttempts(c *statev1.ResizeAttempts) *Result {
	for _, u := range c.Attempts {
		a := s.d.Attempts[u.AttemptId]
		if a == nil || a.WorkerID != u.WorkerId || a.Incarnation != u.Incarnation {
			continue
		}
		s.resizeAttempt(a, structs.ResourcesFromProto(u.Usage), structs.ResourcesFromProto(u.Size))
	}
	return &Result{}
}

func (s *Store) resizeAttempt(a *structs.Attempt, usage, size structs.Resources) {
	w, j := s.d.Workers[a.WorkerID], s.d.Jobs[a.JobID]
	if w == nil || j == nil {
		return
	}
	t := s.team(a.Team)
	if a.Declared.IsZero() {
		a.Declared = a.Size
	}
	room := w.Free().Min(t.Allotment.Sub(t.Running)).Max(structs.Resources{})
	granted := size.Max(usage).Max(a.Declared).Min(a.Size.Add(room))
	change := granted.Sub(a.Size)
	a.Size = granted
	w.Committed = w.Committed.Add(change)
	t.Running = t.Running.Add(change)
	if usage.Fits(granted) {
		a.Throttled = false
	} else {
		shedUser(a, &j.Spec)
	}
	s.observer.WorkerChanged(w.ID)
	s.observer.JobChanged(j.ID)
}

// shedUser marks an attempt whose usage has no room with the mildest means that
// its document allows. One that allows none goes on.
func shedUser(a *structs.Attempt, spec *structs.WorkSpec) {
	switch {
	case spec.MayThrottle:
		a.Throttled = true
		return
	case spec.MayCheckpoint:
		a.Checkpointing = true
	case spec.MayPreempt:
		a.Stopping = true
	default:
		return
	}
	a.Reason = fmt.Sprintf("its usage exceeds its declaration and worker %s or the allotment has no room for it", a.WorkerID)
}

// DeclaredSize returns the size that the attempt was placed with.
func DeclaredSize(a *structs.Attempt) structs.Resources {
	if a.Declared.IsZero() {
		return a.Size
	}
	return a.Declared
}
