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

const (
	// simulatedLength is the time during which jobs arrive; drainLimit bounds the
	// time after that in which the queue may become empty.
	simulatedLength = 20 * time.Minute
	drainLimit      = 20 * time.Minute
)

// seedOffsets are added to the seed of a site. Each case runs one simulation for each
// offset and merges the results.
var seedOffsets = []uint64{0, 20, 40}

// runPooled runs one simulation with a new engine for each seed and merges the
// results.
func (s site) runPooled(p workloadSpec, f faults, drain time.Duration, withHealth bool, build func(site) engine) result {
	var sum result
	seed := s.seed
	for _, offset := range seedOffsets {
		s.seed = seed + offset
		sum.merge(newDriver(build(s), s, s.arrivals(p), f, withHealth).run(p.length, drain))
	}
	return sum
}

func newFIFO(skip int) func(site) engine {
	return func(site) engine { return scheduler.NewFIFO(skip) }
}

func newEngine(s site) engine { return newScheduler(s) }

// waitCases measure waiting times at 90% load. The baselines are a FIFO
// scheduler that blocks at a job that does not fit, and one that skips such
// jobs.
func waitCases(t *table) {
	p := workloadSpec{length: simulatedLength, load: 0.9}
	for _, s := range []site{sajha, dakar} {
		tested := s.runPooled(p, faults{}, drainLimit, true, newEngine)
		printDigest(s.name+" wait", tested)
		addWaitRows(t, s.name+" 90% vs fifo", s.runPooled(p, faults{}, drainLimit, false, newFIFO(0)), tested)
		addWaitRows(t, s.name+" 90% vs fifo skip", s.runPooled(p, faults{}, drainLimit, false, newFIFO(fifoSkip)), tested)
	}
}

func addWaitRows(t *table, name string, baseline, tested result) {
	for k := range kinds {
		b, m := baseline.waits[k], tested.waits[k]
		if len(m) == 0 {
			continue
		}
		t.add(name, kindNames[k]+" wait p50", "s", percentile(b, 0.5).Seconds(), percentile(m, 0.5).Seconds())
		t.add(name, kindNames[k]+" wait p99", "s", percentile(b, 0.99).Seconds(), percentile(m, 0.99).Seconds())
		t.add(name, kindNames[k]+" wait worst", "s", percentile(b, 1).Seconds(), percentile(m, 1).Seconds())
	}
	t.add(name, "bounding resource in use while work waits", "part", baseline.packing(), tested.packing())
}

// shareCases measure how far the usage of teams deviates from their shares
// while every team demands more than its share, with short run times and with
// the full mix of work.
func shareCases(t *table) {
	for _, s := range []site{sajha, dakar} {
		for _, shortRunTimes := range []bool{true, false} {
			p := workloadSpec{length: simulatedLength, load: 2.5, equalDemand: true, shortRunTimes: shortRunTimes}
			baseline := s.runPooled(p, faults{}, 0, false, newFIFO(fifoSkip))
			addShareRows(t, s, p, baseline, s.fairness)
			if s.fairness < 1 {
				addShareRows(t, s, p, baseline, 1)
			}
		}
	}
}

func addShareRows(t *table, s site, p workloadSpec, baseline result, weight float64) {
	s.fairness = weight
	tested := s.runPooled(p, faults{}, 0, true, newEngine)
	mix := "full mix"
	if p.shortRunTimes {
		mix = "brief work"
	}
	name := fmt.Sprintf("%s overload, %s, weight %g vs fifo skip", s.name, mix, weight)
	printDigest(name, tested)
	t.add(name, "largest deviation from share", "part", baseline.windows.largest, tested.windows.largest)
	t.add(name, "mean deviation from share", "part", baseline.windows.mean(), tested.windows.mean())
	t.add(name, "deviations of at most 5% of the share", "part", baseline.windows.withinFivePercent(), tested.windows.withinFivePercent())
	t.add(name, "windows x teams", "count", float64(baseline.windows.count), float64(tested.windows.count))
	t.add(name, "bounding resource in use while work waits", "part", baseline.packing(), tested.packing())
}

// limitToCapacity returns the longest prefix of sizes whose sum fits the
// capacity of the site, so that no further tasks are available to fill gaps.
func limitToCapacity(s site, sizes []structs.Resources) []structs.Resources {
	var sum structs.Resources
	for i, size := range sizes {
		sum = sum.Add(size)
		if !sum.Fits(s.capacity()) {
			return sizes[:i]
		}
	}
	return sizes
}

// packingCases fill an empty fleet with the same tasks by different placement
// algorithms and compare the part of the bounding resource that is in use.
func packingCases(t *table) {
	for _, s := range []site{sajha, dakar} {
		var sizes []structs.Resources
		for _, a := range s.arrivals(workloadSpec{length: simulatedLength, load: 1}) {
			for range a.job.Tasks {
				sizes = append(sizes, a.job.Spec.Size)
			}
		}
		random := rand.New(rand.NewPCG(s.seed, 5))
		random.Shuffle(len(sizes), func(i, j int) { sizes[i], sizes[j] = sizes[j], sizes[i] })
		sizes = limitToCapacity(s, sizes)
		used := func(place func(f *placement.Fleet) (int, structs.Resources)) float64 {
			f := placement.NewFleet()
			for _, w := range s.workerList() {
				f.Upsert(w)
			}
			_, sum := place(f)
			return max(ratio(sum.MilliCPU, f.Total().MilliCPU), ratio(sum.MemoryBytes, f.Total().MemoryBytes))
		}
		ffd := used(func(f *placement.Fleet) (int, structs.Resources) { return placement.FirstFitDecreasing(f, sizes) })
		tested := used(func(f *placement.Fleet) (int, structs.Resources) { return placement.PlaceAll(f, f, sizes) })
		first := used(func(f *placement.Fleet) (int, structs.Resources) {
			return placement.PlaceAll(f, placement.FirstFit{Fleet: f}, sizes)
		})
		scattered := used(func(f *placement.Fleet) (int, structs.Resources) {
			return placement.PlaceAll(f, placement.RandomFit{Fleet: f, Random: random}, sizes)
		})
		sampled := used(func(f *placement.Fleet) (int, structs.Resources) {
			return placement.PlaceAll(f, placement.PowerOfK{Fleet: f, Random: random, K: 16}, sizes)
		})
		t.add(s.name+" same queue", "packing vs first fit decreasing", "part", ffd, tested)
		t.add(s.name+" same queue", "packing vs first fit", "part", first, tested)
		t.add(s.name+" same queue", "packing vs random fit", "part", scattered, tested)
		t.add(s.name+" same queue", "packing vs power of 16", "part", sampled, tested)
	}
}

// faultCases simulate wrongly declared sizes and run times, faulty workers,
// many cancellations and the loss of a quarter of the workers, all in one run.
func faultCases(t *table) {
	f := faults{
		badWorkerShare: 0.05, cancelAt: 5 * time.Minute, cancels: 10_000, lostAt: 10 * time.Minute, backAt: 13 * time.Minute, usage: true,
	}
	for _, s := range []site{sajha, dakar} {
		p := workloadSpec{length: simulatedLength, load: 0.55, wrongSizes: true}
		baseline := s.runPooled(p, f, drainLimit, false, newFIFO(fifoSkip))
		tested := s.runPooled(p, f, drainLimit, true, newEngine)
		name := s.name + " faults vs fifo skip"
		printDigest(name, tested)
		addWaitRows(t, name, baseline, tested)
		t.add(name, "failed attempts", "count", float64(baseline.failed), float64(tested.failed))
		t.add(name, "workers put on probation", "count", float64(baseline.probations), float64(tested.probations))
		t.add(name, "jobs stopped wrongly", "count", float64(baseline.stopped), float64(tested.stopped))
		t.add(name, "attempts interrupted", "count", float64(baseline.preempted), float64(tested.preempted))
		t.add(name, "attempts lost with workers", "count", float64(baseline.lost), float64(tested.lost))
		t.add(name, "jobs waiting at the end", "count", float64(baseline.unstarted), float64(tested.unstarted))
		t.add(name, "cost of one cancellation*", "ns", float64(baseline.cancelCost.Nanoseconds()), float64(tested.cancelCost.Nanoseconds()))
	}
}

// printDigest prints a hash of the simulated outcome. Two runs with the same
// hash made the same decisions.
func printDigest(name string, r result) {
	fmt.Fprintf(os.Stderr, "%s: %d decisions, digest %016x\n", name, r.decisions, r.digest)
}
