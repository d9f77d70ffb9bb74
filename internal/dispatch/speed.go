package dispatch

import (
	"maps"
	"math"
	"slices"
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
)

// speedBook learns how long work really takes, by queue and by worker, and which
// workers fail whatever they are given.
type speedBook struct {
	mu sync.Mutex
	// bias is real over estimated time by queue, factor the same by worker
	// relative to the bias of the queue.
	bias      map[string]*average
	factor    map[string]*average
	suspicion *suspicion
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
	return &speedBook{bias: map[string]*average{}, factor: map[string]*average{}, suspicion: newSuspicion()}
}

// single reports whether a task works by itself and comes to an end: members of a
// gang stand still until all are present.
func (t *term) single(k cell.TaskKey) bool {
	single := false
	t.l.Store.View(func(v *cell.View) {
		if j := v.Job(k.Job); j != nil && j.State == cell.Active {
			single = !j.Steps[k.Step].Gang && !j.Steps[k.Step].Daemon
		}
	})
	return single
}

// learn takes in a task that was done and how long it took, 0 if that is not known.
func (t *term) learn(worker string, k cell.TaskKey, took time.Duration) {
	var estimate time.Duration
	var queue string
	t.l.Store.View(func(v *cell.View) {
		j := v.Job(k.Job)
		if j == nil {
			return
		}
		queue = j.Queue
		if j.State == cell.Active && !j.Steps[k.Step].Gang && j.Steps[k.Step].DataRack == "" {
			estimate = time.Duration(j.Steps[k.Step].EstimateMS) * time.Millisecond
		}
	})
	t.speeds.done(worker, queue, estimate, took)
}

// failed takes in a failure of a task.
func (t *term) failed(worker string, k cell.TaskKey, now time.Duration) {
	queue := ""
	t.l.Store.View(func(v *cell.View) {
		if j := v.Job(k.Job); j != nil {
			queue = j.Queue
		}
	})
	t.speeds.failed(worker, queue, k.Job, now)
}

func (b *speedBook) done(worker, queue string, estimate, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspicion.done(worker, queue)
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

// failed notes a failure.
func (b *speedBook) failed(worker, queue, job string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspicion.failed(worker, queue, job, now)
}

// hung puts a worker on probation on which an attempt stands still.
func (b *speedBook) hung(worker string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspicion.hung(worker, now)
}

// forget drops what is known of jobs that have ended.
func (b *speedBook) forget(ended func(job string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspicion.forget(ended)
}

// failedOn returns the workers on which tasks of a job have failed.
func (b *speedBook) failedOn(job string) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.suspicion.failedOn[job])
}

// describe fills in what is known of the candidates and returns those that may
// get work.
func (b *speedBook) describe(candidates []*candidate, now time.Duration) []*candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := make([]string, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, c.id)
	}
	out := b.suspicion.out(ids, now)
	return slices.DeleteFunc(candidates, func(c *candidate) bool {
		c.factor, c.doubt = b.factor[c.id].ratio(), b.suspicion.doubt(c.id)
		return out[c.id]
	})
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
