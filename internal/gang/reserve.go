package gang

import (
	"slices"
	"time"

	"laburnumgrade/internal/structs"
)

// PredictedRelease is an amount of resources that a worker is predicted to free
// at a time.
type PredictedRelease struct {
	At   time.Duration
	Size structs.Resources
}

// Timeline describes what a worker has free now and what it is predicted to
// free later.
type Timeline struct {
	// Worker identifies the worker to the caller.
	Worker int
	// Free is negative if more is committed than the worker's capacity.
	Free     structs.Resources
	Releases []PredictedRelease
}

// ReservedWorker is one worker of a reservation.
type ReservedWorker struct {
	// Worker is that of the worker's Timeline.
	Worker int
	// Tasks is the number of tasks that the worker is to run.
	Tasks int
	// Spare is what the worker is predicted to have free beyond its tasks at the
	// start of the reservation.
	Spare structs.Resources
}

// Reservation is a set of workers and the time at which they are predicted to
// have room for all tasks.
type Reservation struct {
	Start   time.Duration
	Workers []ReservedWorker
}

// fit is a time from which a worker has room for a number of further tasks.
type fit struct {
	at       time.Duration
	timeline int // index
	tasks    int
}

// EarliestReservation returns the earliest predicted time at which the given
// workers have room for the given number of tasks of a size, and the workers to
// reserve. It returns false if they never do. It sorts the releases of the
// timelines by time.
func EarliestReservation(timelines []Timeline, size structs.Resources, tasks int, now time.Duration) (Reservation, bool) {
	var fits []fit
	for i := range timelines {
		fits = appendFits(fits, &timelines[i], i, size, tasks, now)
	}
	slices.SortStableFunc(fits, func(a, b fit) int {
		switch {
		case a.at != b.at:
			return compareTimes(a.at, b.at)
		case a.tasks != b.tasks:
			return b.tasks - a.tasks
		}
		return a.timeline - b.timeline
	})
	r := Reservation{Start: now}
	positions := map[int]int{} // from the index of a timeline to one in r.Workers
	for _, f := range fits {
		if tasks <= 0 {
			break
		}
		at, known := positions[f.timeline]
		if !known {
			at = len(r.Workers)
			positions[f.timeline] = at
			r.Workers = append(r.Workers, ReservedWorker{Worker: f.timeline})
		}
		n := min(f.tasks, tasks)
		r.Workers[at].Tasks += n
		tasks -= n
		r.Start = f.at
	}
	for i := range r.Workers {
		r.Workers[i].finish(&timelines[r.Workers[i].Worker], size, r.Start)
	}
	return r, tasks <= 0
}

// finish replaces the index of the timeline by its worker and sets Spare.
func (w *ReservedWorker) finish(t *Timeline, size structs.Resources, start time.Duration) {
	w.Worker = t.Worker
	w.Spare = t.Free.Sub(size.Scale(int64(w.Tasks)))
	for _, release := range t.Releases {
		if release.At <= start {
			w.Spare = w.Spare.Add(release.Size)
		}
	}
}

// appendFits appends the times at which a worker gets room for further tasks,
// up to the given number of tasks.
func appendFits(fits []fit, t *Timeline, timeline int, size structs.Resources, tasks int, now time.Duration) []fit {
	slices.SortFunc(t.Releases, func(a, b PredictedRelease) int { return compareTimes(a.At, b.At) })
	free := t.Free
	fitting := min(tasksThatFit(free, size), tasks)
	if fitting > 0 {
		fits = append(fits, fit{now, timeline, fitting})
	}
	for _, release := range t.Releases {
		if fitting == tasks {
			break
		}
		free = free.Add(release.Size)
		if n := min(tasksThatFit(free, size), tasks); n > fitting {
			fits = append(fits, fit{max(release.At, now), timeline, n - fitting})
			fitting = n
		}
	}
	return fits
}

func compareTimes(a, b time.Duration) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// tasksThatFit returns how many tasks of a size fit into free.
func tasksThatFit(free, size structs.Resources) int {
	n := int64(1 << 30)
	for _, d := range [][2]int64{
		{free.MilliCPU, size.MilliCPU}, {free.MemoryBytes, size.MemoryBytes}, {free.Accelerators, size.Accelerators},
	} {
		switch {
		case d[0] < 0:
			return 0
		case d[1] > 0:
			n = min(n, d[0]/d[1])
		}
	}
	return int(n)
}
