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
	d := newFaultDetector()
	for i := range 1000 {
		d.done(fmt.Sprintf("w%d", i%40), "q")
		if i%20 == 0 {
			d.failed(fmt.Sprintf("w%d", i%40), "q", fmt.Sprint("old", i), 0)
			d.done(fmt.Sprintf("w%d", i%40), "q")
		}
	}
	workers := []string{"bad", "good"}
	d.failed("bad", "q", "a", time.Second)
	assert.Assert(t, d.faultProbability("bad") > 0.05 && d.faultProbability("good") < 0.02)
	d.failed("bad", "q", "b", time.Second)
	assert.DeepEqual(t, d.onProbation(workers, time.Second), map[string]bool{"bad": true})
	assert.Equal(t, len(d.onProbation(workers, time.Second+minProbation)), 0, "it gets work again")
	d.failed("bad", "q", "c", 4*time.Second)
	assert.DeepEqual(t, d.onProbation(workers, 4*time.Second+minProbation), map[string]bool{"bad": true}) // each probation is longer
}

// Guards against probation of sound workers when one task in twenty fails
// everywhere.
func TestSoundWorkersAvoidProbation(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	d := newFaultDetector()
	workers := make([]string, 40)
	for i := range workers {
		workers[i] = fmt.Sprint("w", i)
	}
	probationSum := 0
	for i := range 20_000 {
		now := time.Duration(i) * 5 * time.Millisecond
		worker := workers[random.IntN(len(workers))]
		if random.IntN(20) == 0 {
			d.failed(worker, "q", fmt.Sprint(i), now)
		} else {
			d.done(worker, "q")
		}
		probationSum += len(d.onProbation(workers, now))
	}
	share := float64(probationSum) / 20_000 / 40
	assert.Assert(t, share < 0.03, "%.3f of the workers were on probation", share)
}

// Guards against a job that always fails and puts the workers that try it on
// probation, and against so many workers on probation that the rest cannot do the
// work.
func TestFailingJobIsNoEvidenceAgainstWorkers(t *testing.T) {
	d := newFaultDetector()
	workers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, w := range workers {
		for range 4 {
			d.failed(w, "q", "bad", 0)
		}
	}
	assert.Equal(t, len(d.onProbation(workers, 0)), 0)
	d.queues["sound"] = &failureRate{tasks: 10_000, failures: 200}
	for _, w := range workers {
		for i := range 3 {
			d.failed(w, "sound", fmt.Sprint(w, i), 0)
		}
	}
	assert.Equal(t, len(d.onProbation(workers, 0)), len(workers)/maxProbationDivisor)
	d.forget(func(job string) bool { return true })
	assert.Equal(t, len(d.failedOn), 0)
}

// Guards against a second attempt on the worker on which the first one failed.
func TestRetryAvoidsWorkerOfFailedTask(t *testing.T) {
	p := newPlanner(2, nil)
	rs := p.newReadyStep("a", 0, cell.Step{Count: 1})
	rs.queue.Advice = nil
	p.byID["w01"].runTimeFactor = 1.5
	rs.failedOn = map[string]bool{"w00": true}
	p.planSteps([]*readyStep{rs})
	assert.DeepEqual(t, placedOn(p), []string{"w01"})
}
