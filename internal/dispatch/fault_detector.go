package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// faultyFailureRate is the assumed share of tasks that fail on a faulty
	// worker.
	faultyFailureRate = 0.7
	// repeatedFailureRate is the assumed probability that a task fails whose job
	// has failed on another worker: the job itself may be the cause.
	repeatedFailureRate = 0.5
	// faultThreshold is the log likelihood ratio from which a worker counts as
	// faulty. Before any evidence one worker in a hundred is faulty, so that the
	// odds are even at this value: ln 99 is 4.6.
	faultThreshold = 4.6
	// priorTaskCount and priorFailureCount are added to the counts of a queue, so
	// that a queue with few tasks starts from one failure in fifty tasks on sound
	// workers.
	priorTaskCount, priorFailureCount = 50, 1
	// minFailureRate and maxFailureRate bound the estimated failure rate of a
	// queue, so that neither a first few successes nor a queue of failing jobs
	// dominates.
	minFailureRate, maxFailureRate = 0.005, 0.6
	// minProbation is how long a worker that counts as faulty gets no work the
	// first time. The time doubles with each further probation up to maxProbation.
	minProbation = 2 * time.Second
	maxProbation = 8 * time.Second
	// maxProbationDivisor limits the workers that may be on probation at a time to
	// one in maxProbationDivisor: when more of them fail, the workers are not the
	// only cause.
	maxProbationDivisor = 4
)

// faultDetector accumulates, for each worker, the evidence that it is faulty: the
// natural logarithm of the ratio between the likelihoods of the observed ends on a
// faulty and on a sound worker. It is not safe for concurrent use.
type faultDetector struct {
	queues  map[string]*failureRate
	workers map[string]*evidence
	// failedOn holds the workers on which tasks of a job have failed, by job.
	failedOn map[string]map[string]bool
}

// failureRate counts the ended tasks of a queue and those of them that failed.
type failureRate struct{ tasks, failures float64 }

// estimate returns the estimated share of tasks that fail on sound workers.
func (r *failureRate) estimate() float64 {
	return min(maxFailureRate, max(minFailureRate, (r.failures+priorFailureCount)/(r.tasks+priorTaskCount)))
}

// evidence is what is recorded of one worker.
type evidence struct {
	logLikelihoodRatio float64
	// jobs holds the jobs whose failures are counted since the last success. A
	// repeated failure of a job is no further evidence, since the job may never
	// succeed.
	jobs map[string]bool
	// probations counts the probations since logLikelihoodRatio was last 0;
	// probationUntil is the end of the last one.
	probations     int
	probationUntil time.Duration
}

func newFaultDetector() *faultDetector {
	return &faultDetector{queues: map[string]*failureRate{}, workers: map[string]*evidence{}, failedOn: map[string]map[string]bool{}}
}

func (d *faultDetector) rate(queue string) *failureRate {
	r := d.queues[queue]
	if r == nil {
		r = &failureRate{}
		d.queues[queue] = r
	}
	return r
}

func (d *faultDetector) evidenceOf(worker string) *evidence {
	e := d.workers[worker]
	if e == nil {
		e = &evidence{jobs: map[string]bool{}}
		d.workers[worker] = e
	}
	return e
}

// done records a task that succeeded on a worker.
func (d *faultDetector) done(worker, queue string) {
	r, e := d.rate(queue), d.evidenceOf(worker)
	r.tasks++
	e.logLikelihoodRatio = max(0, e.logLikelihoodRatio+math.Log((1-faultyFailureRate)/(1-r.estimate())))
	clear(e.jobs)
	if e.logLikelihoodRatio == 0 {
		e.probations = 0
	}
}

// failed records a task that failed on a worker.
func (d *faultDetector) failed(worker, queue, job string, now time.Duration) {
	r, e := d.rate(queue), d.evidenceOf(worker)
	rate := r.estimate()
	if len(d.failedOn[job]) > 0 && !d.failedOn[job][worker] {
		rate = max(rate, repeatedFailureRate)
	}
	r.tasks++
	r.failures++
	if d.failedOn[job] == nil {
		d.failedOn[job] = map[string]bool{}
	}
	d.failedOn[job][worker] = true
	if e.jobs[job] {
		return
	}
	e.jobs[job] = true
	e.logLikelihoodRatio += max(0, math.Log(faultyFailureRate/rate))
	if e.logLikelihoodRatio >= faultThreshold {
		// The shift is bounded so that it cannot overflow.
		e.probationUntil = now + min(maxProbation, minProbation<<min(e.probations, 8))
		e.probations++
	}
}

// recordStall puts a worker on probation because an attempt on it makes no
// progress.
func (d *faultDetector) recordStall(worker string, now time.Duration) {
	e := d.evidenceOf(worker)
	e.probationUntil = max(e.probationUntil, now+maxProbation/2)
}

// faultProbability returns the probability that a worker is faulty.
func (d *faultDetector) faultProbability(worker string) float64 {
	e := d.workers[worker]
	if e == nil {
		return 0
	}
	return 1 / (1 + math.Exp(faultThreshold-e.logLikelihoodRatio))
}

// onProbation returns those of the workers that are on probation. If they exceed
// the limit, it returns the ones with the most evidence.
func (d *faultDetector) onProbation(workers []string, now time.Duration) map[string]bool {
	var list []string
	for _, w := range workers {
		if e := d.workers[w]; e != nil && now < e.probationUntil {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b string) int {
		switch x, y := d.workers[a], d.workers[b]; {
		case x.logLikelihoodRatio > y.logLikelihoodRatio:
			return -1
		case x.logLikelihoodRatio < y.logLikelihoodRatio:
			return 1
		}
		return 0
	})
	result := map[string]bool{}
	for _, w := range list[:min(len(list), max(1, len(workers)/maxProbationDivisor))] {
		result[w] = true
	}
	return result
}

// forget drops the data of jobs that have ended.
func (d *faultDetector) forget(ended func(job string) bool) {
	for job := range d.failedOn {
		if ended(job) {
			delete(d.failedOn, job)
		}
	}
}
