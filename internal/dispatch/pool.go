package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// poolRoom is how much more than brief work takes on average its pool holds.
	poolRoom = 1.5
	// poolMemory is over how long the demand of brief work is averaged.
	poolMemory = 5 * time.Second
	// mostPooled is the largest part of the workers, one in so many, in the pool.
	mostPooled = 3
)

// briefPool keeps some workers for brief work and gangs, so that most brief work
// runs under short leases also when other work would fill every worker.
type briefPool struct {
	members map[string]bool
	// demand is the average of the processors that brief work takes, in thousandths.
	demand float64
	at     time.Duration
}

// observe takes in the processors that brief work takes now.
func (b *briefPool) observe(milliCPU int64, now time.Duration) {
	weight := 1.0
	if b.at != 0 {
		weight = min(1, float64(now-b.at)/float64(poolMemory))
	}
	b.demand += (float64(milliCPU) - b.demand) * weight
	b.at = now
}

// choose brings the pool to its size and marks its members. Members stay as long as
// they can: the long leases of a new one run on for seconds. New ones are fast, and
// spread over the data centres, so that no loss takes many of them.
func (b *briefPool) choose(candidates []*candidate) {
	var capacity int64
	for _, c := range candidates {
		capacity += c.worker.Capacity.MilliCPU
	}
	if capacity == 0 {
		return
	}
	mean := float64(capacity) / float64(len(candidates))
	size := min(int(math.Ceil(poolRoom*b.demand/mean)), len(candidates)/mostPooled)
	in := map[string]int{}
	var members, others []*candidate
	for _, c := range candidates {
		if b.members[c.id] {
			members = append(members, c)
		} else {
			others = append(others, c)
		}
	}
	slices.SortStableFunc(members, func(a, b *candidate) int { return cmp.Compare(a.factor, b.factor) })
	members = members[:min(size, len(members))]
	for _, c := range members {
		in[c.worker.DataCentre]++
	}
	for len(members) < size {
		best := slices.MinFunc(others, func(a, b *candidate) int {
			return cmp.Or(cmp.Compare(in[a.worker.DataCentre], in[b.worker.DataCentre]), cmp.Compare(a.factor+doubtCost*a.doubt, b.factor+doubtCost*b.doubt), cmp.Compare(a.id, b.id))
		})
		others = slices.DeleteFunc(others, func(c *candidate) bool { return c == best })
		members = append(members, best)
		in[best.worker.DataCentre]++
	}
	b.members = make(map[string]bool, len(members))
	for _, c := range members {
		b.members[c.id], c.pooled = true, true
	}
}
