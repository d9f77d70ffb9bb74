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
	// suspectAfter is the silence after which a process is listed as suspect. Processes
	// renew their configuration leases several times in that time.
	suspectAfter = 2 * time.Second
	// deadAfter is the silence after which a process is listed as dead.
	deadAfter = 20 * time.Second
	// removeAfter is the silence after which a process is removed from the list.
	removeAfter = 10 * time.Minute

	roleControl = "control"
)

// memberTable holds the processes that have renewed configuration leases from this
// leader, by name. A later incarnation replaces an earlier one.
type memberTable struct {
	mu     sync.Mutex
	byName map[string]*memberEntry
}

// memberEntry is a member and when it last renewed its configuration lease.
type memberEntry struct {
	member    *apiv1.Member
	renewedAt time.Duration
}

func newMemberTable() *memberTable { return &memberTable{byName: map[string]*memberEntry{}} }

func (t *memberTable) record(m *apiv1.Member, now time.Duration) {
	if m == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byName[m.Process]
	if known != nil && known.member.Incarnation > m.Incarnation {
		return
	}
	t.byName[m.Process] = &memberEntry{m, now}
}

// list returns the members with their states, sorted by data centre and process name.
func (t *memberTable) list(now time.Duration) []*apiv1.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*apiv1.Member
	for name, entry := range t.byName {
		silent := now - entry.renewedAt
		if silent > removeAfter {
			delete(t.byName, name)
			continue
		}
		m := proto.Clone(entry.member).(*apiv1.Member)
		m.State = memberState(silent)
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *apiv1.Member) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Process, b.Process))
	})
	return list
}

// memberState returns the state of a member that has been silent for the given time.
func memberState(silent time.Duration) string {
	switch {
	case silent > deadAfter:
		return "dead"
	case silent > suspectAfter:
		return "suspect"
	}
	return "alive"
}

// liveControls returns the control processes that are not dead.
func (t *memberTable) liveControls(now time.Duration) []*apiv1.Member {
	return slices.DeleteFunc(t.list(now), func(m *apiv1.Member) bool { return m.Role != roleControl || m.State == "dead" })
}

// ListMembers returns the processes that have recently renewed a configuration lease
// from this leader.
func (f *FleetServer) ListMembers(context.Context, *apiv1.ListMembersRequest) (*apiv1.ListMembersResponse, error) {
	g, err := f.group()
	if err != nil {
		return nil, err
	}
	if _, err := leadershipSince("fleet", g.Log); err != nil {
		return nil, err
	}
	return &apiv1.ListMembersResponse{Members: g.members.list(f.server.clock.Now())}, nil
}
