package process

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

const (
	// The heap may grow to heapShareNumerator/heapShareDenominator of the memory limit between
	// two collections. The rest is for what the heap grows by before the collector has adapted.
	heapShareNumerator   = 1
	heapShareDenominator = 2
	// minHeapPercent is the default of the runtime. With maxHeapPercent a collection costs a
	// quarter of that for each allocated byte.
	minHeapPercent = 100
	maxHeapPercent = 400
	// minHeapChange is the change in percent points from which the percentage is set, which stops
	// all goroutines for a moment.
	minHeapChange = 15
)

// PaceCollector lets the heap use more of the memory limit in bytes between two collections than
// twice the live data, so that collections are rarer while there are few live data. A limit of 0
// leaves the default of the runtime.
func PaceCollector(limit int64) {
	if limit <= 0 {
		return
	}
	p := &pace{limit: limit, percent: minHeapPercent, live: []metrics.Sample{{Name: "/gc/heap/live:bytes"}}}
	p.afterCollection()
}

// pace adapts the percentage after each collection.
type pace struct {
	limit   int64
	percent int
	live    []metrics.Sample
}

// collected is an object that is unreachable, so that the next collection runs its cleanup. It has
// a pointer because the runtime may put small objects without pointers together.
type collected struct{ _ *int }

// afterCollection sets the percentage for the live data and has itself called after the next
// collection.
func (p *pace) afterCollection() {
	metrics.Read(p.live)
	if p.live[0].Value.Kind() != metrics.KindUint64 {
		return // the metric does not exist in this version of the runtime
	}
	percent := heapPercent(p.limit, int64(p.live[0].Value.Uint64()))
	if change := percent - p.percent; change >= minHeapChange || change <= -minHeapChange || percent == minHeapPercent && change != 0 {
		p.percent = percent
		debug.SetGCPercent(percent)
	}
	runtime.AddCleanup(&collected{}, func(p *pace) { p.afterCollection() }, p)
}

// heapPercent returns by how many percent of the live data the heap may grow.
func heapPercent(limit, live int64) int {
	target := limit / heapShareDenominator * heapShareNumerator
	return int(min(maxHeapPercent, max(minHeapPercent, 100*target/max(1, live)-100)))
}
