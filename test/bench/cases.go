package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/scheduler"
	"laburnumgrade/internal/structs"
)

// Lengths of the plays.
const (
	playLength = 20 * time.Minute
	drainLimit = 20 * time.Minute
)

// seedOffsets are added to a site's seed; the plays of all of them are pooled.
var seedOffsets = []uint64{0, 20, 40}

// pooled plays the lists of all seeds into new engines.
func (s site) pooled(p play, f faults, drain time.Duration, withHealth bool, build func(site) engine) result {
	var sum result
	seed := s.seed
	for _, offset := range seedOffsets {
		s.seed = seed + offset
		sum.merge(newDriver(build(s), s, s.arrivals(p), f, withHealth).run(p.length, drain))
	}
	return sum
}

func fifo(skip int) func(site) engine {
	return func(site) engine { return scheduler.NewFIFO(skip) }
}

func mineFor(s site) engine { return ours(s) }

// waitCases measure waiting at 90% load against FIFO that blocks, and against
// FIFO that passes over what does not fit.
func waitCases(t *table) {
	p := play{length: playLength, load: 0.9}
	for _, s := range []site{sajha, dakar} {
		mine := s.pooled(p, faults{}, drainLimit, true, mineFor)
		digest(s.name+" wait", mine)
		waitRows(t, s.name+" 90% vs fifo", s.pooled(p, faults{}, drainLimit, false, fifo(0)), mine)
		waitRows(t, s.name+" 90% vs fifo skip", s.pooled(p, faults{}, drainLimit, false, fifo(fifoSkip)), mine)
	}
}

func waitRows(t *table, name string, base, mine result) {
	for k := range kinds {
		b, m := base.waits[k], mine.waits[k]
		if len(m) == 0 {
			continue
		}
		t.add(name, kindNames[k]+" wait p50", "s", percentile(b, 0.5).Seconds(), percentile(m, 0.5).Seconds())
		t.add(name, kindNames[k]+" wait p99", "s", percentile(b, 0.99).Seconds(), percentile(m, 0.99).Seconds())
		t.add(name, kindNames[k]+" wait worst", "s", percentile(b, 1).Seconds(), percentile(m, 1).Seconds())
	}
	t.add(name, "bounding resource in use while work waits", "part", base.packing(), mine.packing())
}

// shareCases measure closeness to share with every team asking for more than
// its share, with brief work only and with the full mix.
func shareCases(t *table) {
	for _, s := range []site{sajha, dakar} {
		for _, brief := range []bool{true, false} {
			p := play{length: playLength, load: 2.5, equal: true, brief: brief}
			base := s.pooled(p, faults{}, 0, false, fifo(fifoSkip))
			shareRows(t, s, p, base, s.fairness)
			if s.fairness < 1 {
				shareRows(t, s, p, base, 1)
			}
		}
	}
}

func shareRows(t *table, s site, p play, base result, weight float64) {
	s.fairness = weight
	mine := s.pooled(p, faults{}, 0, true, mineFor)
	mix := "full mix"
	if p.brief {
		mix = "brief work"
	}
	name := fmt.Sprintf("%s overload, %s, weight %g vs fifo skip", s.name, mix, weight)
	digest(name, mine)
	t.add(name, "largest deviation from share", "part", base.windows.largest, mine.windows.largest)
	t.add(name, "mean deviation from share", "part", base.windows.mean(), mine.windows.mean())
	t.add(name, "deviations of at most 5% of the share", "part", base.windows.within5(), mine.windows.within5())
	t.add(name, "windows x teams", "count", float64(base.windows.count), float64(mine.windows.count))
	t.add(name, "bounding resource in use while work waits", "part", base.packing(), mine.packing())
}

// demand returns the first sizes that together ask for the whole capacity of
// the bounding resource, so that nothing can be left over for filling gaps.
func demand(s site, sizes []structs.Resources) []structs.Resources {
	var sum structs.Resources
	for i, size := range sizes {
		sum = sum.Add(size)
		if !sum.Fits(s.capacity()) {
			return sizes[:i]
		}
	}
	return sizes
}

// packingCases fill an empty fleet from the same queue.
func packingCases(t *table) {
	for _, s := range []site{sajha, dakar} {
		var sizes []structs.Resources
		for _, a := range s.arrivals(play{length: playLength, load: 1}) {
			for range a.job.Tasks {
				sizes = append(sizes, a.job.Spec.Size)
			}
		}
		random := rand.New(rand.NewPCG(s.seed, 5))
		random.Shuffle(len(sizes), func(i, j int) { sizes[i], sizes[j] = sizes[j], sizes[i] })
		sizes = demand(s, sizes)
		used := func(place func(f *placement.Fleet) (int, structs.Resources)) float64 {
			f := placement.NewFleet()
			for _, w := range s.fleet() {
				f.Upsert(w)
			}
			_, sum := place(f)
			return max(ratio(sum.MilliCPU, f.Total().MilliCPU), ratio(sum.MemoryBytes, f.Total().MemoryBytes))
		}
		ffd := used(func(f *placement.Fleet) (int, structs.Resources) { return placement.FirstFitDecreasing(f, sizes) })
		mine := used(func(f *placement.Fleet) (int, structs.Resources) { return placement.PlaceAll(f, f, sizes) })
		first := used(func(f *placement.Fleet) (int, structs.Resources) {
			return placement.PlaceAll(f, placement.FirstFit{Fleet: f}, sizes)
		})
		scattered := used(func(f *placement.Fleet) (int, structs.Resources) {
			return placement.PlaceAll(f, placement.RandomFit{Fleet: f, Random: random}, sizes)
		})
		sampled := used(func(f *placement.Fleet) (int, structs.Resources) {
			return placement.PlaceAll(f, placement.PowerOfK{Fleet: f, Random: random, K: 16}, sizes)
		})
		t.add(s.name+" same queue", "packing vs first fit decreasing", "part", ffd, mine)
		t.add(s.name+" same queue", "packing vs first fit", "part", first, mine)
		t.add(s.name+" same queue", "packing vs random fit", "part", scattered, mine)
		t.add(s.name+" same queue", "packing vs power of 16", "part", sampled, mine)
	}
}

// faultCases play wrong sizes and run times, bad workers, a wave of
// cancellations and the loss of a quarter of the workers at once.
func faultCases(t *table) {
	f := faults{
		badWorkers: 0.05, cancelAt: 5 * time.Minute, cancels: 10_000, lostAt: 10 * time.Minute, backAt: 13 * time.Minute, usage: true,
	}
	for _, s := range []site{sajha, dakar} {
		p := play{length: playLength, load: 0.55, wrongSizes: true}
		base := s.pooled(p, f, drainLimit, false, fifo(fifoSkip))
		mine := s.pooled(p, f, drainLimit, true, mineFor)
		name := s.name + " faults vs fifo skip"
		digest(name, mine)
		waitRows(t, name, base, mine)
		t.add(name, "failed attempts", "count", float64(base.failed), float64(mine.failed))
		t.add(name, "workers put on probation", "count", float64(base.probations), float64(mine.probations))
		t.add(name, "jobs stopped wrongly", "count", float64(base.stopped), float64(mine.stopped))
		t.add(name, "attempts interrupted", "count", float64(base.preempted), float64(mine.preempted))
		t.add(name, "attempts lost with workers", "count", float64(base.lost), float64(mine.lost))
		t.add(name, "jobs waiting at the end", "count", float64(base.unstarted), float64(mine.unstarted))
		t.add(name, "cost of one cancellation*", "ns", float64(base.cancelCost.Nanoseconds()), float64(mine.cancelCost.Nanoseconds()))
	}
}

// digest prints a hash of the simulated outcome, by which two runs compare.
func digest(name string, r result) {
	fmt.Fprintf(os.Stderr, "%s: %d decisions, digest %016x\n", name, r.decisions, r.digest)
}
