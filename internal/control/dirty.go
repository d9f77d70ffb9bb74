package control

import "sync"

// dirtySet collects the ids of workers and jobs that have changed since they were
// last mirrored into the scheduler. A new set
// marks all of them as changed.
type dirtySet struct {
	mu      sync.Mutex
	all     bool
	workers map[string]struct{}
	jobs    map[string]struct{}
}

func newDirtySet() *dirtySet {
	return &dirtySet{all: true, workers: map[string]struct{}{}, jobs: map[string]struct{}{}}
}

// addAll marks all workers and jobs as changed.
func (d *dirtySet) addAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = true
}

func (d *dirtySet) addWorker(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers[id] = struct{}{}
}

func (d *dirtySet) addJob(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobs[id] = struct{}{}
}

// take returns the contents of the set and empties it.
func (d *dirtySet) take() (all bool, workers, jobs map[string]struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all, workers, jobs = d.all, d.workers, d.jobs
	d.all = false
	d.workers = map[string]struct{}{}
	d.jobs = map[string]struct{}{}
	return all, workers, jobs
}
