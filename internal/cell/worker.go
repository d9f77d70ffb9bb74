package cell

import "laburnumgrade/internal/structs"

// Worker is one life of a target that runs tasks.
type Worker struct {
	ID string
	// Born is the Unix time of the life's start in milliseconds; a later life
	// under the same id has a larger one.
	Born       int64
	Address    string
	DataCentre string
	Service    string
	Capacity   structs.Resources
	Labels     []string
	Rack       string
	Draining   bool
	// Gone is set once the worker has left or its life has ended.
	Gone bool
	// LastEnd is the number of the newest end that the state has taken in.
	LastEnd uint64 `cbor:"Noted"`
	// Attempts are those that may be in progress here.
	Attempts map[TaskKey]Attempt

	used structs.Resources
}

// Attempt is one run of a task on one life of a worker.
type Attempt struct {
	Run  uint32
	Team string
	Size structs.Resources
	// Filler attempts do not count against capacity in processors.
	Filler bool
}

// claim is what the attempt takes of a worker's capacity.
func (a *Attempt) claim() structs.Resources { return claim(a.Size, a.Filler) }

// Claim is what a task of the step takes of a worker's capacity.
func (s *Step) Claim() structs.Resources { return claim(s.Size, s.Filler) }

// claim leaves the processors of a filler out: it takes what others leave unused.
func claim(size structs.Resources, filler bool) structs.Resources {
	if filler {
		size.MilliCPU = 0
	}
	return size
}

// CountTasks returns how many tasks of an occurrence of a step the worker holds.
func (w *Worker) CountTasks(step StepKey) int {
	n := 0
	for k := range w.Attempts {
		if k.StepKey == step {
			n++
		}
	}
	return n
}

// Free returns the capacity that no attempt holds.
func (w *Worker) Free() structs.Resources { return w.Capacity.Sub(w.used) }

// Usable reports whether the worker may get new attempts.
func (w *Worker) Usable() bool { return !w.Draining && !w.Gone }

// HasLabel reports whether the worker has a label; an empty label is had by all.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
