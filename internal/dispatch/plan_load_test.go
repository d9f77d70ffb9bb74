package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
	"laburnumgrade/internal/structs"
)

// silentAdvisers never answer before the time limit of a request.
type silentAdvisers struct{}

func (silentAdvisers) Ask(ctx context.Context, _ string, _ *cellapi.AdviceRequest) *cellapi.AdviceReply {
	<-ctx.Done()
	return &cellapi.AdviceReply{Error: ctx.Err().Error()}
}

// obedientWorkers carry out each order at once. Their clocks run with the leader's.
type obedientWorkers struct {
	Workers
	leader *Leader
}

func (w *obedientWorkers) Start(context.Context, Target, *StartOrder) (OrderReply, error) {
	return OrderReply{Answer: Done, ClockMS: 1 + w.leader.Clock.Now().Milliseconds()}, nil
}

// newLoadedTerm returns a term, in real time, of a cell with many ready steps: one in
// twenty can be placed, seven in ten wait for advice and the others are gangs that do
// not fit.
func newLoadedTerm(tb testing.TB, readySteps, workers int) *term {
	ctx, cancel := context.WithCancel(tb.Context())
	store := cell.NewStore(nil)
	l := New(Config{
		Log: &fakeLog{term: 1, apply: store.Apply}, Store: store, Clock: port.NewSystemClock(), AdviceClient: silentAdvisers{},
		PeerAddress: "self", Bounds: Bounds{MaxLease: 6 * time.Second, RemoteFactor: 2}, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	l.Workers = &obedientWorkers{leader: l}
	index := uint64(0)
	apply := func(c *cell.Command) {
		index++
		data, err := cell.Encode(c)
		assert.NilError(tb, err)
		if verdict, ok := store.Apply(index, data).(cell.Verdict); ok {
			assert.Equal(tb, verdict, cell.Accepted)
		}
	}
	terms := &cell.AdviceTerms{DecideMS: 80, PerWorkerMS: 1.1, ValidityMS: 2000}
	apply(&cell.Command{Configure: &cell.Configuration{
		Version: 1, Services: []cell.Service{{Name: service}},
		Queues: []cell.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Service: service, TimeoutMS: 1000, ObjectiveMS: 60_000, Priority: 2, Public: true},
			{Name: "a", Host: "h", Prefix: "/a/", Service: service, TimeoutMS: 1000, ObjectiveMS: 60_000, Priority: 1, Advice: terms, Public: true},
			{Name: "g", Host: "h", Prefix: "/g/", Service: service, TimeoutMS: 1000, ObjectiveMS: 60_000, Priority: 1, Public: true},
		},
	}})
	t := newTerm(ctx, l, 1, l.Clock.Now())
	for i := range workers {
		apply(&cell.Command{Register: registration(i)})
	}
	for i := range readySteps {
		path, step := "/a/", cell.Step{Count: 4, Size: structs.Resources{MilliCPU: 2000, MemoryBytes: 1 << 30}, EstimateMS: 2000}
		switch {
		case i%20 == 0:
			path = "/q/"
		case i%4 == 1:
			path, step = "/g/", newGangStep(workers, 18)
			step.Label = "wide"
		}
		id := fmt.Sprintf("%016x", i)
		apply(&cell.Command{Submit: &cell.Submit{Request: cell.Request{Host: "h", Path: path + id}, Job: cell.Submission{ID: id, Steps: []cell.Step{step}}}})
	}
	store.View(func(v *cell.View) {
		for id, w := range v.Workers() {
			t.sessions[id] = newSession(t, w, false)
			t.sessions[id].clock.observe(1+t.began.Milliseconds(), t.began)
		}
	})
	for i := range 10 {
		t.advice.announce(fmt.Sprintf("p%d", i), l.Clock.Now())
	}
	tb.Cleanup(func() {
		cancel()
		t.wait()
	})
	return t
}

func registration(i int) *cell.Register {
	r := &cell.Register{
		ID: fmt.Sprintf("w%03d", i), Born: 1, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Service: service, Rack: fmt.Sprint("r", i/20),
		Capacity: structs.Resources{MilliCPU: 64_000, MemoryBytes: 128 << 30},
	}
	if i%10 == 0 {
		r.Labels = []string{"wide"}
	}
	return r
}

// hookedClock calls onRead whenever it is read, with the number of reads so far.
type hookedClock struct {
	port.Clock
	onRead func(read int64)
	reads  atomic.Int64
}

func (c *hookedClock) Now() time.Duration {
	c.onRead(c.reads.Add(1))
	return c.Clock.Now()
}

// Guards against a leader that cannot apply commits between two heartbeats, and loses its
// leadership, because it plans many ready steps.
func TestCommitsAreNotDelayedByLongPlans(t *testing.T) {
	const readySteps, workers = 6000, 350
	// inputReads is the number of times that a plan reads the clock until its inputs are
	// copied, and commitInterval that of reads between two commits.
	const inputReads, commitInterval = 10, 100
	term := newLoadedTerm(t, readySteps, workers)
	term.planTime = time.Hour // on a slow machine it would end before it has looked at all steps
	data, err := cell.Encode(&cell.Command{Register: registration(0)})
	assert.NilError(t, err)
	var commits, delayed atomic.Int64
	term.leader.Clock = &hookedClock{Clock: term.leader.Clock, onRead: func(read int64) {
		if delayed.Load() > 0 || read <= inputReads || read%commitInterval != 0 {
			return
		}
		applied := make(chan struct{})
		go func() {
			term.leader.Store.Apply(1, data)
			close(applied)
		}()
		select {
		case <-applied:
			commits.Add(1)
		case <-time.After(10 * time.Second):
			delayed.Add(1)
		}
	}}
	term.planOnce()
	assert.Equal(t, delayed.Load(), int64(0), "a commit had to wait for the plan")
	assert.Assert(t, commits.Load() >= readySteps/commitInterval/2, "%d commits were applied during the plan", commits.Load())
}

// Guards against inputs of a plan whose copy, which no commit can interrupt, takes longer
// than the time between two heartbeats.
func TestCopyOfPlanInputsIsShort(t *testing.T) {
	const heartbeatInterval = 2 * raft.TickInterval
	const attempts = 5 // the shortest does not depend on how busy the machine is
	term := newLoadedTerm(t, 6000, 350)
	shortest := time.Hour
	for range attempts {
		began := time.Now()
		term.copyInputs(&planner{headroom: map[string]structs.Resources{}})
		shortest = min(shortest, time.Since(began))
	}
	assert.Assert(t, shortest < heartbeatInterval, "copying the inputs took %v", shortest)
}

// costlyClock advances by tick whenever it is read, as if the caller had computed since.
type costlyClock struct {
	port.Clock
	tick  time.Duration
	reads atomic.Int64
}

func (c *costlyClock) Now() time.Duration {
	return c.Clock.Now() + time.Duration(c.reads.Add(1))*c.tick
}

// watchedWorkers carry out each order at once. onFirstStart is called with the first start.
type watchedWorkers struct {
	obedientWorkers
	first        sync.Once
	onFirstStart func()
}

func (w *watchedWorkers) Start(ctx context.Context, t Target, o *StartOrder) (OrderReply, error) {
	w.first.Do(w.onFirstStart)
	return w.obedientWorkers.Start(ctx, t, o)
}

// Guards against a start on a machine that was ordered down, or on a worker that does not
// answer, because a long plan uses the workers that were usable when it began.
func TestLaterSlicesSkipWorkersThatBecameUnusable(t *testing.T) {
	// A slice has at most 20 steps, since the clock advances with each.
	const readySteps, placeable, tick = 600, 30 * 4, time.Millisecond
	for name, change := range map[string]func(t *term, s *session){
		"avoided": func(t *term, s *session) { s.avoid(t.leader.Clock.Now(), time.Hour) },
		"cordoned": func(t *term, s *session) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.cordoned[s.target.ID] = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				term := newLoadedTerm(t, readySteps, 40)
				term.planTime = time.Hour // with this clock it would end before it places anything
				var unusable atomic.Bool
				term.leader.Workers = &watchedWorkers{obedientWorkers: obedientWorkers{leader: term.leader}, onFirstStart: func() {
					for _, s := range term.sessions {
						change(term, s)
					}
					unusable.Store(true)
				}}
				term.leader.Clock = &costlyClock{Clock: term.leader.Clock, tick: tick}
				placed, late := 0, 0
				term.leader.Log = &hookedLog{term.leader.Log, func(c *cell.Command) bool {
					placed += len(c.Start.Placements)
					if unusable.Load() {
						late += len(c.Start.Placements)
					}
					return true
				}}
				term.planOnce()
				assert.Equal(t, late, 0, "placements on unusable workers")
				assert.Assert(t, placed > 0 && placed < placeable, "%d tasks were placed", placed)
			})
		})
	}
}

// Guards against a plan that waits for the time limit of a commit once for each of its
// slices, while new workers, cancelled jobs and due occurrences wait for its end.
func TestPlanEndsWithFailedCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := newLoadedTerm(t, 600, 40)
		term.planTime = time.Hour // with this clock it would end before it places anything
		commits := 0
		term.leader.Log = &hookedLog{term.leader.Log, func(*cell.Command) bool {
			commits++
			return false
		}}
		term.leader.Clock = &costlyClock{Clock: term.leader.Clock, tick: time.Millisecond}
		term.planOnce()
		assert.Equal(t, commits, 1)
	})
}

func benchmarkPlan(b *testing.B, readySteps int) {
	term := newLoadedTerm(b, readySteps, 350)
	term.planOnce() // starts what can start at once
	for b.Loop() {
		term.planOnce()
	}
}

func BenchmarkPlan600(b *testing.B)  { benchmarkPlan(b, 600) }
func BenchmarkPlan6000(b *testing.B) { benchmarkPlan(b, 6000) }

// BenchmarkPlanInputs6000 measures for how long a plan holds the read lock.
func BenchmarkPlanInputs6000(b *testing.B) {
	term := newLoadedTerm(b, 6000, 350)
	term.planOnce()
	for b.Loop() {
		term.copyInputs(&planner{headroom: map[string]structs.Resources{}})
	}
}
