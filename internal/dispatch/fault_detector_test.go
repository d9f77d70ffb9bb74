package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
)

// Guards against a faulty worker that gets more and more jobs and fails them.
func TestFaultyWorkerIsFoundEarly(t *testing.T) {
	s := newFaultDetector()
	for i := range 1000 {
		s.done(fmt.Sprintf("w%d", i%40), "q")
		if i%20 == 0 {
			s.failed(fmt.Sprintf("w%d", i%40), "q", fmt.Sprint("old", i), 0)
			s.done(fmt.Sprintf("w%d", i%40), "q")
		}
	}
	workers := []string{"bad", "good"}
	s.failed("bad", "q", "a", time.Second)
	assert.Assert(t, s.faultProbability("bad") > 0.05 && s.faultProbability("good") < 0.02)
	s.failed("bad", "q", "b", time.Second)
	assert.DeepEqual(t, s.onProbation(workers, time.Second), map[string]bool{"bad": true})
	assert.Equal(t, len(s.onProbation(workers, time.Second+minProbation)), 0, "it gets work again")
	s.failed("bad", "q", "c", 4*time.Second)
	assert.DeepEqual(t, s.onProbation(workers, 4*time.Second+minProbation), map[string]bool{"bad": true}) // each probation is longer
}

// Guards against probation of sound workers when one task in twenty fails
// everywhere.
func TestSoundWorkersAvoidProbation(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := newFaultDetector()
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
		out += len(s.onProbation(workers, now))
	}
	share := float64(out) / 20_000 / 40
	assert.Assert(t, share < 0.03, "%.3f of the workers were on probation", share)
}

// Guards against a job that always fails and puts the workers that try it on
// probation, and against so many workers on probation that the rest cannot do the
// work.
func TestFailingJobIsNoEvidenceAgainstWorkers(t *testing.T) {
	s := newFaultDetector()
	workers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, w := range workers {
		for range 4 {
			s.failed(w, "q", "bad", 0)
		}
	}
	assert.Equal(t, len(s.onProbation(workers, 0)), 0)
	s.queues["sound"] = &failureRate{tasks: 10_000, failures: 200}
	for _, w := range workers {
		for i := range 3 {
			s.failed(w, "sound", fmt.Sprint(w, i), 0)
		}
	}
	assert.Equal(t, len(s.onProbation(workers, 0)), len(workers)/maxProbationDivisor)
	s.forget(func(job string) bool { return true })
	assert.Equal(t, len(s.failedOn), 0)
}

// Guards against a second attempt on the worker on which the first one failed.
func TestRetryAvoidsWorkerOfFailedTask(t *testing.T) {
	p := newPlanner(2, nil)
	rs := p.newReadyStep("a", 0, cell.Step{Count: 1})
	rs.queue.Advice = nil
	p.byID["w01"].factor = 1.5
	rs.failedOn = map[string]bool{"w00": true}
	p.planSteps([]*readyStep{rs})
	assert.DeepEqual(t, placedOn(p), []string{"w01"})
}
