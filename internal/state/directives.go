package state

import (
	"slices"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/structs"
)

// AssignedAttempt is an open attempt with what its worker needs to run it.
type AssignedAttempt struct {
	Attempt structs.Attempt
	Spec    structs.WorkSpec
	Payload []byte
	// Checkpoint is the attempt whose checkpoint is resumed, 0 if none.
	Checkpoint uint64
}

// Directives is what a worker is to do. An attempt in Stop may be one that the
// worker has not heard of: it then reports that it never started it.
type Directives struct {
	Start                      []AssignedAttempt
	Stop, Throttle, Checkpoint []uint64
}

// HasStartOrStop reports whether the worker is to start or stop something. The others
// take effect slowly and are repeated, so they do not end a long poll.
func (d *Directives) HasStartOrStop() bool { return len(d.Start)+len(d.Stop) > 0 }

// Directives compares what the worker's incarnation runs with its open
// attempts. Attempts that are not open are to be stopped.
func (s *Store) Directives(worker string, incarnation uint64, running []uint64) Directives {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var d Directives
	w := s.d.Workers[worker]
	if w == nil || w.Incarnation != incarnation {
		d.Stop = running
		return d
	}
	for _, id := range sortedAttempts(w) {
		s.direct(&d, s.d.Attempts[id], slices.Contains(running, id))
	}
	for _, id := range running {
		if _, open := w.Attempts[id]; !open {
			d.Stop = append(d.Stop, id)
		}
	}
	return d
}

func (s *Store) direct(d *Directives, a *structs.Attempt, runs bool) {
	switch {
	case a.Stopping, a.Checkpointing && !runs:
		d.Stop = append(d.Stop, a.ID)
	case a.Checkpointing:
		d.Checkpoint = append(d.Checkpoint, a.ID)
	case !runs:
		j := s.d.Jobs[a.JobID]
		d.Start = append(d.Start, AssignedAttempt{Attempt: *a, Spec: j.Spec, Payload: j.Payload, Checkpoint: j.Tasks[a.Task].Checkpoint})
	case a.Throttled:
		d.Throttle = append(d.Throttle, a.ID)
	}
}

// RegistrationCurrent reports whether a registration that follows the heartbeat would
// change nothing: the worker is taken on as it describes itself, and exactly
// those of its running attempts that are not open are charged.
func (s *Store) RegistrationCurrent(r *apiv1.HeartbeatRequest) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w := s.d.Workers[r.WorkerId]
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
