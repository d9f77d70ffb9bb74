package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// greyFailures is the share of its tasks that a faulty worker is taken to fail.
	greyFailures = 0.7
	// sureFailures is the chance that a task of a job fails that has failed on
	// another worker: the job itself may be at fault.
	sureFailures = 0.5
	// suspect is the evidence from which a worker counts as faulty, in natural
	// logarithms of odds: one worker in a hundred is before any evidence.
	suspect = 4.6
	// priorTasks and priorFailures stand in for the tasks of a queue that has few:
	// one task in fifty fails on sound workers.
	priorTasks, priorFailures = 50, 1
	// leastFailures and mostFailures bound the learned share of failures, so that
	// neither a lucky start nor a queue of bad jobs decides alone.
	leastFailures, mostFailures = 0.005, 0.6
	// probation is how long a worker that counts as faulty gets no work at first;
	// it doubles with each further time up to maxProbation.
	probation    = 2 * time.Second
	maxProbation = 8 * time.Second
	// maxSuspects is the part of the workers, one in so many, that may be on
	// probation at a time: when more fail, it is not the workers' fault alone.
	maxSuspects = 4
)

// suspicion weighs, for each worker, the evidence that it fails what sound
// workers do: the logarithm of how much likelier the ends seen are on a faulty
// worker than on a sound one. Its owner holds a lock.
type suspicion struct {
	queues  map[string]*failureRate
	workers map[string]*evidence
	// failedOn holds the workers on which tasks of a job have failed.
	failedOn map[string]map[string]bool
}

// failureRate counts the ends of a queue's tasks.
type failureRate struct{ tasks, failures float64 }

func (r *failureRate) share() float64 {
	return min(mostFailures, max(leastFailures, (r.failures+priorFailures)/(r.tasks+priorTasks)))
}

type evidence struct {
	score float64
	// jobs are those whose failures are counted since the last success: a job
	// that can never be done says nothing more by failing again.
	jobs map[string]bool
	// strikes counts the probations since the worker was last above doubt.
	strikes int
	until   time.Duration
}

func newSuspicion() *suspicion {
	return &suspicion{queues: map[string]*failureRate{}, workers: map[string]*evidence{}, failedOn: map[string]map[string]bool{}}
}

func (s *suspicion) rate(queue string) *failureRate {
	r := s.queues[queue]
	if r == nil {
		r = &failureRate{}
		s.queues[queue] = r
	}
	return r
}

func (s *suspicion) of(worker string) *evidence {
	e := s.workers[worker]
	if e == nil {
		e = &evidence{jobs: map[string]bool{}}
		s.workers[worker] = e
	}
	return e
}

// done takes in a task that a worker has done.
func (s *suspicion) done(worker, queue string) {
	r, e := s.rate(queue), s.of(worker)
	r.tasks++
	e.score = max(0, e.score+math.Log((1-greyFailures)/(1-r.share())))
	clear(e.jobs)
	if e.score == 0 {
		e.strikes = 0
	}
}

// failed takes in a task that has failed on a worker.
func (s *suspicion) failed(worker, queue, job string, now time.Duration) {
	r, e := s.rate(queue), s.of(worker)
	share := r.share()
	if len(s.failedOn[job]) > 0 && !s.failedOn[job][worker] {
		share = max(share, sureFailures)
	}
	r.tasks++
	r.failures++
	if s.failedOn[job] == nil {
		s.failedOn[job] = map[string]bool{}
	}
	s.failedOn[job][worker] = true
	if e.jobs[job] {
		return
	}
	e.jobs[job] = true
	e.score += max(0, math.Log(greyFailures/share))
	if e.score >= suspect {
		e.until = now + min(maxProbation, probation<<min(e.strikes, 8))
		e.strikes++
	}
}

// hung puts a worker on probation on which an attempt stands still.
func (s *suspicion) hung(worker string, now time.Duration) {
	e := s.of(worker)
	e.until = max(e.until, now+maxProbation/2)
}

// doubt returns the chance that a worker is faulty.
func (s *suspicion) doubt(worker string) float64 {
	e := s.workers[worker]
	if e == nil {
		return 0
	}
	return 1 / (1 + math.Exp(suspect-e.score))
}

// out returns those of the workers that are on probation, the most suspect ones
// if they are too many.
func (s *suspicion) out(workers []string, now time.Duration) map[string]bool {
	var list []string
	for _, w := range workers {
		if e := s.workers[w]; e != nil && now < e.until {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b string) int {
		switch x, y := s.workers[a], s.workers[b]; {
		case x.score > y.score:
			return -1
		case x.score < y.score:
			return 1
		}
		return 0
	})
	out := map[string]bool{}
	for _, w := range list[:min(len(list), max(1, len(workers)/maxSuspects))] {
		out[w] = true
	}
	return out
}

// forget drops what is known of jobs that have ended.
func (s *suspicion) forget(ended func(job string) bool) {
	for job := range s.failedOn {
		if ended(job) {
			delete(s.failedOn, job)
		}
	}
}
