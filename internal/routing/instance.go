package routing

import (
	"math"
	"slices"
	"time"

	"laburnumgrade/gen/peerv1"
)

const (
	// speedWeight is the weight of a new sample in an instance's learned speed.
	speedWeight = 0.2
	// poolWeight is the weight of a new sample in the mean of a service.
	poolWeight = 0.05
	// speedHalfLife is the time in which an instance's own speed loses half its
	// weight against the mean, so that an instance that was once slow is tried
	// again.
	speedHalfLife = 10 * time.Second
	// firstPause is how long an instance gets no call after the second failure in
	// a row, or when it cannot be reached; it doubles with each further failure up
	// to maxPause. A single lost answer says little about the instance.
	firstPause = 100 * time.Millisecond
	maxPause   = 2 * time.Second
)

type instance struct {
	id           string
	incarnation  uint64
	address      string
	entry        string
	entryAddress string
	local        bool
	dataCentre   string
	slots        int
	// used counts the calls of this entry on the instance. An instance with
	// calls is kept when it is no longer listed: if it returns, they count.
	used    int
	listed  bool
	leaving bool
	// validUntil is when the instance counts as silent.
	validUntil time.Duration
	// release is the number under which the leader asks for the slots, and
	// given is set once this entry has said that it gave them back.
	release uint64
	given   bool

	service  time.Duration
	sampled  time.Duration
	failures int
	pausedTo time.Duration
}

// update takes over what the leader lists.
func (in *instance) update(self string, m *peerv1.Instance, asked time.Duration) {
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
	in.validUntil = max(in.validUntil, asked+time.Duration(m.ValidMs)*time.Millisecond)
	if m.Release != in.release || !in.local {
		in.given = false
	}
	in.release = m.Release
}

// alive reports whether the instance may get new work from any entry.
func (in *instance) alive(now time.Duration) bool {
	return in.listed && !in.leaving && now < in.validUntil
}

// eligible reports whether a call may go to the instance when a slot is free.
func (in *instance) eligible(c *Call, now time.Duration) bool {
	return in.alive(now) && now >= in.pausedTo && !slices.Contains(c.Tried, in.id)
}

// estimate returns the time in which the instance is expected to answer.
func (in *instance) estimate(mean, now time.Duration) time.Duration {
	if in.service == 0 {
		return max(mean, time.Microsecond)
	}
	own := math.Exp2(-float64(now-in.sampled) / float64(speedHalfLife))
	return time.Duration(own*float64(in.service) + (1-own)*float64(mean))
}

// cost orders the instances that have a free slot. Occupied slots raise it, so
// that the fastest instance does not take every call.
func (in *instance) cost(mean, now time.Duration) time.Duration {
	e := in.estimate(mean, now)
	return e + e*time.Duration(in.used)/time.Duration(max(in.slots, 1))
}

func (in *instance) learn(r Report, now time.Duration) {
	switch r.Result {
	case Answered:
		in.service = blend(in.service, r.Took, speedWeight)
		in.sampled = now
		in.failures = 0
	case Unreachable, NoValidAnswer:
		in.failures++
		if r.Result == Unreachable || in.failures > 1 {
			in.pausedTo = now + min(firstPause<<min(in.failures-1, 10), maxPause)
		}
	}
}

func blend(old, sample time.Duration, weight float64) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(weight*float64(sample-old))
}
