package cell

import "laburnumgrade/internal/structs"

// Worker is the newest incarnation of a target that runs tasks.
type Worker struct {
	ID string
	// Born is the Unix time in milliseconds at which the incarnation started; a later
	// incarnation under the same id has a larger value.
	Born       int64
	Address    string
	DataCentre string
	Service    string
	Capacity   structs.Resources
	Labels     []string
	Rack       string
	Draining   bool
	// Lives is the number of earlier incarnations under the ID. Orders name only the ID, so
	// their fence rises with it.
	Lives uint64 `cbor:",omitempty"`
	// Reborn is set on an incarnation that follows another one under the ID, until no order for
	// an earlier one can have an effect on it any more.
	Reborn bool `cbor:",omitempty"`
	// UnansweredStarts counts the tries of start orders for any incarnation under the ID that had
	// no answer. The first SettledStarts of them are not carried out any more.
	UnansweredStarts uint64 `cbor:",omitempty"`
	SettledStarts    uint64 `cbor:",omitempty"`
	// Departing is set once the worker has announced that it is shutting down. It gets no
	// further lease, and its attempts stay committed until they have certainly ended.
	Departing bool `cbor:",omitempty"`
	// Gone is set once the worker has announced that it is shutting down and nothing runs
	// there, or a later incarnation has replaced it at its address.
	Gone bool
	// LastEnd is the number of the newest attempt end of the worker that the state has
	// recorded.
	LastEnd uint64 `cbor:"Noted"`
	// Attempts are the attempts that may be in flight on the worker.
	Attempts map[TaskKey]Attempt
	// Lost are the attempts that ended because the worker could not be reached. They are
	// kept until a successor shows that it has crashed, or an answer that it has not.
	Lost map[TaskKey]LostAttempt `cbor:",omitempty"`
	// LastReport is the number of the newest report that changed the record.
	LastReport uint64 `cbor:",omitempty"`
	// TakenDown is set once the scheduler is about to end the incarnation.
	TakenDown bool `cbor:",omitempty"`

	// committed is the sum of the claims of Attempts, and suspects the number of those
	// whose tasks are suspects.
	committed structs.Resources
	suspects  int
	// changes counts the changes of Attempts.
	changes uint64
}

// AttemptChanges returns a number that changes with Attempts as long as the record is the
// same.
func (w *Worker) AttemptChanges() uint64 { return w.changes }

// Attempt is one attempt to execute a task on one incarnation of a worker.
type Attempt struct {
	// Run is the number of the attempt.
	Run  uint32
	Team string
	Size structs.Resources
	// Filler attempts do not count against the CPU capacity of the worker.
	Filler bool
	// Crashes is the number of possible crashes under the task before the attempt.
	Crashes uint8 `cbor:",omitempty"`
	// Started is set if it was committed that the attempt has started, until it has settled.
	Started bool `cbor:",omitempty"`
	// Inherited is set if the start order was for an earlier incarnation, or is answered by a
	// later one: the attempt may run on this or on a later one, or not at all.
	Inherited bool `cbor:",omitempty"`
	// Unanswered is set if a try of the start order had no answer, until it has settled.
	Unanswered bool `cbor:",omitempty"`
	// CrashCounted is set if the crash of the incarnation that the start order was for is counted.
	CrashCounted bool `cbor:",omitempty"`
}

// Suspect reports whether the task of the attempt was a suspect when it was committed.
func (a *Attempt) Suspect() bool { return a.Crashes >= suspectCrashes }

// HasUnansweredStarts reports whether start orders without an answer may still be carried out
// under the worker's ID.
func (w *Worker) HasUnansweredStarts() bool { return w.UnansweredStarts > w.SettledStarts }

// HasSuspects reports whether attempts of suspects are committed to the worker.
func (w *Worker) HasSuspects() bool { return w.suspects > 0 }

// addCommitted adds an attempt to the sums of the worker.
func (w *Worker) addCommitted(a *Attempt) {
	w.committed = w.committed.Add(a.Claim())
	w.changes++
	if a.Suspect() {
		w.suspects++
	}
}

// removeCommitted removes an attempt from the sums of the worker.
func (w *Worker) removeCommitted(a *Attempt) {
	w.committed = w.committed.Sub(a.Claim())
	w.changes++
	if a.Suspect() {
		w.suspects--
	}
}

// Claim returns the part of a worker's capacity that the attempt occupies.
func (a *Attempt) Claim() structs.Resources { return claim(a.Size, a.Filler) }

// Claim returns the part of a worker's capacity that a task of the step occupies.
func (s *Step) Claim() structs.Resources { return claim(s.Size, s.Filler) }

// claim omits the CPU of a filler task, which uses only the CPU that other tasks
// leave idle.
func claim(size structs.Resources, filler bool) structs.Resources {
	if filler {
		size.MilliCPU = 0
	}
	return size
}

// CountTasks returns how many attempts of the given occurrence of a step are
// committed to the worker.
func (w *Worker) CountTasks(step StepKey) int {
	n := 0
	for k := range w.Attempts {
		if k.StepKey == step {
			n++
		}
	}
	return n
}

// Free returns the capacity that is not committed to attempts. It is negative if the
// worker lowered its capacity below what is committed.
func (w *Worker) Free() structs.Resources { return w.Capacity.Sub(w.committed) }

// Overcommitted reports whether the worker lowered its capacity below what is committed.
func (w *Worker) Overcommitted() bool { return !structs.Resources{}.Fits(w.Free()) }

// IsLate reports whether a report is older than one that has changed the record of the
// same incarnation. Reports without a number, which earlier releases commit, are not.
func (w *Worker) IsLate(r *Register) bool {
	return r.Born == w.Born && r.Number > 0 && r.Number < w.LastReport && !r.Deregistered
}

// Usable reports whether new attempts may be committed to the worker.
func (w *Worker) Usable() bool { return !w.Draining && !w.Gone }

// HasLabel reports whether the worker has the label. It is true for an empty label.
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
