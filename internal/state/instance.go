package state

import (
	"fmt"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// registerInstance adds or updates an instance. A higher incarnation replaces the
// earlier one together with its slot assignment; a lower one is refused.
func (s *Store) registerInstance(c *statev1.RegisterInstance) *Result {
	in := s.data.Instances[c.InstanceId]
	if in != nil && c.Incarnation < in.Incarnation {
		return &Result{Refusal: fmt.Sprintf("instance %s: incarnation %d is older than %d", c.InstanceId, c.Incarnation, in.Incarnation)}
	}
	if in == nil || in.Incarnation != c.Incarnation {
		in = &structs.Instance{ID: c.InstanceId, Incarnation: c.Incarnation}
		s.data.Instances[in.ID] = in
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

// removeInstance removes the instance, unless a different incarnation is registered.
func (s *Store) removeInstance(c *statev1.RemoveInstance) *Result {
	in := s.data.Instances[c.InstanceId]
	if in == nil || in.Incarnation != c.Incarnation {
		return &Result{Duplicate: true}
	}
	delete(s.data.Instances, c.InstanceId)
	s.observer.InstancesChanged()
	return &Result{}
}

// assignSlots sets the entry process that may use the instance's slots, or none if
// the command's entry is empty. The leader withdraws an instance from an entry only
// after that entry's slot lease has expired, and assigns it to another one only
// after the withdrawal was committed. A command that was proposed under an earlier
// leadership, or that replaces an assignment other than the current one, is refused.
func (s *Store) assignSlots(c *statev1.AssignSlots) *Result {
	in := s.data.Instances[c.InstanceId]
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
