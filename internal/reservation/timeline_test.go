package reservation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/internal/structs"
)

func cores(n int64) structs.Resources {
	return structs.Resources{MilliCPU: n * 1000, MemoryBytes: n << 30}
}

// Guards against work that is refused although it ends before the reservation, and against
// work that takes reserved room.
func TestBackfillEndsBeforeReservation(t *testing.T) {
	var w Timeline
	w.SetReleases([]Release{{At: 4 * time.Second, Amount: cores(40)}}, time.Second)
	w.Reserve(4*time.Second, cores(54))
	free := cores(24)
	assert.Equal(t, w.Count(cores(8), free, time.Second, 3*time.Second), 3)
	assert.Equal(t, w.Count(cores(8), free, time.Second, 5*time.Second), 1, "of 64 cores 54 are reserved")
	assert.Equal(t, w.Count(cores(11), free, time.Second, 5*time.Second), 0)
	assert.Equal(t, w.Count(cores(8), free, 4*time.Second, Forever), 1)
}

// Guards against a gang that waits longer than it must, and against room that is counted
// although a gang of higher rank has reserved it.
func TestEarliestUsesRoomAsItAppears(t *testing.T) {
	full := func(ends ...time.Duration) *Timeline {
		w := &Timeline{}
		var list []Release
		for _, at := range ends {
			list = append(list, Release{at, cores(18)})
		}
		w.SetReleases(list, 0)
		return w
	}
	a, b, c := full(time.Second, 5*time.Second), full(2*time.Second, 3*time.Second), full(4*time.Second)
	places := []Place{{Timeline: a, Most: 9}, {Timeline: b, Most: 9}, {Timeline: c, Free: cores(18), Most: 9}}
	at, parts, ok := Earliest(places, cores(18), 4, 0)
	assert.Assert(t, ok)
	assert.Equal(t, at, 3*time.Second)
	assert.DeepEqual(t, parts, map[int]int{0: 1, 1: 2, 2: 1})
	for i, n := range parts {
		places[i].Timeline.Reserve(at, cores(18).Scale(int64(n)))
	}
	at, parts, ok = Earliest(places, cores(18), 2, 0)
	assert.Assert(t, ok)
	assert.Equal(t, at, 5*time.Second)
	assert.DeepEqual(t, parts, map[int]int{0: 1, 2: 1})
	_, _, ok = Earliest(places, cores(18), 7, 0)
	assert.Assert(t, !ok)
}

// Guards against a gang that is put on one worker beyond what its step allows there.
func TestEarliestKeepsToMost(t *testing.T) {
	places := []Place{{Timeline: &Timeline{}, Free: cores(64), Most: 1}, {Timeline: &Timeline{}, Free: cores(64), Most: 2}}
	_, parts, ok := Earliest(places, cores(8), 3, 0)
	assert.Assert(t, ok)
	assert.DeepEqual(t, parts, map[int]int{0: 1, 1: 2})
	_, _, ok = Earliest(places, cores(8), 4, 0)
	assert.Assert(t, !ok)
}

// Guards against a reservation that cannot be kept: whatever is admitted in between, a gang
// that has reserved room finds it at its time if the running tasks end when expected.
func TestReservationIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Int64Range(1, 64)
		at := rapid.Int64Range(0, 20)
		workers := make([]Place, rapid.IntRange(1, 4).Draw(t, "workers"))
		for i := range workers {
			left := int64(64)
			var list []Release
			for range rapid.IntRange(0, 5).Draw(t, "running") {
				if n := amount.Draw(t, "size"); n <= left {
					left -= n
					list = append(list, Release{time.Duration(at.Draw(t, "end")), cores(n)})
				}
			}
			workers[i] = Place{Timeline: &Timeline{}, Free: cores(left), Most: 99}
			workers[i].Timeline.SetReleases(list, 0)
		}
		size := cores(amount.Draw(t, "gang size"))
		tasks := rapid.IntRange(1, 12).Draw(t, "gang tasks")
		from, parts, ok := Earliest(workers, size, tasks, 0)
		if !ok {
			return
		}
		for i, n := range parts {
			workers[i].Timeline.Reserve(from, size.Scale(int64(n)))
		}
		// Other work starts now on any worker that admits it.
		for range rapid.IntRange(0, 6).Draw(t, "others") {
			w := &workers[rapid.IntRange(0, len(workers)-1).Draw(t, "worker")]
			other, until := cores(amount.Draw(t, "other size")), time.Duration(at.Draw(t, "other end")+1)
			if w.Timeline.Count(other, w.Free, 0, until) == 0 {
				continue
			}
			w.Free = w.Free.Sub(other)
			w.Timeline.SetReleases(append(w.Timeline.releases, Release{until, other}), 0)
		}
		for i, n := range parts {
			room := workers[i].Free
			for _, r := range workers[i].Timeline.releases {
				if r.At <= from {
					room = room.Add(r.Amount)
				}
			}
			if !size.Scale(int64(n)).Fits(room) {
				t.Fatalf("worker %d has %v for %d tasks of %v at %v", i, room, n, size, from)
			}
		}
	})
}
