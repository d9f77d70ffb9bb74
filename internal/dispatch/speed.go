package dispatch

import (
	"math"
	"sync"
	"time"

	"laburnumgrade/internal/cell"
)

const (
	// leastWeight is the weight of a sample in the long averages once there are
	// many: single run times are off by half, so few samples tell little.
	leastWeight = 0.06
	// recentWeight is the weight of a sample in the average that notices a worker
	// that turns slow.
	recentWeight = 0.4
	// slowdown is the difference of the logarithms from which the recent average
	// counts: a factor of 2.2, which samples of a sound worker rarely reach.
	slowdown = 0.8
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
	bias   map[string]*average
	factor map[string]*average
	fails  map[string]map[string]bool
	until  map[string]time.Duration
}

// average is a moving average of the logarithms of ratios.
type average struct {
	samples int
	long    float64
	recent  float64
}

func (a *average) add(ratio float64) {
	v := math.Log(ratio)
	a.samples++
	a.long += (v - a.long) * max(1/float64(a.samples), leastWeight)
	a.recent += (v - a.recent) * max(1/float64(a.samples), recentWeight)
}

// ratio returns the average, 1 if there are no samples.
func (a *average) ratio() float64 {
	if a == nil {
		return 1
	}
	if a.recent > a.long+slowdown {
		return math.Exp(a.recent)
	}
	return math.Exp(a.long)
}

func newSpeedBook() *speedBook {
	return &speedBook{
		bias: map[string]*average{}, factor: map[string]*average{},
		fails: map[string]map[string]bool{}, until: map[string]time.Duration{},
	}
}

// single reports whether a task works by itself and comes to an end: members of a
// gang stand still until all are present.
func (t *term) single(k cell.TaskKey) bool {
	single := false
	t.l.Store.View(func(v *cell.View) {
		if j := v.Job(k.Job); j != nil && j.State == cell.Active {
			single = !j.Steps[k.Step].Gang && !j.Steps[k.Step].Lasting
		}
	})
	return single
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
	bias, factor := b.bias[queue], b.factor[worker]
	if bias == nil {
		bias = &average{}
		b.bias[queue] = bias
	}
	if factor == nil {
		factor = &average{}
		b.factor[worker] = factor
	}
	bias.add(ratio)
	factor.add(ratio / math.Exp(bias.long))
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

// hung puts a worker on probation on which an attempt stands still.
func (b *speedBook) hung(worker string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until[worker] = now + probation
}

// factors returns the factors of all workers and the workers on probation.
func (b *speedBook) factors(now time.Duration) (factor map[string]float64, out map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	factor, out = make(map[string]float64, len(b.factor)), map[string]bool{}
	for w, f := range b.factor {
		factor[w] = f.ratio()
	}
	for w, until := range b.until {
		if now < until {
			out[w] = true
		}
	}
	return factor, out
}

// factorOf returns the factor of a worker, 1 if nothing is known.
func (b *speedBook) factorOf(worker string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.factor[worker].ratio()
}

// expected returns how long a task of a queue takes on a worker of factor 1.
func (b *speedBook) expected(queue string, estimateMS int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	estimate := time.Duration(estimateMS) * time.Millisecond
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	return time.Duration(float64(estimate) * b.bias[queue].ratio())
}
