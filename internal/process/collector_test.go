package process

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a heap that may exceed the memory limit because it has few collections.
func TestHeapPercent(t *testing.T) {
	const mib = 1 << 20
	for _, c := range []struct {
		limit, live int64
		want        int
	}{
		{280 * mib, 0, 400},
		{280 * mib, 10 * mib, 400},
		{280 * mib, 35 * mib, 300},
		{280 * mib, 70 * mib, 100},
		{280 * mib, 250 * mib, 100},
		{64 * mib, 16 * mib, 100},
		{64 * mib, 8 * mib, 300},
	} {
		assert.Equal(t, heapPercent(c.limit, c.live), c.want, "%d of %d bytes", c.live, c.limit)
	}
}

var kept []byte

// Guards against a percentage that remains high when the live data have grown.
func TestPaceFollowsLiveData(t *testing.T) {
	before := debug.SetGCPercent(minHeapPercent)
	defer debug.SetGCPercent(before)
	percent := func() int {
		now := []metrics.Sample{{Name: "/gc/gogc:percent"}}
		metrics.Read(now)
		return int(now[0].Value.Uint64())
	}
	await := func(condition func(int) bool) {
		for range 500 {
			if condition(percent()) {
				return
			}
			runtime.GC()
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("the percentage remains %d", percent())
	}
	PaceCollector(128 << 20)
	await(func(now int) bool { return now > 2*minHeapPercent })
	kept = make([]byte, 100<<20)
	await(func(now int) bool { return now == minHeapPercent })
	kept = nil
	await(func(now int) bool { return now > 2*minHeapPercent })
}
