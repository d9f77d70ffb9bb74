package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/apiv1"
)

const (
	// suspectAfter is how long a process may be silent before it is suspected;
	// it renews its configuration lease several times as often.
	suspectAfter = 2 * time.Second
	// deadAfter is when a silent process is taken for dead.
	deadAfter = 20 * time.Second
	// forgetAfter is when a dead process is no longer listed.
	forgetAfter = 10 * time.Minute

	roleControl = "control"
)

// memberTable holds the processes that renewed configuration leases from this
// leader, by name. A later incarnation replaces an earlier one.
type memberTable struct {
	mu     sync.Mutex
	byName map[string]*seenMember
}

type seenMember struct {
	member *apiv1.Member
	seen   time.Duration
}

func newMemberTable() *memberTable { return &memberTable{byName: map[string]*seenMember{}} }

func (t *memberTable) note(m *apiv1.Member, now time.Duration) {
	if m == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byName[m.Process]
	if known != nil && known.member.Incarnation > m.Incarnation {
		return
	}
	t.byName[m.Process] = &seenMember{m, now}
}

// list returns the members with their states, in order of their names.
func (t *memberTable) list(now time.Duration) []*apiv1.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*apiv1.Member
	for name, s := range t.byName {
		silent := now - s.seen
		if silent > forgetAfter {
			delete(t.byName, name)
			continue
		}
		m := proto.Clone(s.member).(*apiv1.Member)
		m.State = stateOf(silent)
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *apiv1.Member) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Process, b.Process))
	})
	return list
}

func stateOf(silent time.Duration) string {
	switch {
	case silent > deadAfter:
		return "dead"
	case silent > suspectAfter:
		return "suspect"
	}
	return "alive"
}

// controls returns the control processes that are not dead.
func (t *memberTable) controls(now time.Duration) []*apiv1.Member {
	return slices.DeleteFunc(t.list(now), func(m *apiv1.Member) bool { return m.Role != roleControl || m.State == "dead" })
}

// ListMembers returns the processes that renewed configuration leases lately.
func (f *FleetServer) ListMembers(context.Context, *apiv1.ListMembersRequest) (*apiv1.ListMembersResponse, error) {
	g, err := f.group()
	if err != nil {
		return nil, err
	}
	if _, err := lead("fleet", g.Log); err != nil {
		return nil, err
	}
	return &apiv1.ListMembersResponse{Members: g.members.list(f.server.clock.Now())}, nil
}
