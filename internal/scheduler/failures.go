package scheduler

import (
	"time"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/structs"
)

// failuresFor bounds the age of a remembered failure, because one search of
// the index can miss a fit that the next one finds.
const failuresFor = 100 * time.Millisecond

// maxFailures bounds the number of sizes remembered.
const maxFailures = 32

// failures remembers requests for which no worker was found while nothing has
// been freed since, so that a full fleet is not searched for each queue.
type failures struct {
	version uint64
	since   time.Duration
	known   []failure
}

type failure struct {
	size  structs.Resources
	end   time.Duration
	trial bool
}

func (f *failures) refresh(version uint64, now time.Duration) {
	if f.version == version && now-f.since < failuresFor {
		return
	}
	f.version = version
	f.since = now
	f.known = f.known[:0]
}

// unchanged records that everything freed up to version was taken before.
func (f *failures) unchanged(version uint64) { f.version = version }

// includes reports whether a request no larger, and ending no later, failed.
func (f *failures) includes(r *placement.Request) bool {
	for i := range f.known {
		k := &f.known[i]
		if k.size.Fits(r.Size) && k.end <= r.End && k.trial == r.AllowTrial {
			return true
		}
	}
	return false
}

func (f *failures) add(r *placement.Request) {
	if len(f.known) < maxFailures {
		f.known = append(f.known, failure{r.Size, r.End, r.AllowTrial})
	}
}
