package timeline

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"laburnumgrade/internal/hlc"
)

// shardCount is a power of two.
const shardCount = 16

// Ring keeps the recent events of one process. It is sharded by a hash of the
// event's job, request, worker, peer or team, the first that is set. A full
// shard overwrites its oldest event and counts it as dropped. A nil ring drops
// everything without counting.
type Ring struct {
	clock      *hlc.Clock
	process    string
	dataCentre string
	shards     [shardCount]shard
}

// shard is a part of the ring under its own lock.
type shard struct {
	mu     sync.Mutex
	events []Event
	// next is where the next event goes once the shard is full.
	next    int
	limit   int
	dropped uint64
	// Keeps the locks of two shards off one cache line.
	_ [64]byte
}

// NewRing returns a ring for capacity events, at least one in each shard. Memory is
// taken as events arrive.
func NewRing(clock *hlc.Clock, process, dataCentre string, capacity int) *Ring {
	r := &Ring{clock: clock, process: process, dataCentre: dataCentre}
	for i := range r.shards {
		r.shards[i].limit = max(capacity/shardCount, 1)
	}
	return r
}

// Record stamps the event, names its process, and keeps it.
func (r *Ring) Record(event Event) {
	if r == nil {
		return
	}
	event.Process, event.DataCentre = r.process, r.dataCentre
	s := &r.shards[xxhash.Sum64String(event.id())%shardCount]
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

// List is the events of one process, as served.
type List struct {
	Process    string `json:"process"`
	DataCentre string `json:"data_centre"`
	// Dropped counts the events overwritten since the process started.
	Dropped uint64  `json:"dropped"`
	Events  []Event `json:"events"`
}

// Select returns the events that the filter passes, oldest first.
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

// collect appends the shard's events that pass and returns how many were
// dropped.
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

// compare orders events by stamp, then process.
func compare(a, b Event) int {
	return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Process, b.Process))
}

// Merge returns the events of several processes in causal order: by stamp, then
// process. An event that is in several lists appears once.
func Merge(lists ...List) []Event {
	var all []Event
	for i := range lists {
		all = append(all, lists[i].Events...)
	}
	slices.SortStableFunc(all, compare)
	return slices.Compact(all)
}
