package state

import (
	"slices"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/structs"
)

// AssignedAttempt is an open attempt and the data that its worker needs to run it.
type AssignedAttempt struct {
	Attempt structs.Attempt
	Spec    structs.WorkSpec
	Payload []byte
	// Checkpoint is the id of the attempt whose checkpoint is resumed, 0 if none.
	Checkpoint uint64
}

// Directives lists what a worker must do: the attempts to start, and the ids of the
// attempts to stop, throttle or checkpoint. Stop may contain an attempt that the
// worker never received; the worker then reports it as never started.
type Directives struct {
	Start                      []AssignedAttempt
	Stop, Throttle, Checkpoint []uint64
}

// HasStartOrStop reports whether an attempt is to be started or stopped, which ends
// the long poll of a heartbeat. Throttling and checkpointing take effect slowly and
// are repeated in every reply, so they can wait for the end of the poll.
func (d *Directives) HasStartOrStop() bool { return len(d.Start)+len(d.Stop) > 0 }

// Directives compares the attempts that the worker reports as running with its open
// attempts. Running attempts that are not open must be stopped; so must all of them
// if the worker is unknown or the incarnation is not the registered one.
func (s *Store) Directives(worker string, incarnation uint64, running []uint64) Directives {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var d Directives
	w := s.data.Workers[worker]
	if w == nil || w.Incarnation != incarnation {
		d.Stop = running
		return d
	}
	for _, id := range sortedAttempts(w) {
		s.addDirective(&d, s.data.Attempts[id], slices.Contains(running, id))
	}
	for _, id := range running {
		if _, open := w.Attempts[id]; !open {
			d.Stop = append(d.Stop, id)
		}
	}
	return d
}

// addDirective adds what the worker must do for one of its open attempts. An
// attempt that is to be checkpointed but does not run has nothing to save, so it
// is stopped.
func (s *Store) addDirective(d *Directives, a *structs.Attempt, runs bool) {
	switch {
	case a.Stopping, a.Checkpointing && !runs:
		d.Stop = append(d.Stop, a.ID)
	case a.Checkpointing:
		d.Checkpoint = append(d.Checkpoint, a.ID)
	case !runs:
		j := s.data.Jobs[a.JobID]
		d.Start = append(d.Start, AssignedAttempt{Attempt: *a, Spec: j.Spec, Payload: j.Payload, Checkpoint: j.Tasks[a.Task].Checkpoint})
	case a.Throttled:
		d.Throttle = append(d.Throttle, a.ID)
	}
}

// RegistrationCurrent reports whether registering the worker again from this
// heartbeat would change nothing, so that no command need be proposed: the worker
// is registered with the same incarnation, rack, capacity and leaving flag, it is
// not lost, and its charged attempts are exactly the running ones that are not open.
func (s *Store) RegistrationCurrent(r *apiv1.HeartbeatRequest) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w := s.data.Workers[r.WorkerId]
	if w == nil || w.Incarnation != r.Incarnation || w.Lost {
		return false
	}
	if w.Rack != r.Rack || w.Leaving != r.Leaving || w.Capacity != structs.ResourcesFromProto(r.Capacity) {
		return false
	}
	charged := 0
	for _, id := range r.Running {
		if _, open := w.Attempts[id]; open {
			continue
		}
		if _, known := w.Charged[id]; !known {
			return false
		}
		charged++
	}
	return charged == len(w.Charged)
}
