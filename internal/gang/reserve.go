package gang

import (
	"slices"
	"time"

	"laburnumgrade/internal/structs"
)

// PredictedRelease is a predicted release of resources on a worker.
type PredictedRelease struct {
	At   time.Duration
	Size structs.Resources
}

// Timeline is what a worker has free now and what it will release.
type Timeline struct {
	// Worker identifies the worker to the caller.
	Worker   int
	Free     structs.Resources
	Releases []PredictedRelease
}

// ReservedWorker is a worker of a reservation.
type ReservedWorker struct {
	Worker int
	Tasks  int
	// Spare is what the worker is predicted to have free at the start beyond its
	// tasks.
	Spare structs.Resources
}

// Reservation is a set of workers and the time at which they are predicted to
// be able to hold all tasks.
type Reservation struct {
	Start   time.Duration
	Workers []ReservedWorker
}

// fit is a time at which a worker can hold further tasks.
type fit struct {
	at    time.Duration
	line  int
	tasks int
}

// EarliestReservation returns the earliest predicted time at which the given workers can
// hold tasks tasks of a size, and the workers to reserve. It returns false if
// they never can.
func EarliestReservation(timelines []Timeline, size structs.Resources, tasks int, now time.Duration) (Reservation, bool) {
	var fits []fit
	for i := range timelines {
		fits = appendFits(fits, &timelines[i], i, size, tasks, now)
	}
	slices.SortStableFunc(fits, func(a, b fit) int {
		switch {
		case a.at != b.at:
			return compare(a.at, b.at)
		case a.tasks != b.tasks:
			return b.tasks - a.tasks
		}
		return a.line - b.line
	})
	r := Reservation{Start: now}
	parts := map[int]int{} // by line: position in r.Parts
	for _, f := range fits {
		if tasks <= 0 {
			break
		}
		at, known := parts[f.line]
		if !known {
			at = len(r.Workers)
			parts[f.line] = at
			r.Workers = append(r.Workers, ReservedWorker{Worker: f.line})
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

// finish sets the worker and what it has to spare.
func (p *ReservedWorker) finish(t *Timeline, size structs.Resources, start time.Duration) {
	p.Worker = t.Worker
	p.Spare = t.Free.Sub(size.Scale(int64(p.Tasks)))
	for _, e := range t.Releases {
		if e.At <= start {
			p.Spare = p.Spare.Add(e.Size)
		}
	}
}

func appendFits(fits []fit, t *Timeline, line int, size structs.Resources, tasks int, now time.Duration) []fit {
	slices.SortFunc(t.Releases, func(a, b PredictedRelease) int { return compare(a.At, b.At) })
	free := t.Free
	held := min(count(free, size), tasks)
	if held > 0 {
		fits = append(fits, fit{now, line, held})
	}
	for _, e := range t.Releases {
		if held == tasks {
			break
		}
		free = free.Add(e.Size)
		if n := min(count(free, size), tasks); n > held {
			fits = append(fits, fit{max(e.At, now), line, n - held})
			held = n
		}
	}
	return fits
}

func compare(a, b time.Duration) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// count returns how many tasks of a size fit into free.
func count(free, size structs.Resources) int {
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
