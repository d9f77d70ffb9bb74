package health

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed, so that the result does not change between runs.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func half() float64 { return 0.5 }

func monitor(workers int) *Monitor {
	m := NewMonitor(DefaultPolicy(), half)
	m.SetWorkerCount(workers)
	return m
}

// Guards against putting a worker on probation because of one faulty job, and
// against stopping a job because of one faulty worker.
func TestSeparatesFaultyWorkersFromFaultyJobs(t *testing.T) {
	m := monitor(50)
	for range 10 {
		assert.Equal(t, m.Failed("w", "j", 0), Verdict{})
	}
	assert.Equal(t, m.Failed("w", "k", 0), Verdict{})
	assert.Assert(t, m.Failed("w", "l", 0).Probation)
	assert.Equal(t, m.Failed("v", "j", 0), Verdict{}) // the failures on w no longer count
	assert.Equal(t, m.Failed("u", "j", 0), Verdict{})
	assert.Assert(t, m.Failed("t", "j", 0).StopJob)
	for _, job := range []string{"m", "n"} { // the failure of j no longer counts against t
		assert.Equal(t, m.Failed("t", job, 0), Verdict{})
	}
}

// Guards against failures that still count after the window, or after a task has
// succeeded on the worker, and against records that are never dropped.
func TestFailuresExpire(t *testing.T) {
	m := monitor(50)
	m.Failed("w", "a", 0)
	m.Failed("w", "b", 0)
	m.Succeeded("w", "c")
	m.Failed("w", "d", 0)
	assert.Equal(t, m.Failed("w", "e", 0), Verdict{})
	assert.Equal(t, m.Failed("w", "f", m.policy.FailureWindow), Verdict{})
	assert.Equal(t, len(m.jobs), 1)
}

// Guards against a probation that never ends, or that ends before enough trials
// have succeeded.
func TestProbationEndsByTrials(t *testing.T) {
	m := monitor(50)
	for _, job := range []string{"a", "b", "c"} {
		m.Failed("w", job, 0)
	}
	wait := m.policy.TrialBackoff.Base * 3 / 4
	assert.Assert(t, !m.TrialDue("w", wait-1))
	assert.Assert(t, m.TrialDue("w", wait))
	assert.Assert(t, !m.TrialDue("w", wait))
	m.Failed("w", "d", wait)
	assert.Assert(t, !m.TrialDue("w", wait+2*wait-1))
	assert.Assert(t, m.TrialDue("w", wait+2*wait))
	assert.Equal(t, m.Succeeded("w", "e"), Verdict{})
	assert.Assert(t, m.Succeeded("w", "f").Restored)
	assert.Equal(t, m.ProbationCount(), 0)
}

// Guards against a faulty release or data centre putting so many workers on
// probation that the fleet cannot run work.
func TestProbationIsCapped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.IntRange(1, 60).Draw(t, "fleet")
		m := monitor(fleet)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		on := map[string]bool{}
		for step := range 500 {
			w := fmt.Sprint(random.IntN(fleet))
			v := m.Failed(w, fmt.Sprint(random.IntN(200)), time.Duration(step)*time.Second)
			if v.Probation {
				on[w] = true
			}
			if random.IntN(20) == 0 {
				w = fmt.Sprint(random.IntN(fleet))
				m.RemoveWorker(w)
				delete(on, w)
			}
			if len(on) != m.ProbationCount() || len(on) > max(1, fleet/10) {
				t.Fatalf("%d of %d workers are on probation, %d are counted", len(on), fleet, m.ProbationCount())
			}
		}
	})
}

// Guards against restarts that are synchronised for lack of jitter, and against
// delays or a number of restarts without a bound.
func TestRestartPacing(t *testing.T) {
	b := Backoff{Base: time.Second, Limit: 10 * time.Second}
	for _, tc := range []struct {
		n      int
		random float64
		want   time.Duration
	}{{1, 0, 500 * time.Millisecond}, {1, 0.5, 750 * time.Millisecond}, {3, 0, 2 * time.Second}, {100, 0.5, 7500 * time.Millisecond}} {
		assert.Equal(t, b.Delay(tc.n, tc.random), tc.want)
	}
	budget := Budget{PerSuccess: 0.1, Reserve: 2}
	for _, want := range []bool{true, true, false} {
		assert.Equal(t, budget.Take(), want)
	}
	for range 11 {
		budget.Succeeded()
	}
	assert.Assert(t, budget.Take())
	assert.Assert(t, !budget.Take())
}
