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
	// minSampleWeight is the weight of a sample in the long-term average once
	// there are many. Single run times vary by half, so few samples give a poor
	// estimate.
	minSampleWeight = 0.06
	// recentSampleWeight is the weight of a sample in the short-term average,
	// which detects a worker that becomes slow.
	recentSampleWeight = 0.4
	// slowdownThreshold is the excess of the short-term over the long-term
	// average, both logarithmic, from which the short-term one is used. It is a
	// factor of 2.2, which samples of a sound worker rarely reach.
	slowdownThreshold = 0.8
	// minQueueSamples is the number of run times of a queue from which those on cold workers
	// are compared with them.
	minQueueSamples = 5
	// defaultTaskEstimate replaces an estimate that a job does not state.
	defaultTaskEstimate = time.Second
)

// workerStats estimates from ended tasks how long tasks take, by queue and by
// worker, and which workers are faulty.
type workerStats struct {
	mu sync.Mutex
	// queueRatio is the ratio of real to estimated run times by queue.
	// workerFactor is the same by worker, relative to the ratio of the queue.
	queueRatio   map[string]*average
	workerFactor map[string]*average
	// coldFactor is the ratio of run times on cold workers to those on the same workers when
	// they are warm, over all workers.
	coldFactor average
	faults     *faultDetector
}

// average holds a long-term and a short-term moving average of the logarithms of
// ratios.
type average struct {
	samples   int
	longTerm  float64
	shortTerm float64
	// current is the average ratio. It is computed with each sample because each plan reads it
	// for all workers.
	current float64
}

func (a *average) add(ratio float64) {
	v := math.Log(ratio)
	a.samples++
	a.longTerm += (v - a.longTerm) * max(1/float64(a.samples), minSampleWeight)
	a.shortTerm += (v - a.shortTerm) * max(1/float64(a.samples), recentSampleWeight)
	if a.shortTerm > a.longTerm+slowdownThreshold {
		a.current = math.Exp(a.shortTerm)
		return
	}
	a.current = math.Exp(a.longTerm)
}

// ratio returns the average ratio, 1 if there are no samples.
func (a *average) ratio() float64 {
	if a == nil || a.samples == 0 {
		return 1
	}
	return a.current
}

func newWorkerStats() *workerStats {
	return &workerStats{queueRatio: map[string]*average{}, workerFactor: map[string]*average{}, faults: newFaultDetector()}
}

// runsIndependently reports whether a task makes progress without others and comes
// to an end. Members of a gang make none until all of them run, and daemon tasks
// never end.
func (t *term) runsIndependently(k cell.TaskKey) bool {
	runsIndependently := false
	t.leader.Store.View(func(v *cell.View) {
		if j := v.Job(k.Job); j != nil && j.State == cell.Active {
			runsIndependently = !j.Steps[k.Step].Gang && !j.Steps[k.Step].Daemon
		}
	})
	return runsIndependently
}

// queueName returns the present name of a job's queue; statistics are kept under it. If the
// queue is not configured, it is the name under which the job was accepted.
func queueName(v *cell.View, j *cell.Job) string {
	if q := v.QueueOf(j); q != nil {
		return q.Name
	}
	return j.Queue
}

// recordDone records a task that was done. took is its run time, 0 if it is not
// known, and tookCold the same if the worker was cold.
func (t *term) recordDone(worker string, k cell.TaskKey, took, tookCold time.Duration) {
	var estimate time.Duration
	var queue string
	t.leader.Store.View(func(v *cell.View) {
		j := v.Job(k.Job)
		if j == nil {
			return
		}
		queue = queueName(v, j)
		if j.State == cell.Active && !j.Steps[k.Step].Gang && j.Steps[k.Step].DataRack == "" {
			estimate = time.Duration(j.Steps[k.Step].EstimateMS) * time.Millisecond
		}
	})
	t.stats.done(worker, queue, estimate, took)
	if tookCold > 0 {
		t.stats.doneCold(worker, queue, estimate, tookCold)
	}
}

// recordFailure records a task that failed.
func (t *term) recordFailure(worker string, k cell.TaskKey, now time.Duration) {
	queue := ""
	t.leader.Store.View(func(v *cell.View) {
		if j := v.Job(k.Job); j != nil {
			queue = queueName(v, j)
		}
	})
	t.stats.failed(worker, queue, k.Job, now)
}

// done records a task that was done. The run time is recorded only if took and
// estimate are positive.
func (s *workerStats) done(worker, queue string, estimate, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.done(worker, queue)
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(estimate)
	ratioOfQueue, factor := s.queueRatio[queue], s.workerFactor[worker]
	if ratioOfQueue == nil {
		ratioOfQueue = &average{}
		s.queueRatio[queue] = ratioOfQueue
	}
	if factor == nil {
		factor = &average{}
		s.workerFactor[worker] = factor
	}
	ratioOfQueue.add(ratio)
	factor.add(ratio / math.Exp(ratioOfQueue.longTerm))
}

// doneCold records the run time of a task that ran on a cold worker from its start to its end.
func (s *workerStats) doneCold(worker, queue string, estimate, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ratioOfQueue := s.queueRatio[queue]
	if estimate <= 0 || took <= 0 || ratioOfQueue == nil || ratioOfQueue.samples < minQueueSamples {
		return
	}
	s.coldFactor.add(float64(took) / float64(estimate) / math.Exp(ratioOfQueue.longTerm) / s.workerFactor[worker].ratio())
}

// coldRatio returns the ratio of run times on cold workers to those on warm ones, at least 1,
// and 1 if there are no samples.
func (s *workerStats) coldRatio() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, s.coldFactor.ratio())
}

// failed records a task that failed.
func (s *workerStats) failed(worker, queue, job string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.failed(worker, queue, job, now)
}

// recordStall puts a worker on probation because an attempt on it makes no
// progress.
func (s *workerStats) recordStall(worker string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.recordStall(worker, now)
}

// forget drops the data of jobs that have ended.
func (s *workerStats) forget(ended func(job string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.forget(ended)
}

// addFailures adds to ready steps the workers on which tasks of their jobs have failed.
func (s *workerStats) addFailures(readySteps []*readyStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rs := range readySteps {
		rs.failedOn = maps.Clone(s.faults.failedOn[rs.key.Job])
	}
}

// assess fills in the estimates for the candidates and removes those on probation.
func (s *workerStats) assess(candidates []*candidate, now time.Duration) []*candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, c.id)
	}
	onProbation := s.faults.onProbation(ids, now)
	return slices.DeleteFunc(candidates, func(c *candidate) bool {
		c.runTimeFactor, c.faultProbability = s.workerFactor[c.id].ratio(), s.faults.faultProbability(c.id)
		return onProbation[c.id]
	})
}

// factorOf returns the run time factor of a worker, 1 if there are no samples.
func (s *workerStats) factorOf(worker string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workerFactor[worker].ratio()
}

// queueRatios are ratios of real to estimated run times by queue.
type queueRatios map[string]float64

// of returns the ratio of a queue, 1 if there are no samples.
func (r queueRatios) of(queue string) float64 {
	if ratio, known := r[queue]; known {
		return ratio
	}
	return 1
}

// queueRatios returns the ratios of all queues that have samples.
func (s *workerStats) queueRatios() queueRatios {
	s.mu.Lock()
	defer s.mu.Unlock()
	ratios := make(queueRatios, len(s.queueRatio))
	for queue, a := range s.queueRatio {
		ratios[queue] = a.ratio()
	}
	return ratios
}

// queueRatioOf returns the ratio of real to estimated run times of a queue, 1 if there are
// no samples.
func (s *workerStats) queueRatioOf(queue string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queueRatio[queue].ratio()
}

// expectedDuration returns the expected run time of a task of a queue with the given ratio
// on a worker with factor 1. An estimate of 0 is replaced by defaultTaskEstimate.
func expectedDuration(estimateMS int64, ratio float64) time.Duration {
	estimate := time.Duration(estimateMS) * time.Millisecond
	if estimate <= 0 {
		estimate = defaultTaskEstimate
	}
	return time.Duration(float64(estimate) * ratio)
}
