package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
)

// Guards against a faulty worker that takes one job after another to its end.
func TestFaultyWorkerIsFoundEarly(t *testing.T) {
	s := newSuspicion()
	for i := range 1000 {
		s.done(fmt.Sprintf("w%d", i%40), "q")
		if i%20 == 0 {
			s.failed(fmt.Sprintf("w%d", i%40), "q", fmt.Sprint("old", i), 0)
			s.done(fmt.Sprintf("w%d", i%40), "q")
		}
	}
	workers := []string{"bad", "good"}
	s.failed("bad", "q", "a", time.Second)
	assert.Assert(t, s.doubt("bad") > 0.05 && s.doubt("good") < 0.02)
	s.failed("bad", "q", "b", time.Second)
	assert.DeepEqual(t, s.out(workers, time.Second), map[string]bool{"bad": true})
	assert.Equal(t, len(s.out(workers, time.Second+probation)), 0, "it is tried again")
	s.failed("bad", "q", "c", 4*time.Second)
	assert.DeepEqual(t, s.out(workers, 4*time.Second+probation), map[string]bool{"bad": true}) // for longer each time
}

// Guards against sound workers that lose work because one task in twenty fails
// everywhere.
func TestSoundWorkersAreTrusted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := newSuspicion()
	workers := make([]string, 40)
	for i := range workers {
		workers[i] = fmt.Sprint("w", i)
	}
	out := 0
	for i := range 20_000 {
		now := time.Duration(i) * 5 * time.Millisecond
		worker := workers[random.IntN(len(workers))]
		if random.IntN(20) == 0 {
			s.failed(worker, "q", fmt.Sprint(i), now)
		} else {
			s.done(worker, "q")
		}
		out += len(s.out(workers, now))
	}
	share := float64(out) / 20_000 / 40
	assert.Assert(t, share < 0.03, "%.3f of the workers were on probation", share)
}

// Guards against a job that can never be done and takes the workers that try it
// with it, and against so many suspects that the rest cannot do the work.
func TestBadJobIsNotTheWorkersFault(t *testing.T) {
	s := newSuspicion()
	workers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, w := range workers {
		for range 4 {
			s.failed(w, "q", "bad", 0)
		}
	}
	assert.Equal(t, len(s.out(workers, 0)), 0)
	s.queues["sound"] = &failureRate{tasks: 10_000, failures: 200}
	for _, w := range workers {
		for i := range 3 {
			s.failed(w, "sound", fmt.Sprint(w, i), 0)
		}
	}
	assert.Equal(t, len(s.out(workers, 0)), len(workers)/maxSuspects)
	s.forget(func(job string) bool { return true })
	assert.Equal(t, len(s.failedOn), 0)
}

// Guards against a second attempt on the worker on which the first has failed.
func TestRetryGoesElsewhere(t *testing.T) {
	p := newPlanner(2, nil)
	w := p.newWish("a", 0, cell.Step{Count: 1})
	w.queue.Advice = nil
	p.byID["w01"].factor = 1.5
	w.failedOn = map[string]bool{"w00": true}
	p.decide([]*wish{w})
	assert.DeepEqual(t, placedOn(p), []string{"w01"})
}
