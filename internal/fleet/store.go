package fleet

import (
	"fmt"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/statev1"
)

const (
	// maxChanges is the number of changes kept for processes whose copy is behind.
	// A process that is further behind receives the full state.
	maxChanges = 4096
	// maxOperations is the number of operation ids whose results are kept: five
	// days at 20,000 changes a day.
	maxOperations = 100_000
)

type queueID struct{ Team, Service string }

type allotmentID struct{ Team, DataCentre string }

// Store is the state of the fleet group, or a copy of its configuration. Reads may
// run concurrently with one writer.
type Store struct {
	mu         sync.RWMutex
	index      uint64
	documents  map[queueID]*statev1.Document
	keys       map[string]*statev1.Key
	allotments map[allotmentID]*statev1.Allotment
	groups     map[string]*statev1.SetGroup
	operations map[string]operation
	// operationOrder lists the keys of operations from oldest to newest.
	operationOrder []string
	// graces holds the successive values of the longest cut_grace of each team, by the
	// index from which they apply.
	graces  map[string][]*statev1.GraceStep
	changes []*statev1.FleetChange
}

// New returns an empty store.
func New() *Store {
	s := &Store{}
	s.clear()
	return s
}

func (s *Store) clear() {
	s.documents = map[queueID]*statev1.Document{}
	s.keys = map[string]*statev1.Key{}
	s.allotments = map[allotmentID]*statev1.Allotment{}
	s.groups = map[string]*statev1.SetGroup{}
	s.operations = map[string]operation{}
	s.graces = map[string][]*statev1.GraceStep{}
	s.operationOrder = nil
	s.changes = nil
}

// Apply implements port.StateMachine. The result is a *statev1.FleetResult.
func (s *Store) Apply(index uint64, command []byte) any {
	var c statev1.FleetCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		return &statev1.FleetResult{Refusal: errors.Wrap(err, "decode command").Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if again := s.resentResult(&c); again != nil {
		return again
	}
	result, change := s.dispatch(index, &c)
	if result.Refusal != "" {
		return result
	}
	result.Index = index
	if change != nil {
		change.Index = index
		s.index = index
		s.appendChange(change)
	}
	s.rememberOperation(&c, result)
	return result
}

// dispatch applies the command and returns the change to send to copies, nil if
// there is none.
func (s *Store) dispatch(index uint64, c *statev1.FleetCommand) (*statev1.FleetResult, *statev1.FleetChange) {
	switch c := c.Command.(type) {
	case *statev1.FleetCommand_PutDocument:
		return s.putDocument(index, c.PutDocument)
	case *statev1.FleetCommand_GrantKey:
		return s.grantKey(c.GrantKey)
	case *statev1.FleetCommand_WithdrawKey:
		return s.withdrawKey(c.WithdrawKey)
	case *statev1.FleetCommand_GrantAllotment:
		return s.grantAllotment(c.GrantAllotment)
	case *statev1.FleetCommand_ReturnAllotment:
		return s.returnAllotment(c.ReturnAllotment)
	case *statev1.FleetCommand_ConfirmGrants:
		return s.confirmGrants(c.ConfirmGrants)
	case *statev1.FleetCommand_WantAllotment:
		return s.wantAllotment(c.WantAllotment)
	case *statev1.FleetCommand_SetGroup:
		s.groups[c.SetGroup.Group] = c.SetGroup
		return &statev1.FleetResult{}, &statev1.FleetChange{Group: c.SetGroup}
	}
	return refuse("unknown command")
}

func refuse(format string, args ...any) (*statev1.FleetResult, *statev1.FleetChange) {
	return &statev1.FleetResult{Refusal: fmt.Sprintf(format, args...)}, nil
}

// putDocument replaces the document if the change was based on its current version.
func (s *Store) putDocument(index uint64, c *statev1.PutDocument) (*statev1.FleetResult, *statev1.FleetChange) {
	id := queueID{c.Spec.GetTeam(), c.Spec.GetService()}
	if id.Team == "" || id.Service == "" {
		return refuse("the document names no team or no service")
	}
	current := s.documents[id].GetVersion()
	if c.Replaces != current {
		result, _ := refuse("document %s/%s has version %d, the change replaces version %d", id.Team, id.Service, current, c.Replaces)
		result.Version = current
		return result, nil
	}
	spec := proto.Clone(c.Spec).(*statev1.WorkSpec)
	spec.Version = index
	d := &statev1.Document{
		Team: id.Team, Service: id.Service, Version: index, Text: c.Text, Spec: spec,
		Share: c.Share, Limit: c.Limit, CutGraceMs: c.CutGraceMs,
	}
	s.documents[id] = d
	s.recordGrace(id.Team, index)
	return &statev1.FleetResult{Version: index}, &statev1.FleetChange{Document: d}
}

func (s *Store) grantKey(c *statev1.GrantKey) (*statev1.FleetResult, *statev1.FleetChange) {
	if s.keys[c.KeyId] != nil {
		return refuse("key %s exists", c.KeyId)
	}
	if c.KeyId == "" || c.Team == "" || len(c.Hash) == 0 {
		return refuse("a key needs an id, a team and a hash")
	}
	k := &statev1.Key{KeyId: c.KeyId, Team: c.Team, Hash: c.Hash, Comment: c.Comment}
	s.keys[k.KeyId] = k
	return &statev1.FleetResult{KeyId: k.KeyId}, &statev1.FleetChange{Key: k}
}

func (s *Store) withdrawKey(c *statev1.WithdrawKey) (*statev1.FleetResult, *statev1.FleetChange) {
	k := s.keys[c.KeyId]
	if k == nil {
		return refuse("key %s is not known", c.KeyId)
	}
	withdrawn := proto.Clone(k).(*statev1.Key)
	withdrawn.Withdrawn = true
	s.keys[c.KeyId] = withdrawn
	return &statev1.FleetResult{}, &statev1.FleetChange{Key: withdrawn}
}

// appendChange keeps the change for ChangesSince. It copies the list only when it
// has grown to twice maxChanges.
func (s *Store) appendChange(c *statev1.FleetChange) {
	s.changes = append(s.changes, c)
	if len(s.changes) > 2*maxChanges {
		s.changes = append([]*statev1.FleetChange(nil), s.changes[len(s.changes)-maxChanges:]...)
	}
}
