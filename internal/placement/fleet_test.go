package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
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

const gib = int64(1) << 30

func cores(n, memGiB, accels int64) structs.Resources {
	return structs.Resources{MilliCPU: n * 1000, MemoryBytes: memGiB * gib, Accelerators: accels}
}

func fleetOf(n int, capacity structs.Resources) *Fleet {
	f := NewFleet()
	for i := range n {
		f.Upsert(Worker{ID: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%d", i/6), Capacity: capacity})
	}
	return f
}

// Guards against placing a task on a worker that is excluded from new work, and
// against excluding one that is not.
func TestChooseRespectsWorkerState(t *testing.T) {
	size := cores(1, 1, 0)
	for _, tc := range []struct {
		name   string
		change func(*Worker)
		hold   Hold
		r      Request
		want   bool
	}{
		{"usable", func(*Worker) {}, Hold{}, Request{}, true},
		{"leaving", func(w *Worker) { w.Leaving = true }, Hold{}, Request{}, false},
		{"lost", func(w *Worker) { w.Lost = true }, Hold{}, Request{}, false},
		{"probation", func(w *Worker) { w.Probation = true }, Hold{}, Request{}, false},
		{"probation, trial work but no trial due", func(w *Worker) { w.Probation = true }, Hold{}, Request{AllowTrial: true}, false},
		{"probation, trial due", func(w *Worker) { w.Probation, w.TrialDue = true, true }, Hold{}, Request{AllowTrial: true}, true},
		{"probation, other work", func(w *Worker) { w.Probation, w.TrialDue = true, true }, Hold{}, Request{}, false},
		{"too small", func(w *Worker) { w.Capacity = cores(1, 0, 0) }, Hold{}, Request{}, false},
		{"held for another", func(*Worker) {}, Hold{Owner: 1, BackfillUntil: time.Second}, Request{Owner: 2, End: 2 * time.Second}, false},
		{"held, ends before", func(*Worker) {}, Hold{Owner: 1, BackfillUntil: time.Second}, Request{Owner: 2, End: time.Second}, true},
		{"held, fits into the spare", func(*Worker) {}, Hold{Owner: 1, Spare: size}, Request{Owner: 2, End: time.Hour}, true},
		{"held for the owner of the request", func(*Worker) {}, Hold{Owner: 1, BackfillUntil: time.Second}, Request{Owner: 1, End: time.Hour}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := NewFleet()
			w := Worker{ID: "w", Capacity: cores(4, 8, 0)}
			tc.change(&w)
			s := f.Upsert(w)
			f.SetHold(s, tc.hold)
			tc.r.Size = size
			_, ok := f.Choose(&tc.r)
			assert.Equal(t, ok, tc.want)
		})
	}
}

// Guards against an index that misses a worker, or returns one without room. If a
// full scan finds a worker, the index must find one within a few searches: the
// first can miss it, because probesPerCell bounds the workers examined.
func TestIndexAgreesWithFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFleet()
		size := func(label string) structs.Resources {
			return structs.Resources{
				MilliCPU:     rapid.Int64Range(0, 70_000).Draw(t, label+"cpu"),
				MemoryBytes:  rapid.Int64Range(0, 140).Draw(t, label+"mem") * gib / 4,
				Accelerators: rapid.Int64Range(0, 3).Draw(t, label+"accel"),
			}
		}
		type run struct {
			slot Slot
			size structs.Resources
		}
		var runs []run
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				id := fmt.Sprintf("w%d", rapid.IntRange(0, 60).Draw(t, "id"))
				f.Upsert(Worker{ID: id, Rack: id[:2], Capacity: size("capacity"),
					Speed:   rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "speed"),
					Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0})
			case 1:
				f.Remove(fmt.Sprintf("w%d", rapid.IntRange(0, 60).Draw(t, "id")))
			case 2:
				if len(runs) > 0 {
					last := runs[len(runs)-1]
					runs = runs[:len(runs)-1]
					f.Release(last.slot, last.size)
				}
			default:
				r := Request{Size: size("task")}
				_, want := FirstFit{f}.Choose(&r)
				got, ok := f.Choose(&r)
				for retry := 0; want && !ok && retry < 3; retry++ {
					got, ok = f.Choose(&r)
				}
				if ok != want {
					t.Fatalf("index found a worker for %+v: %v, full scan: %v", r.Size, ok, want)
				}
				if ok {
					if !f.Usable(got) || !r.Size.Fits(f.Free(got)) {
						t.Fatalf("chose a worker without room: free %+v, needs %+v", f.Free(got), r.Size)
					}
					f.Commit(got, r.Size)
					runs = append(runs, run{got, r.Size})
				}
			}
		}
	})
}

// Guards against placing small tasks on empty workers, or on workers with
// accelerators that they do not need, while other workers have room.
func TestChooseAvoidsEmptyWorkersAndAccelerators(t *testing.T) {
	f := fleetOf(10, cores(64, 128, 0))
	f.Upsert(Worker{ID: "gpu", Capacity: cores(16, 32, 8)})
	f.Upsert(Worker{ID: "gpu-used", Capacity: cores(16, 32, 8)})
	used, _ := f.Lookup("gpu-used")
	f.Commit(used, cores(2, 4, 5))
	for range 20 {
		s, ok := f.Choose(&Request{Size: cores(2, 4, 0)})
		assert.Assert(t, ok)
		assert.Equal(t, f.Worker(s).Capacity.Accelerators, int64(0))
		f.Commit(s, cores(2, 4, 0))
	}
	empty := 0
	for s := range Slot(f.Slots()) {
		if f.Committed(s).IsZero() {
			empty++
		}
	}
	assert.Equal(t, empty, 10) // nine plain workers and gpu
	s, ok := f.Choose(&Request{Size: cores(1, 1, 2)})
	assert.Assert(t, ok)
	assert.Equal(t, f.Worker(s).ID, "gpu-used")
}

// Guards against placing so many tasks of a service in one rack or on one worker
// that its failure stops the service.
func TestChooseSpreadsService(t *testing.T) {
	f := fleetOf(24, cores(16, 32, 0))
	var spread Spread
	for range 12 {
		s, ok := f.Choose(&Request{Size: cores(1, 1, 0), Spread: &spread})
		assert.Assert(t, ok)
		f.Commit(s, cores(1, 1, 0))
		spread.Add(f, s, 1)
	}
	assert.Equal(t, spread.MostPerRack(), 3) // 12 tasks over 4 racks
	assert.Equal(t, len(spread.workers), 12)
}

// Guards against placing the longest waiting task on a slow worker while a fast
// one has room.
func TestChoosePrefersFastWorkerForLongWait(t *testing.T) {
	f := fleetOf(3, cores(16, 32, 0))
	f.Upsert(Worker{ID: "fast", Capacity: cores(32, 64, 0), Speed: 2})
	s, _ := f.Choose(&Request{Size: cores(2, 4, 0), RelativeWait: 1})
	assert.Equal(t, f.Worker(s).ID, "fast")
	s, _ = f.Choose(&Request{Size: cores(2, 4, 0)})
	assert.Assert(t, f.Worker(s).ID != "fast")
}

// Guards against reusing the slot of a removed worker for another one before
// everything committed to it was released.
func TestRemoveKeepsCommittedSlot(t *testing.T) {
	f := fleetOf(1, cores(4, 8, 0))
	s, _ := f.Lookup("w000")
	f.Commit(s, cores(2, 2, 0))
	f.Remove("w000")
	f.Remove("w000")
	other := f.Upsert(Worker{ID: "other", Capacity: cores(4, 8, 0)})
	assert.Assert(t, other != s)
	back := f.Upsert(Worker{ID: "w000", Capacity: cores(4, 8, 0), Incarnation: 2})
	assert.Equal(t, back, s)
	assert.Equal(t, f.Free(back), cores(2, 6, 0))
	f.Remove("w000")
	f.Release(s, cores(2, 2, 0))
	assert.Equal(t, f.Upsert(Worker{ID: "third", Capacity: cores(1, 1, 0)}), s)
	assert.Equal(t, f.Total(), cores(5, 9, 0))
}

func benchmarkChoose(b *testing.B, workers int, chooser func(*Fleet) Chooser) {
	f := fleetOf(workers, cores(64, 128, 0))
	random := rand.New(rand.NewPCG(1, 2))
	size := func() structs.Resources {
		return structs.Resources{MilliCPU: 100 + random.Int64N(8000), MemoryBytes: gib/4 + random.Int64N(16*gib)}
	}
	for s := range Slot(f.Slots()) {
		for range 40 {
			if r := (Request{Size: size()}); f.Eligible(s, &r) {
				f.Commit(s, r.Size)
			}
		}
	}
	c := chooser(f)
	found := 0
	for b.Loop() {
		r := Request{Size: size()}
		if s, ok := c.Choose(&r); ok {
			found++
			f.Commit(s, r.Size)
			f.Release(s, r.Size)
		}
	}
	b.ReportMetric(float64(found)/float64(b.N), "found/op")
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{50, 1400, 14000} {
		b.Run(fmt.Sprintf("index/%d", n), func(b *testing.B) {
			benchmarkChoose(b, n, func(f *Fleet) Chooser { return f })
		})
		b.Run(fmt.Sprintf("power-of-16/%d", n), func(b *testing.B) {
			benchmarkChoose(b, n, func(f *Fleet) Chooser {
				return PowerOfK{Fleet: f, Random: rand.New(rand.NewPCG(3, 4)), K: 16}
			})
		})
		b.Run(fmt.Sprintf("first-fit/%d", n), func(b *testing.B) {
			benchmarkChoose(b, n, func(f *Fleet) Chooser { return FirstFit{f} })
		})
	}
}
