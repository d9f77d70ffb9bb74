package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/statev1"
)

// Snapshot implements port.StateMachine.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	b, err := proto.Marshal(s.fullState(true))
	return b, errors.Wrap(err, "encode snapshot of the fleet group")
}

// Restore implements port.StateMachine.
func (s *Store) Restore(_ uint64, snapshot []byte) error {
	var full statev1.FleetState
	if err := proto.Unmarshal(snapshot, &full); err != nil {
		return errors.Wrap(err, "decode snapshot of the fleet group")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(&full)
	return nil
}

// fullState returns the whole state; operation results and past graces only if
// withOperations is set, since copies of the configuration do not need them.
func (s *Store) fullState(withOperations bool) *statev1.FleetState {
	f := &statev1.FleetState{Index: s.index}
	for _, id := range slices.SortedFunc(maps.Keys(s.documents), compareQueues) {
		f.Documents = append(f.Documents, s.documents[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.keys)) {
		f.Keys = append(f.Keys, s.keys[id])
	}
	for _, id := range slices.SortedFunc(maps.Keys(s.allotments), compareAllotments) {
		f.Allotments = append(f.Allotments, s.allotments[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.groups)) {
		f.Groups = append(f.Groups, s.groups[id])
	}
	if withOperations {
		for _, id := range s.operationOrder {
			f.Operations = append(f.Operations, &statev1.Operation{OperationId: id, Result: s.operations[id].result, Digest: s.operations[id].digest})
		}
		f.Graces = s.graceSteps()
	}
	return f
}

func compareQueues(a, b queueID) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service))
}

func compareAllotments(a, b allotmentID) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.DataCentre, b.DataCentre))
}

// load replaces the whole state.
func (s *Store) load(f *statev1.FleetState) {
	s.clear()
	s.index = f.Index
	for _, d := range f.Documents {
		s.documents[queueID{d.Team, d.Service}] = d
	}
	for _, k := range f.Keys {
		s.keys[k.KeyId] = k
	}
	for _, a := range f.Allotments {
		s.allotments[allotmentID{a.Team, a.DataCentre}] = a
	}
	for _, g := range f.Groups {
		s.groups[g.Group] = g
	}
	for _, o := range f.Operations {
		s.operations[o.OperationId] = operation{o.Digest, o.Result}
		s.operationOrder = append(s.operationOrder, o.OperationId)
	}
	for _, step := range f.Graces {
		s.graces[step.Team] = append(s.graces[step.Team], step)
	}
}
