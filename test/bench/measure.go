package main

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// minBacklogTime is how long every team must have been backlogged before
// windows are measured.
const minBacklogTime = time.Minute

// windowLength is the time over which usage is compared with the shares.
const windowLength = time.Minute

// result holds the measurements of a simulation.
type result struct {
	waits      [kinds][]time.Duration
	waitingFor time.Duration // time during which work waited
	boundUse   float64       // part of the bounding resource in use, integrated over waitingFor in seconds
	windows    windows
	decisions  int
	failed     int
	probations int
	stopped    int
	preempted  int
	lost       int
	unstarted  int
	cancelCost time.Duration
	digest     uint64
}

// recordWait records how long a job waited. The wait ends with the last start
// of any of its tasks, so that a failed attempt on a faulty worker does not end
// it. If a task still waits, the time until now is recorded.
func (r *result) recordWait(j *jobRun, now time.Duration) {
	running := 0
	for _, worker := range j.workers {
		if worker != "" {
			running++
		}
	}
	until := now
	if j.ended+running == len(j.workers) {
		until = j.lastStart
	} else {
		r.unstarted++
	}
	r.waits[j.kind] = append(r.waits[j.kind], until-j.job.Submitted)
}

// observe adds the current state for a span of time.
func (r *result) observe(d *driver, span time.Duration) {
	if d.engine.Waiting() > 0 {
		capacity := d.site.capacity()
		r.waitingFor += span
		r.boundUse += span.Seconds() * max(ratio(d.committed.MilliCPU, capacity.MilliCPU), ratio(d.committed.MemoryBytes, capacity.MemoryBytes))
	}
	r.windows.observe(d, span)
}

// finish records the waiting times of all jobs and computes the digest.
func (r *result) finish(d *driver) {
	for _, a := range d.arrivals[:d.nextArrival] {
		j := d.jobs[a.job.ID]
		r.recordWait(j, d.now)
	}
	h := fnv.New64a()
	for k := range r.waits {
		for _, w := range r.waits[k] {
			fmt.Fprintln(h, k, w)
		}
		slices.Sort(r.waits[k])
	}
	fmt.Fprintln(h, r.decisions, r.failed, r.windows.largest)
	r.digest = h.Sum64()
}

// merge adds the measurements of another simulation.
func (r *result) merge(o result) {
	for k := range r.waits {
		r.waits[k] = append(r.waits[k], o.waits[k]...)
		slices.Sort(r.waits[k])
	}
	r.waitingFor += o.waitingFor
	r.boundUse += o.boundUse
	r.windows.largest = max(r.windows.largest, o.windows.largest)
	r.windows.sum += o.windows.sum
	r.windows.count += o.windows.count
	r.windows.withinFivePercentCount += o.windows.withinFivePercentCount
	r.decisions += o.decisions
	r.failed += o.failed
	r.probations += o.probations
	r.stopped += o.stopped
	r.preempted += o.preempted
	r.lost += o.lost
	r.unstarted += o.unstarted
	r.cancelCost = max(r.cancelCost, o.cancelCost)
	r.digest = r.digest*31 + o.digest
}

// packing returns the mean use of the bounding resource while work waited.
func (r *result) packing() float64 {
	if r.waitingFor == 0 {
		return 0
	}
	return r.boundUse / r.waitingFor.Seconds()
}

// windows compares each team's dominant usage with its share over windows in
// which every team was backlogged, after minBacklogTime.
type windows struct {
	names                  []string
	weights                []float64
	use                    [][2]float64  // by team: processors, memory
	span                   time.Duration // of the current window
	backlogged             time.Duration // how long every team has been backlogged
	largest                float64
	sum                    float64
	count                  int
	withinFivePercentCount int // deviations of at most 5% of the share
}

func newWindows(s site) windows {
	w := windows{weights: s.weights, use: make([][2]float64, len(s.weights))}
	for i := range s.weights {
		w.names = append(w.names, teamName(i))
	}
	return w
}

func (w *windows) observe(d *driver, span time.Duration) {
	if !d.backlogged() {
		w.backlogged = 0
		w.reset()
		return
	}
	w.backlogged += span
	if w.backlogged <= minBacklogTime {
		return
	}
	capacity := d.site.capacity()
	for i, u := range d.committedByTeam {
		w.use[i][0] += span.Seconds() * ratio(u.MilliCPU, capacity.MilliCPU)
		w.use[i][1] += span.Seconds() * ratio(u.MemoryBytes, capacity.MemoryBytes)
	}
	w.span += span
	if w.span >= windowLength {
		w.recordDeviations()
		w.reset()
	}
}

func (w *windows) reset() {
	w.span = 0
	clear(w.use)
}

// recordDeviations adds the deviations of a window: how far each team's part of
// the dominant usage is from its share, relative to the share.
func (w *windows) recordDeviations() {
	total, weights := 0.0, 0.0
	for i, u := range w.use {
		total += max(u[0], u[1])
		weights += w.weights[i]
	}
	for i, u := range w.use {
		share := w.weights[i] / weights
		deviation := math.Abs(max(u[0], u[1])/total-share) / share
		w.largest = max(w.largest, deviation)
		w.sum += deviation
		w.count++
		if deviation <= 0.05 {
			w.withinFivePercentCount++
		}
	}
}

func (w *windows) mean() float64 {
	if w.count == 0 {
		return 0
	}
	return w.sum / float64(w.count)
}

// withinFivePercent returns the part of the deviations that are at most 5% of
// the share.
func (w *windows) withinFivePercent() float64 {
	if w.count == 0 {
		return 0
	}
	return float64(w.withinFivePercentCount) / float64(w.count)
}

// minBacklogShare is the part of a team's share that its waiting work must
// amount to for the team to count as backlogged. A team with less waiting work
// may soon use less than its share because it has no more demand.
const minBacklogShare = 0.25

// backlogged reports whether the waiting work of every team amounts to at least
// minBacklogShare of its share.
func (d *driver) backlogged() bool {
	capacity := d.site.capacity()
	sum := 0.0
	for _, w := range d.site.weights {
		sum += w
	}
	for i, waiting := range d.waitingByTeam {
		size := max(ratio(waiting.MilliCPU, capacity.MilliCPU), ratio(waiting.MemoryBytes, capacity.MemoryBytes))
		if size < minBacklogShare*d.site.weights[i]/sum {
			return false
		}
	}
	return true
}
