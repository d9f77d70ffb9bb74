package entry

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"laburnumgrade/gen/apiv1"
)

// progressShards is a power of two; calls are spread over the shards by id.
const progressShards = 64

// progress is one call that this entry works on.
type progress struct {
	id, team, service string
	once              bool

	mu sync.Mutex
	// sends counts the attempts that may have been received.
	sends  int
	closed bool
}

// beginSend is called before each sending; it is false if the call was answered
// as not run.
func (p *progress) beginSend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.sends++
	return true
}

// notSent takes back a beginSend after which nothing was sent.
func (p *progress) notSent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sends--
}

// closeUnsent reports whether nothing was sent, and if so prevents that anything
// will be.
func (p *progress) closeUnsent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sends > 0 {
		return false
	}
	p.closed = true
	return true
}

// registry holds the calls in progress, and the results that the runs of
// non-idempotent calls will have.
type registry struct {
	shards [progressShards]struct {
		mu    sync.Mutex
		calls map[*progress]struct{}
		runs  map[string]*run
	}
	count atomic.Int64
}

func newRegistry() *registry {
	r := &registry{}
	for i := range r.shards {
		r.shards[i].calls = map[*progress]struct{}{}
		r.shards[i].runs = map[string]*run{}
	}
	return r
}

func shardOf(id string) uint64 { return xxhash.Sum64String(id) % progressShards }

func (r *registry) begin(m *apiv1.CallRequest, once bool) *progress {
	p := &progress{id: m.RequestId, team: m.Team, service: m.Service, once: once}
	s := &r.shards[shardOf(p.id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[p] = struct{}{}
	r.count.Add(1)
	return p
}

func (r *registry) end(p *progress) {
	s := &r.shards[shardOf(p.id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, p)
	r.count.Add(-1)
}

// all returns the calls in progress.
func (r *registry) all() []*progress {
	var list []*progress
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for p := range s.calls {
			list = append(list, p)
		}
		s.mu.Unlock()
	}
	return list
}

// run is the only run of a non-idempotent call whose record this entry owns. It
// may outlast the caller.
type run struct {
	progress *progress
	// result is valid once known is closed; ended is closed when it has been
	// recorded or recording was given up.
	result *apiv1.CallResponse
	known  chan struct{}
	ended  chan struct{}
}

func (r *registry) addRun(id string, p *progress) *run {
	result := &run{progress: p, known: make(chan struct{}), ended: make(chan struct{})}
	s := &r.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = result
	return result
}

func (r *registry) removeRun(id string, old *run) {
	s := &r.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[id] == old {
		delete(s.runs, id)
	}
}

func (r *registry) findRun(id string) *run {
	s := &r.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
