package timeline

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"laburnumgrade/internal/hlc"
)

// shardCount is how many shards a ring has, so that concurrent writers rarely
// wait for one lock.
const shardCount = 16

// Ring keeps the recent events of one process. An event goes to the shard given by
// a hash of its job, request, worker, peer or team, whichever of these is set
// first. A full shard overwrites its oldest event and counts it as dropped. A nil
// ring discards all events without counting them.
type Ring struct {
	clock      *hlc.Clock
	process    string
	dataCentre string
	shards     [shardCount]shard
}

// shard is a part of the ring with its own lock.
type shard struct {
	mu     sync.Mutex
	events []Event
	// next is the index of the oldest event once the shard is full; the next event
	// overwrites it.
	next    int
	limit   int
	dropped uint64
	// The padding keeps the locks of two shards on different cache lines.
	_ [64]byte
}

// NewRing returns a ring for capacity events, at least one in each shard. Memory
// is allocated as events arrive.
func NewRing(clock *hlc.Clock, process, dataCentre string, capacity int) *Ring {
	r := &Ring{clock: clock, process: process, dataCentre: dataCentre}
	for i := range r.shards {
		r.shards[i].limit = max(capacity/shardCount, 1)
	}
	return r
}

// Record sets the stamp, process and data centre of the event and stores it.
func (r *Ring) Record(event Event) {
	if r == nil {
		return
	}
	event.Process, event.DataCentre = r.process, r.dataCentre
	s := &r.shards[xxhash.Sum64String(event.shardKey())%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	event.Stamp = r.clock.Now()
	if len(s.events) < s.limit {
		s.events = append(s.events, event)
		return
	}
	s.events[s.next] = event
	s.next = (s.next + 1) % s.limit
	s.dropped++
}

// List holds events of one process, as Handler serves them.
type List struct {
	Process    string `json:"process"`
	DataCentre string `json:"data_centre"`
	// Dropped is how many events were overwritten since the process started.
	Dropped uint64  `json:"dropped"`
	Events  []Event `json:"events"`
}

// Select returns the events that the filter selects, oldest first.
func (r *Ring) Select(filter Filter) List {
	if r == nil {
		return List{Events: []Event{}}
	}
	list := List{Process: r.process, DataCentre: r.dataCentre, Events: []Event{}}
	for i := range r.shards {
		list.Dropped += r.shards[i].collect(&filter, &list.Events)
	}
	slices.SortFunc(list.Events, compare)
	if excess := len(list.Events) - filter.Limit; filter.Limit > 0 && excess > 0 {
		list.Events = list.Events[excess:]
	}
	return list
}

// collect appends the shard's events that match the filter, and returns how many
// events the shard has dropped.
func (s *shard) collect(filter *Filter, events *[]Event) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.events {
		if filter.Matches(&s.events[i]) {
			*events = append(*events, s.events[i])
		}
	}
	return s.dropped
}

// compare orders events by stamp, then by process.
func compare(a, b Event) int {
	return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Process, b.Process))
}

// Merge returns the events of several processes in causal order, that is, by
// stamp and then by process. An event that is in several lists appears once.
func Merge(lists ...List) []Event {
	var all []Event
	for i := range lists {
		all = append(all, lists[i].Events...)
	}
	slices.SortStableFunc(all, compare)
	return slices.Compact(all)
}
