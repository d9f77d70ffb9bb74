package entry

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"laburnumgrade/gen/apiv1"
)

// callShards is how many locks the calls are divided between, by id. It is a
// power of two.
const callShards = 64

// activeCall is a call in progress. It decides, under its lock, whether the call may
// still be sent or was answered as not run.
type activeCall struct {
	id, team, service string
	nonIdempotent     bool

	mu sync.Mutex
	// sends is how many attempts an instance or entry may have received.
	sends          int
	answeredNotRun bool
}

// beginSend must be called before the call is sent. It returns false if the call
// must not be sent because it was already answered as not run.
func (p *activeCall) beginSend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answeredNotRun {
		return false
	}
	p.sends++
	return true
}

// notSent reverts a beginSend after which nothing was sent.
func (p *activeCall) notSent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sends--
}

// preventSend marks the call as answered with "not run", so that no attempt sends it, and
// returns true. It returns false if the call may have been sent already.
func (p *activeCall) preventSend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sends > 0 {
		return false
	}
	p.answeredNotRun = true
	return true
}

// callRegistry holds the calls in progress and the runs of non-idempotent calls.
type callRegistry struct {
	shards [callShards]struct {
		mu    sync.Mutex
		calls map[*activeCall]struct{}
		runs  map[string]*run
	}
	count atomic.Int64
}

func newCallRegistry() *callRegistry {
	r := &callRegistry{}
	for i := range r.shards {
		r.shards[i].calls = map[*activeCall]struct{}{}
		r.shards[i].runs = map[string]*run{}
	}
	return r
}

func shardOf(id string) uint64 { return xxhash.Sum64String(id) % callShards }

// begin registers a call in progress; end must be called with its result.
func (r *callRegistry) begin(m *apiv1.CallRequest, nonIdempotent bool) *activeCall {
	p := &activeCall{id: m.RequestId, team: m.Team, service: m.Service, nonIdempotent: nonIdempotent}
	s := &r.shards[shardOf(p.id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[p] = struct{}{}
	r.count.Add(1)
	return p
}

// end removes a call that is no longer in progress.
func (r *callRegistry) end(p *activeCall) {
	s := &r.shards[shardOf(p.id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, p)
	r.count.Add(-1)
}

// all returns the calls in progress.
func (r *callRegistry) all() []*activeCall {
	var list []*activeCall
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

// run is the run of a non-idempotent call whose record this entry owns. There is at
// most one for each request. It may continue after the caller has been answered.
type run struct {
	active *activeCall
	// result is valid once resultReady is closed. recordingDone is closed when the
	// result has been recorded, or when no further try to record it is made.
	result        *apiv1.CallResponse
	resultReady   chan struct{}
	recordingDone chan struct{}
}

// addRun registers the run of a non-idempotent call.
func (r *callRegistry) addRun(id string, p *activeCall) *run {
	result := &run{active: p, resultReady: make(chan struct{}), recordingDone: make(chan struct{})}
	s := &r.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = result
	return result
}

// removeRun removes a run, unless another run of the same request has replaced it.
func (r *callRegistry) removeRun(id string, old *run) {
	s := &r.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[id] == old {
		delete(s.runs, id)
	}
}

// findRun returns the run of a request, or nil.
func (r *callRegistry) findRun(id string) *run {
	s := &r.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
