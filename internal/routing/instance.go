package routing

import (
	"math"
	"slices"
	"time"

	"laburnumgrade/gen/peerv1"
)

const (
	// instanceSampleWeight is the weight of a new sample in the mean answer time of
	// an instance.
	instanceSampleWeight = 0.2
	// serviceSampleWeight is the weight of a new sample in the mean answer time of
	// a service.
	serviceSampleWeight = 0.05
	// estimateHalfLife is the time after which an instance's own mean has half its
	// weight in the estimate, and the mean of the service the other half. An
	// instance that was slow is thus used again after some time.
	estimateHalfLife = 10 * time.Second
	// minBackoff is how long an instance gets no calls after it was unreachable or
	// has failed a second time in a row. It doubles with each further failure, up
	// to maxBackoff. A single lost answer causes no backoff, since its cause may be
	// elsewhere.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// instance is an instance of a service, as its data centre's leader listed it last.
type instance struct {
	id          string
	incarnation uint64
	address     string
	// entry is the name of the entry that grants the slots, empty if there is none;
	// local is set if it is this entry.
	entry        string
	entryAddress string
	local        bool
	dataCentre   string
	slots        int
	// used is how many calls of this entry use a slot of the instance. While it is
	// positive the instance is kept even if it is no longer listed, so that the
	// calls still count if it is listed again.
	used int
	// earlier is an earlier incarnation of the instance at the same address to which calls
	// of this entry were in progress when this one was first listed; nil if there is none.
	earlier *instance
	listed  bool
	leaving bool
	// validUntil is when the instance gets no more calls, unless a later listing
	// extends it.
	validUntil time.Duration
	// releaseNumber is the number of the leader's request to release the slots; 0 if
	// there is none. releaseReported is set once this entry has reported that it has
	// released them; from then on it grants none of them.
	releaseNumber   uint64
	releaseReported bool

	// meanServiceTime is the moving average of the time from sending a call to its
	// answer; 0 if there was no answer yet. sampledAt is when it last changed.
	meanServiceTime time.Duration
	sampledAt       time.Duration
	failures        int // in a row
	backoffUntil    time.Duration
}

// update copies what the leader listed. Self is the name of this entry; requestedAt is
// when the listing was requested.
func (in *instance) update(self string, m *peerv1.Instance, requestedAt time.Duration) {
	in.listed = true
	in.address = m.Address
	in.entry = m.Entry
	in.entryAddress = m.EntryAddress
	in.local = m.Entry == self
	in.slots = int(m.Slots)
	if m.Connections > 0 {
		in.slots = int(min(m.Slots, m.Connections))
	}
	in.leaving = in.leaving || m.Leaving
	in.validUntil = max(in.validUntil, requestedAt+time.Duration(m.ValidMs)*time.Millisecond)
	if m.Release != in.releaseNumber || !in.local {
		in.releaseReported = false
	}
	in.releaseNumber = m.Release
}

// inUse returns how many slots calls of this entry may use. Calls that were sent to an earlier
// incarnation at the same address may have reached this one: the entry learns of a restart
// only from its next listing.
func (in *instance) inUse() int {
	n := in.used
	for e := in.earlier; e != nil; e = e.earlier {
		n += e.used
	}
	return n
}

// forgetEarlier forgets earlier incarnations to which no calls are in progress any more.
func (in *instance) forgetEarlier() {
	for in.earlier != nil && in.earlier.used == 0 {
		in.earlier = in.earlier.earlier
	}
}

// alive reports whether the instance accepts new calls from any entry.
func (in *instance) alive(now time.Duration) bool {
	return in.listed && !in.leaving && now < in.validUntil
}

// eligible reports whether the call may be sent to the instance once a slot is
// free.
func (in *instance) eligible(c *Call, now time.Duration) bool {
	return in.alive(now) && now >= in.backoffUntil && !slices.Contains(c.Tried, in.id)
}

// estimate returns the time in which the instance is expected to answer. Mean is
// the mean of its service.
func (in *instance) estimate(mean, now time.Duration) time.Duration {
	if in.meanServiceTime == 0 {
		return max(mean, time.Microsecond)
	}
	ownWeight := math.Exp2(-float64(now-in.sampledAt) / float64(estimateHalfLife))
	return time.Duration(ownWeight*float64(in.meanServiceTime) + (1-ownWeight)*float64(mean))
}

// cost returns the value by which instances with a free slot are compared; the
// lowest gets the call. It grows with the slots in use, so that the fastest
// instance does not get every call.
func (in *instance) cost(mean, now time.Duration) time.Duration {
	e := in.estimate(mean, now)
	return e + e*time.Duration(in.inUse())/time.Duration(max(in.slots, 1))
}

// recordReport updates the answer time and the backoff of the instance.
func (in *instance) recordReport(r Report, now time.Duration) {
	switch r.Result {
	case Answered:
		in.meanServiceTime = movingAverage(in.meanServiceTime, r.Took, instanceSampleWeight)
		in.sampledAt = now
		in.failures = 0
	case Unreachable, NoValidAnswer:
		in.failures++
		if r.Result == Unreachable || in.failures > 1 {
			in.backoffUntil = now + min(minBackoff<<min(in.failures-1, 10), maxBackoff)
		}
	}
}

// movingAverage returns the exponentially weighted average after a new sample; an
// old value of 0 means that there was none.
func movingAverage(old, sample time.Duration, weight float64) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(weight*float64(sample-old))
}
