package state

import (
	"fmt"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// resizeAttempts adjusts the resources committed to attempts to their measured
// usage: never below the declared size, and never above what the worker's free
// capacity and the team's allotment leave. An attempt that uses more than is
// committed to it is throttled, checkpointed or stopped, as its document allows.
func (s *Store) resizeAttempts(c *statev1.ResizeAttempts) *Result {
	for _, u := range c.Attempts {
		a := s.data.Attempts[u.AttemptId]
		if a == nil || a.WorkerID != u.WorkerId || a.Incarnation != u.Incarnation {
			continue
		}
		s.resizeAttempt(a, structs.ResourcesFromProto(u.Usage), structs.ResourcesFromProto(u.Size))
	}
	return &Result{}
}

// resizeAttempt commits the larger of the attempt's usage, the proposed size and
// the declared size, as far as there is room.
func (s *Store) resizeAttempt(a *structs.Attempt, usage, size structs.Resources) {
	w, j := s.data.Workers[a.WorkerID], s.data.Jobs[a.JobID]
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
		shedOveruse(a, &j.Spec)
	}
	s.observer.WorkerChanged(w.ID)
	s.observer.JobChanged(j.ID)
}

// shedOveruse marks an attempt that uses more than is committed to it for the
// mildest measure that its document allows: throttling, then checkpointing, then
// stopping. An attempt whose document allows none of them continues unchanged.
func shedOveruse(a *structs.Attempt, spec *structs.WorkSpec) {
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

// DeclaredSize returns the size that the attempt was placed with, which its document
// declared; Attempt.Size may have been adjusted to the usage since.
func DeclaredSize(a *structs.Attempt) structs.Resources {
	if a.Declared.IsZero() {
		return a.Size
	}
	return a.Declared
}
