package routing

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"laburnumgrade/gen/peerv1"
)

// Choice is an instance chosen for a call.
type Choice struct {
	ID           string
	Incarnation  uint64
	Address      string
	Entry        string
	EntryAddress string
	// Local is true if this entry hands out the instance's slots.
	Local bool
}

type instance struct {
	Choice
	team, service string
	dataCentre    string
	slots, used   int
	leaving       bool
}

// Table holds the instances of all data centres.
type Table struct {
	self string

	mu        sync.Mutex
	instances map[string]*instance
	// expires is when this entry's slot leases run out.
	expires time.Duration
	changed chan struct{}
}

// NewTable returns an empty table of the named entry.
func NewTable(self string) *Table {
	return &Table{self: self, instances: map[string]*instance{}, changed: make(chan struct{})}
}

// Update replaces the instances of a data centre. A positive lease renews this
// entry's slot leases, counted from when it asked.
func (t *Table) Update(dataCentre string, list []*peerv1.Instance, asked, lease time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if lease > 0 {
		t.expires = max(t.expires, asked+lease)
	}
	seen := map[string]bool{}
	for _, m := range list {
		seen[m.InstanceId] = true
		t.updateOne(dataCentre, m)
	}
	for id, in := range t.instances {
		if in.dataCentre == dataCentre && !seen[id] {
			delete(t.instances, id)
		}
	}
	t.wake()
}

func (t *Table) updateOne(dataCentre string, m *peerv1.Instance) {
	in := t.instances[m.InstanceId]
	if in == nil || in.Incarnation != m.Incarnation {
		in = &instance{}
		t.instances[m.InstanceId] = in
	}
	in.Choice = Choice{
		ID: m.InstanceId, Incarnation: m.Incarnation, Address: m.Address,
		Entry: m.Entry, EntryAddress: m.EntryAddress, Local: m.Entry == t.self,
	}
	in.team, in.service, in.dataCentre = m.Team, m.Service, dataCentre
	in.slots = int(m.Slots)
	in.leaving = m.Leaving
}

func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Acquire chooses an instance, preferring one whose slots are handed out here,
// and waits for a free slot until the context ends.
func (t *Table) Acquire(ctx context.Context, team, service string, now func() time.Duration) (Choice, error) {
	return t.acquire(ctx, team, service, now, true)
}

// AcquireLocal is Acquire among the instances whose slots are handed out here.
func (t *Table) AcquireLocal(ctx context.Context, team, service string, now func() time.Duration) (Choice, error) {
	return t.acquire(ctx, team, service, now, false)
}

func (t *Table) acquire(ctx context.Context, team, service string, now func() time.Duration, remote bool) (Choice, error) {
	for {
		t.mu.Lock()
		changed := t.changed
		c, ok := t.pick(team, service, now(), remote)
		t.mu.Unlock()
		if ok {
			return c, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Choice{}, errors.Errorf("no instance of %s/%s had a free slot within the deadline", team, service)
		}
	}
}

func (t *Table) pick(team, service string, now time.Duration, remote bool) (Choice, bool) {
	var best *instance
	var other *instance
	for _, in := range t.instances {
		if in.team != team || in.service != service || in.leaving {
			continue
		}
		if !in.Local {
			if in.EntryAddress != "" {
				other = in
			}
			continue
		}
		if in.used < in.slots && now < t.expires && (best == nil || in.used < best.used) {
			best = in
		}
	}
	if best != nil {
		best.used++
		return best.Choice, true
	}
	if remote && other != nil {
		return other.Choice, true
	}
	return Choice{}, false
}

// Release frees the slot of a local choice.
func (t *Table) Release(c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in := t.instances[c.ID]; in != nil && in.Incarnation == c.Incarnation {
		in.used--
	}
	t.wake()
}
