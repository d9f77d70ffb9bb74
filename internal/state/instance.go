package state

import (
	"fmt"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// registerInstance adds an instance or updates it. A higher incarnation
// replaces the earlier one.
func (s *Store) registerInstance(c *statev1.RegisterInstance) *Result {
	in := s.d.Instances[c.InstanceId]
	if in != nil && c.Incarnation < in.Incarnation {
		return &Result{Refusal: fmt.Sprintf("instance %s: incarnation %d is older than %d", c.InstanceId, c.Incarnation, in.Incarnation)}
	}
	if in == nil || in.Incarnation != c.Incarnation {
		in = &structs.Instance{ID: c.InstanceId, Incarnation: c.Incarnation}
		s.d.Instances[in.ID] = in
	}
	in.Team = c.Team
	in.Service = c.Service
	in.Address = c.Address
	in.Slots = int(c.Slots)
	in.Connections = int(c.Connections)
	in.Leaving = c.Leaving
	s.observer.InstancesChanged()
	return &Result{}
}

func (s *Store) removeInstance(c *statev1.RemoveInstance) *Result {
	in := s.d.Instances[c.InstanceId]
	if in == nil || in.Incarnation != c.Incarnation {
		return &Result{Duplicate: true}
	}
	delete(s.d.Instances, c.InstanceId)
	s.observer.InstancesChanged()
	return &Result{}
}

// assignSlots names the entry that hands out the instance's slots; none if it is
// empty. The leader takes an instance from an entry only when its slot lease has
// run out, and gives it to another one after that was committed. The command
// names the leadership and the assignment that it was decided for.
func (s *Store) assignSlots(c *statev1.AssignSlots) *Result {
	in := s.d.Instances[c.InstanceId]
	if in == nil || in.Incarnation != c.Incarnation {
		return &Result{Refusal: fmt.Sprintf("instance %s with incarnation %d is not known", c.InstanceId, c.Incarnation)}
	}
	if refusal := s.checkEpoch(c.Epoch); refusal != "" {
		return &Result{Refusal: refusal}
	}
	if in.Assignment != c.Replaces {
		return &Result{Refusal: fmt.Sprintf("instance %s has assignment %d, the command replaces %d", in.ID, in.Assignment, c.Replaces)}
	}
	in.Assignment++
	in.Entry = c.Entry
	in.EntryAddress = c.EntryAddress
	s.observer.InstancesChanged()
	return &Result{}
}
