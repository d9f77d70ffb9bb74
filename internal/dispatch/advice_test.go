package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/port"
)

// fakeAdvisers simulates processes that call the advice service. Each answers one
// request at a time in the order of arrival, and finishes a request also if the caller
// has given up.
type fakeAdvisers struct {
	terms cell.AdviceTerms
	// overhead is what a call takes beyond its stated cost.
	overhead time.Duration

	mu                 sync.Mutex
	idleAt             map[string]time.Time
	answered, timedOut int
}

func (f *fakeAdvisers) Ask(ctx context.Context, peer string, q *cellapi.AdviceRequest) *cellapi.AdviceReply {
	f.mu.Lock()
	idleAt := f.idleAt[peer]
	if idleAt.Before(time.Now()) {
		idleAt = time.Now()
	}
	idleAt = idleAt.Add(f.terms.Cost(len(q.Workers)) + f.overhead)
	f.idleAt[peer] = idleAt
	f.mu.Unlock()
	reply := &cellapi.AdviceReply{Tickets: map[string]string{}}
	select {
	case <-ctx.Done():
		reply.Error = ctx.Err().Error()
	case <-time.After(time.Until(idleAt)):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.Error != "" {
		f.timedOut++
	} else {
		f.answered++
	}
	return reply
}

// takeCounts returns the numbers of answered and timed out requests and resets them.
func (f *fakeAdvisers) takeCounts() (answered, timedOut int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answered, timedOut = f.answered, f.timedOut
	f.answered, f.timedOut = 0, 0
	return answered, timedOut
}

// requestFor makes as many requests as the broker admits, for the given time.
func requestFor(b *adviceBroker, terms cell.AdviceTerms, peers []string, duration time.Duration) {
	var workers []*candidate
	for i := range maxAdviceWorkers {
		workers = append(workers, &candidate{id: fmt.Sprintf("w%02d", i)})
	}
	job := 0
	for began := time.Now(); time.Since(began) < duration; time.Sleep(minPlanGap) {
		for _, peer := range peers {
			b.announce(peer, b.t.leader.Clock.Now())
		}
		for b.request(&adviceRequest{step: cell.StepKey{Job: fmt.Sprint(job)}, workers: workers, terms: terms}) {
			job++
		}
	}
}

// Guards against requests for advice that keep timing out, and steps that are not
// started, once a backlog has built up: calls that take longer than their stated cost must
// not make the expected wait for a caller ever shorter than the actual one.
func TestBacklogDoesNotMakeAdviceTimeOut(t *testing.T) {
	for _, terms := range []cell.AdviceTerms{{DecideMS: 11, PerWorkerMS: 0.16}, {DecideMS: 80, PerWorkerMS: 1.1}, {DecideMS: 440, PerWorkerMS: 6.2}} {
		t.Run(fmt.Sprint(terms.Cost(maxAdviceWorkers)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := &fakeAdvisers{terms: terms, overhead: 10 * time.Millisecond, idleAt: map[string]time.Time{}}
				l := New(Config{Log: &fakeLog{}, Clock: port.NewSystemClock(), AdviceClient: f, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
				term := newTerm(ctx, l, 1, 0)
				peers := []string{"p0", "p1", "p2"}
				requestFor(term.advice, terms, peers, 30*time.Second)
				f.takeCounts()
				requestFor(term.advice, terms, peers, 30*time.Second)
				answered, timedOut := f.takeCounts()
				assert.Equal(t, timedOut, 0, "%d were answered", answered)
				cancel()
				term.wait()
			})
		})
	}
}

// Guards against a backlog at a process that has just started, or does not answer: all
// requests in it would time out.
func TestNewCallerGetsOneRequest(t *testing.T) {
	b := newAdviceBroker(nil)
	b.announce("new", 0)
	first := b.chooseCaller(0, 15*time.Millisecond, maxCallerBacklog)
	assert.Assert(t, first != nil && b.chooseCaller(0, 15*time.Millisecond, maxCallerBacklog) == nil)
	b.callers["new"].finish(first, 45*time.Millisecond, true)
	assert.Equal(t, b.callers["new"].overhead, 30*time.Millisecond)
	second := b.chooseCaller(45*time.Millisecond, 15*time.Millisecond, maxCallerBacklog)
	assert.Assert(t, second != nil && b.chooseCaller(45*time.Millisecond, 15*time.Millisecond, maxCallerBacklog) != nil)
	b.callers["new"].finish(second, time.Second, false)
	assert.Assert(t, b.chooseCaller(time.Second, 15*time.Millisecond, maxCallerBacklog) == nil)
}

// Guards against gangs that make all other steps wait for advice, because each has several
// requests in flight while no process is idle.
func TestFurtherRequestsOfStepNeedIdleCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		terms := cell.AdviceTerms{DecideMS: 440, PerWorkerMS: 6.2}
		f := &fakeAdvisers{terms: terms, idleAt: map[string]time.Time{}}
		l := New(Config{Log: &fakeLog{}, Clock: port.NewSystemClock(), AdviceClient: f, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
		term := newTerm(ctx, l, 1, 0)
		for _, peer := range []string{"p0", "p1"} {
			term.advice.announce(peer, l.Clock.Now())
			term.advice.callers[peer].answering = true
		}
		request := func(job string, onlyIfIdle bool) bool {
			return term.advice.request(&adviceRequest{step: cell.StepKey{Job: job}, terms: terms, onlyIfIdle: onlyIfIdle})
		}
		assert.Assert(t, request("a", false) && request("a", true))
		assert.Assert(t, !request("a", true), "no process is idle")
		assert.Assert(t, request("b", false))
		time.Sleep(2 * time.Second)
		cancel()
		term.wait()
	})
}

// Guards against a service that is slower than the slack in the time limit and never
// answers in time, because only answers would show that it is slow.
func TestSlowServiceIsGivenMoreTime(t *testing.T) {
	terms := cell.AdviceTerms{DecideMS: 440, PerWorkerMS: 6.2}
	for _, overhead := range []time.Duration{300 * time.Millisecond, 450 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(overhead.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := &fakeAdvisers{terms: terms, overhead: overhead, idleAt: map[string]time.Time{}}
				l := New(Config{Log: &fakeLog{}, Clock: port.NewSystemClock(), AdviceClient: f, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
				term := newTerm(ctx, l, 1, 0)
				peers := []string{"p0", "p1", "p2"}
				requestFor(term.advice, terms, peers, 30*time.Second)
				f.takeCounts()
				requestFor(term.advice, terms, peers, 30*time.Second)
				answered, timedOut := f.takeCounts()
				assert.Assert(t, timedOut == 0 && answered > 0, "%d answered, %d timed out", answered, timedOut)
				cancel()
				term.wait()
			})
		})
	}
}

// Guards against a process that does not answer but is always idle, so that it gets a large
// part of the requests.
func TestSilentCallerGetsFewRequests(t *testing.T) {
	b := newAdviceBroker(nil)
	requests := 0
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		b.announce("silent", now)
		if r := b.chooseCaller(now, 0, maxCallerBacklog); r != nil {
			requests++
			b.callers["silent"].finish(r, now, false)
		}
	}
	limit := int(time.Minute/(adviceTimeoutSlack<<maxAvoidDoublings)) + maxAvoidDoublings + 1
	assert.Assert(t, requests <= limit, "%d requests in a minute", requests)
}

// Guards against short requests that wait for a slow VM while a fast one is idle.
func TestRequestGoesToCallerThatAnswersFirst(t *testing.T) {
	b := newAdviceBroker(nil)
	for peer, overhead := range map[string]time.Duration{"a": 80 * time.Millisecond, "b": 5 * time.Millisecond, "c": 40 * time.Millisecond} {
		b.announce(peer, 0)
		b.callers[peer].answering, b.callers[peer].overhead = true, overhead
	}
	const cost = 20 * time.Millisecond
	assert.Equal(t, b.chooseCaller(0, cost, maxCallerBacklog).peer, "b")
	assert.Equal(t, b.chooseCaller(0, cost, maxCallerBacklog).peer, "b", "its second answer still comes first")
	assert.Equal(t, b.chooseCaller(0, cost, maxCallerBacklog).peer, "c")
	assert.Equal(t, b.chooseCaller(0, cost, 0).peer, "a", "the only one that is idle")
}

// Load: more steps ask for advice than the service can answer, those of batch queues first.
// Guards against requests that use all connections to other processes, and against urgent
// steps that wait for the requests of others.
func TestRequestsInFlightLeaveRoomForUrgentSteps(t *testing.T) {
	const most, callers = 8, 20
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		terms := cell.AdviceTerms{DecideMS: 100}
		f := &fakeAdvisers{terms: terms, idleAt: map[string]time.Time{}}
		l := New(Config{Log: &fakeLog{}, Clock: port.NewSystemClock(), AdviceClient: f, MaxAdviceRequests: most, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
		term := newTerm(ctx, l, 1, 0)
		for i := range callers {
			peer := fmt.Sprint("p", i)
			term.advice.announce(peer, l.Clock.Now())
			term.advice.callers[peer].answering = true
		}
		accepted := func(patient bool) (n int) {
			for i := range 10 * most {
				if term.advice.request(&adviceRequest{step: cell.StepKey{Job: fmt.Sprint(patient, i)}, terms: terms, patient: patient}) {
					n++
				}
			}
			return n
		}
		assert.Equal(t, accepted(true), most/patientShareDivisor)
		assert.Equal(t, accepted(false), most-most/patientShareDivisor)
		time.Sleep(time.Second)
		for i := range callers {
			term.advice.announce(fmt.Sprint("p", i), l.Clock.Now())
		}
		assert.Equal(t, accepted(false), most, "all have ended")
		cancel()
		term.wait()
	})
}

// Guards against urgent steps whose answer comes late because callers have long queues of
// requests for others.
func TestPatientRequestsLeaveCallersShortQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		terms := cell.AdviceTerms{DecideMS: 100}
		f := &fakeAdvisers{terms: terms, idleAt: map[string]time.Time{}}
		l := New(Config{Log: &fakeLog{}, Clock: port.NewSystemClock(), AdviceClient: f, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
		term := newTerm(ctx, l, 1, 0)
		term.advice.announce("p", l.Clock.Now())
		term.advice.callers["p"].answering = true
		for i := range 20 {
			term.advice.request(&adviceRequest{step: cell.StepKey{Job: fmt.Sprint(i)}, terms: terms, patient: true})
		}
		assert.Assert(t, term.advice.callers["p"].idleAt(l.Clock.Now())-l.Clock.Now() <= maxPatientBacklog+100*time.Millisecond)
		cancel()
		term.wait()
	})
}
