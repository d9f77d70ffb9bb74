package control

import "sync"

// dirty collects the ids of workers and jobs that changed since they were last
// mirrored into the scheduler.
type dirty struct {
	mu      sync.Mutex
	all     bool
	workers map[string]struct{}
	jobs    map[string]struct{}
}

func newDirty() *dirty {
	return &dirty{all: true, workers: map[string]struct{}{}, jobs: map[string]struct{}{}}
}

func (d *dirty) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = true
}

func (d *dirty) worker(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers[id] = struct{}{}
}

func (d *dirty) job(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobs[id] = struct{}{}
}

// take returns what has changed and forgets it.
func (d *dirty) take() (all bool, workers, jobs map[string]struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all, workers, jobs = d.all, d.workers, d.jobs
	d.all = false
	d.workers = map[string]struct{}{}
	d.jobs = map[string]struct{}{}
	return all, workers, jobs
}
