package dispatch

import (
	"sync"
	"time"

	"laburnumgrade/internal/cell"
)

const (
	// speedWeight is the weight of a new sample in the moving averages.
	speedWeight = 0.2
	// defaultEstimate stands in for an estimate that a job does not state.
	defaultEstimate = time.Second
	// suspectJobs is how many different jobs must fail in a row on a worker
	// before it is put on probation.
	suspectJobs = 3
	// probation is how long a worker that failed different jobs gets no work.
	probation = 4 * time.Second
)

// speedBook learns how long work really takes, by queue and by worker, and which
// workers fail whatever they are given.
type speedBook struct {
	mu sync.Mutex
	// bias is real over estimated time by queue, factor the same by worker
	// relative to the bias of the queue.
	bias   map[string]float64
	factor map[string]float64
	fails  map[string]map[string]bool
	until  map[string]time.Duration
}

func newSpeedBook() *speedBook {
	return &speedBook{
		bias: map[string]float64{}, factor: map[string]float64{},
		fails: map[string]map[string]bool{}, until: map[string]time.Duration{},
	}
}

// learn takes in how long a task took.
func (t *term) learn(worker string, k cell.TaskKey, took, now time.Duration) {
	var estimate time.Duration
	var queue string
	t.l.Store.View(func(v *cell.View) {
		j := v.Job(k.Job)
		if j == nil || j.State != cell.Active || j.Steps[k.Step].Gang || j.Steps[k.Step].DataRack != "" {
			return
		}
		queue, estimate = j.Queue, time.Duration(j.Steps[k.Step].EstimateMS)*time.Millisecond
	})
	t.speeds.done(worker, queue, estimate, took)
}

func (b *speedBook) done(worker, queue string, estimate, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.fails, worker)
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(estimate)
	bias := valueOr(b.bias, queue, ratio)
	b.bias[queue] = bias + (ratio-bias)*speedWeight/4
	f := valueOr(b.factor, worker, 1)
	b.factor[worker] = f + (ratio/bias-f)*speedWeight
}

func valueOr(m map[string]float64, key string, otherwise float64) float64 {
	if v, ok := m[key]; ok {
		return v
	}
	return otherwise
}

// failed notes a failure. Failures of different jobs without a success between
// put the worker on probation.
func (b *speedBook) failed(worker, job string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fails[worker] == nil {
		b.fails[worker] = map[string]bool{}
	}
	b.fails[worker][job] = true
	if len(b.fails[worker]) >= suspectJobs {
		b.until[worker] = now + probation
	}
}

// factors returns the factors of all workers and the workers on probation.
func (b *speedBook) factors(now time.Duration) (factor map[string]float64, out map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	factor, out = make(map[string]float64, len(b.factor)), map[string]bool{}
	for w, f := range b.factor {
		factor[w] = f
	}
	for w, until := range b.until {
		if now < until {
			out[w] = true
		}
	}
	return factor, out
}

// expected returns how long a task of a queue takes on a worker of factor 1.
func (b *speedBook) expected(queue string, estimateMS int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	estimate := time.Duration(estimateMS) * time.Millisecond
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	return time.Duration(float64(estimate) * valueOr(b.bias, queue, 1))
}
