package reservation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumgrade/internal/structs"
)

// Forever is the end of work that has none.
const Forever time.Duration = math.MaxInt64

// Release is an amount that becomes free on a worker at a time.
type Release struct {
	At     time.Duration
	Amount structs.Resources
}

// Timeline holds what is expected to become free on a worker and what is reserved
// there. The zero value is a worker on which nothing ends and nothing is reserved.
type Timeline struct {
	releases []Release // ordered by time
	reserved []Release // amounts that are taken from a time on, ordered by time
}

// SetReleases replaces the expected releases. Those before now count as being due now.
// The function keeps the slice.
func (t *Timeline) SetReleases(releases []Release, now time.Duration) {
	for i := range releases {
		releases[i].At = max(now, releases[i].At)
	}
	slices.SortFunc(releases, func(a, b Release) int { return cmp.Compare(a.At, b.At) })
	t.releases = releases
}

// HasReservations reports whether a part of the worker is reserved.
func (t *Timeline) HasReservations() bool { return len(t.reserved) > 0 }

// Reserve reserves an amount from a time on, without an end.
func (t *Timeline) Reserve(from time.Duration, amount structs.Resources) {
	i, _ := slices.BinarySearchFunc(t.reserved, from, func(r Release, at time.Duration) int { return cmp.Compare(r.At, at) })
	t.reserved = slices.Insert(t.reserved, i, Release{from, amount})
}

// roomAt returns what is free at a time, beside what is reserved by then. free is what
// is free now.
func (t *Timeline) roomAt(at time.Duration, free structs.Resources) structs.Resources {
	for i := range t.releases {
		if t.releases[i].At > at {
			break
		}
		free = free.Add(t.releases[i].Amount)
	}
	for i := range t.reserved {
		if t.reserved[i].At > at {
			break
		}
		free = free.Sub(t.reserved[i].Amount)
	}
	return free
}

// Count returns how many tasks of a size may run from a time until another one, which
// is Forever for a gang whose end is not known, without using what is reserved. free is
// what is free now.
func (t *Timeline) Count(size, free structs.Resources, from, until time.Duration) int {
	n := count(size, t.roomAt(from, free))
	for i := range t.reserved {
		if at := t.reserved[i].At; at > from && at < until {
			n = min(n, count(size, t.roomAt(at, free)))
		}
	}
	return max(0, n)
}

// unlimited is the number of tasks of no size that fit.
const unlimited = 1 << 20

// count returns how many times a size fits into an amount, 0 if a dimension is negative.
func count(size, amount structs.Resources) int {
	if amount.MilliCPU < 0 || amount.MemoryBytes < 0 || amount.Accelerators < 0 {
		return 0
	}
	n := unlimited
	if size.MilliCPU > 0 {
		n = min(n, int(amount.MilliCPU/size.MilliCPU))
	}
	if size.MemoryBytes > 0 {
		n = min(n, int(amount.MemoryBytes/size.MemoryBytes))
	}
	if size.Accelerators > 0 {
		n = min(n, int(amount.Accelerators/size.Accelerators))
	}
	return n
}

// Place is a worker on which a gang may run.
type Place struct {
	Timeline *Timeline
	// Free is what is free now.
	Free structs.Resources
	// Most is the largest number of tasks that may run on the worker.
	Most int
}

// gain is a number of tasks that a place has room for from a time on.
type gain struct {
	at    time.Duration
	place int
	tasks int
}

// Earliest returns the earliest time from now on at which the places have room for a
// number of tasks of a size together, and the number of tasks on each place, by its
// index. Room that appears first is used first. ok is false if they never have it.
func Earliest(places []Place, size structs.Resources, tasks int, now time.Duration) (at time.Duration, parts map[int]int, ok bool) {
	var gains []gain
	for i := range places {
		gains = places[i].gains(gains, i, size, now)
	}
	slices.SortStableFunc(gains, func(a, b gain) int { return cmp.Compare(a.at, b.at) })
	parts = map[int]int{}
	for _, g := range gains {
		part := min(g.tasks, tasks)
		parts[g.place] += part
		tasks -= part
		if tasks == 0 {
			return g.at, parts, true
		}
	}
	return 0, nil, false
}

// gains appends the times at which the place gets room for further tasks that do not end.
func (p *Place) gains(list []gain, place int, size structs.Resources, now time.Duration) []gain {
	known := 0
	add := func(at time.Duration) {
		if n := min(p.Most, p.Timeline.Count(size, p.Free, at, Forever)); n > known {
			list = append(list, gain{at, place, n - known})
			known = n
		}
	}
	add(now)
	for i := range p.Timeline.releases {
		if known >= p.Most {
			break
		}
		add(p.Timeline.releases[i].At)
	}
	return list
}
