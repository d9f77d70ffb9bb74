package routing

import (
	"time"
)

const (
	// maxLoadAge is how long the load that came with the answer to a forwarded call
	// is used.
	maxLoadAge = time.Second
	// nearForwardCost and farForwardCost are the expected time that a forward adds
	// to a call, within the data centre and to another one.
	nearForwardCost = 1 * time.Millisecond
	farForwardCost  = 4 * time.Millisecond
	// forwardFailureBackoff is how long an entry gets no forwarded calls after one
	// failed.
	forwardFailureBackoff = time.Second
)

// remote is another entry, which grants slots of instances of the service. Calls are
// forwarded to it.
type remote struct {
	entry          string
	address        string
	sameDataCentre bool
	inFlight       int // calls forwarded to it without an answer yet
	// load is the load that the entry reported last, at loadAt; loadKnown is set once it
	// has reported one.
	load      Load
	loadAt    time.Duration
	loadKnown bool
	// backoffUntil is when the entry gets forwarded calls again after one failed.
	backoffUntil time.Duration
	// slots is how many slots it has for the call of the current choice. It is set
	// by bestRemote.
	slots int
}

// expectedWait returns the expected time to an answer, less the time for which the
// instance works on the call.
func (r *remote) expectedWait(now time.Duration) time.Duration {
	wait := farForwardCost
	if r.sameDataCentre {
		wait = nearForwardCost
	}
	fresh := r.loadKnown && now < r.loadAt+maxLoadAge
	if fresh {
		wait += r.load.ExpectedWait
	}
	if excess := r.inFlight - r.slots; excess > 0 && r.load.MeanServiceTime > 0 {
		wait += r.load.MeanServiceTime * time.Duration(excess) / time.Duration(r.slots)
	}
	return wait
}

// recordReport stores the load of the entry, or starts its backoff.
func (r *remote) recordReport(report Report, now time.Duration) {
	switch {
	case report.Load != nil:
		r.load = *report.Load
		r.loadAt = now
		r.loadKnown = true
	case report.Result == Unreachable || report.Result == NoValidAnswer:
		r.backoffUntil = now + forwardFailureBackoff
	}
}
