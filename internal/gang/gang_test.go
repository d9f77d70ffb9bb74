package gang

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/internal/structs"
)

// TestMain fixes rapid's seed, so that the result does not change between runs.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func cpu(n int64) structs.Resources { return structs.Resources{MilliCPU: n} }

// Guards against a reservation that starts later than necessary, or on workers
// that cannot hold the gang.
func TestEarliestReservation(t *testing.T) {
	s := time.Second
	timelines := func() []Timeline {
		return []Timeline{
			{Worker: 1, Free: cpu(1), Releases: []PredictedRelease{{50 * s, cpu(2)}, {5 * s, cpu(1)}}},
			{Worker: 2, Free: cpu(4)},
			{Worker: 3, Free: cpu(-1), Releases: []PredictedRelease{{20 * s, cpu(5)}}},
		}
	}
	for _, tc := range []struct {
		name    string
		tasks   int
		ok      bool
		start   time.Duration
		workers []int
	}{
		{"now", 2, true, 2 * s, []int{2}},
		{"after one release", 3, true, 5 * s, []int{2, 1}},
		{"after releases on two workers", 5, true, 20 * s, []int{2, 1, 3}},
		{"all", 6, true, 50 * s, []int{2, 1, 3}},
		{"never", 7, false, 0, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, ok := EarliestReservation(timelines(), cpu(2), tc.tasks, 2*s)
			assert.Equal(t, ok, tc.ok)
			if ok {
				assert.Equal(t, r.Start, tc.start)
				var workers []int
				for _, p := range r.Workers {
					workers = append(workers, p.Worker)
				}
				assert.DeepEqual(t, workers, tc.workers)
			}
		})
	}
}

// Guards against a reservation whose workers cannot hold the gang although
// every predicted release takes place.
func TestReservedWorkersHoldAllTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var timelines []Timeline
		for w := range rapid.IntRange(1, 8).Draw(t, "workers") {
			timeline := Timeline{Worker: w, Free: cpu(rapid.Int64Range(-2, 8).Draw(t, "free"))}
			for range rapid.IntRange(0, 5).Draw(t, "releases") {
				timeline.Releases = append(timeline.Releases, PredictedRelease{
					time.Duration(rapid.IntRange(0, 50).Draw(t, "at")), cpu(rapid.Int64Range(1, 4).Draw(t, "size"))})
			}
			timelines = append(timelines, timeline)
		}
		size := cpu(rapid.Int64Range(1, 6).Draw(t, "size"))
		tasks := rapid.IntRange(1, 12).Draw(t, "tasks")
		r, ok := EarliestReservation(timelines, size, tasks, 10)
		if !ok {
			return
		}
		held := 0
		for _, p := range r.Workers {
			free := timelines[p.Worker].Free
			for _, e := range timelines[p.Worker].Releases {
				if e.At <= r.Start {
					free = free.Add(e.Size)
				}
			}
			if free.Sub(p.Spare) != size.Scale(int64(p.Tasks)) || p.Tasks > tasksThatFit(free, size) {
				t.Fatalf("worker %d with %v free holds %d tasks and spares %v", p.Worker, free, p.Tasks, p.Spare)
			}
			held += p.Tasks
		}
		if held < tasks {
			t.Fatalf("reserved workers hold %d of %d tasks at %d", held, tasks, r.Start)
		}
	})
}

// Guards against relying on the predicted run time of work that cannot be
// interrupted, and against an interruption before or after the end of the grace.
func TestBackfillBounds(t *testing.T) {
	s := time.Second
	assert.Equal(t, BackfillEnd(10*s, 5*s, true), 15*s)
	assert.Equal(t, BackfillEnd(10*s, 5*s, false), 30*s)
	assert.Assert(t, !BackfillOverdue(20*s, 29*s, DefaultBackfillGrace))
	assert.Assert(t, BackfillOverdue(20*s, 30*s, DefaultBackfillGrace))
	assert.Equal(t, ExpectedEnd(20*s, 10*s), 20*s)
	assert.Equal(t, ExpectedEnd(10*s, 14*s), 18*s)
	assert.Equal(t, ExpectedEnd(14*s, 14*s), 15*s)
}
