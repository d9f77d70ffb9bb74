package scheduler

import (
	"time"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/structs"
)

// failedSearchMaxAge is the age from which failed searches are dropped, because one
// search of the index can miss a worker that the next one finds.
const failedSearchMaxAge = 100 * time.Millisecond

// maxFailedSearches bounds the number of failed searches that are kept.
const maxFailedSearches = 32

// failedSearches holds the requests for which no worker was found since something
// was last freed, so that a full fleet is not searched again for each bucket.
type failedSearches struct {
	version  uint64        // of the fleet
	since    time.Duration // time from which searches are kept
	searches []failedSearch
}

type failedSearch struct {
	size  structs.Resources
	end   time.Duration
	trial bool
}

// refresh drops the searches if something was freed or they are too old.
func (f *failedSearches) refresh(version uint64, now time.Duration) {
	if f.version == version && now-f.since < failedSearchMaxAge {
		return
	}
	f.version = version
	f.since = now
	f.searches = f.searches[:0]
}

// setVersion keeps the searches at a version of the fleet that changed only by
// releasing what had been committed since the searches.
func (f *failedSearches) setVersion(version uint64) { f.version = version }

// covers reports whether no worker was found for a request that was no larger and
// ended no later than r.
func (f *failedSearches) covers(r *placement.Request) bool {
	for i := range f.searches {
		k := &f.searches[i]
		if k.size.Fits(r.Size) && k.end <= r.End && k.trial == r.AllowTrial {
			return true
		}
	}
	return false
}

func (f *failedSearches) add(r *placement.Request) {
	if len(f.searches) < maxFailedSearches {
		f.searches = append(f.searches, failedSearch{r.Size, r.End, r.AllowTrial})
	}
}
