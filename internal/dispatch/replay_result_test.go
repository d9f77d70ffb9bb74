package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// replayedJob is what a replay knows of a job.
type replayedJob struct {
	class     *loadClass
	submitted time.Duration
	objective time.Duration
	width     int
	durations [][]time.Duration // by step and task
	coreWork  float64
	gang      bool
	team      int
	refused   bool
	// exceedsLimit is set if a step is a gang that exceeds its team's limit, so that it never
	// starts.
	exceedsLimit bool
	ended        time.Duration // 0 if it has not
}

// replayResult is what became of the jobs of a class.
type replayResult struct {
	jobs, inTime, late     int
	refused                int
	worth, earned          float64
	waits                  []time.Duration
	largest, largestServed int
	// gangSteps is the number of steps of gangs, adviceCost what the advice on them cost.
	gangSteps  int
	adviceCost time.Duration
}

// lateShare is what a job that is late earns of its worth; one that takes more than
// overdueFactor times its objective earns nothing.
const lateShare = 0.2

// newReplayResult returns what became of the jobs of a class, which it sorts by their work.
func newReplayResult(jobs []*replayedJob, adviceCost time.Duration) *replayResult {
	r := &replayResult{jobs: len(jobs), adviceCost: adviceCost}
	meanWork := 0.0
	for _, j := range jobs {
		meanWork += j.coreWork / float64(len(jobs))
	}
	slices.SortFunc(jobs, func(a, b *replayedJob) int { return cmp.Compare(b.coreWork, a.coreWork) })
	for i, j := range jobs {
		r.add(j, j.class.worth*min(4, 0.3+0.7*j.coreWork/meanWork), i < len(jobs)/10)
	}
	slices.Sort(r.waits)
	return r
}

// add counts a job. largest is set for the largest tenth of its class.
func (r *replayResult) add(j *replayedJob, worth float64, largest bool) {
	if j.gang {
		r.gangSteps += len(j.durations)
	}
	r.worth += worth
	if j.refused {
		r.refused++
	}
	took := j.ended - j.submitted
	if j.ended > 0 {
		r.waits = append(r.waits, took)
	}
	served := j.ended > 0 && took <= overdueFactor*j.objective
	if largest {
		r.largest++
	}
	switch {
	case !served:
		return
	case took <= j.objective:
		r.inTime++
		r.earned += worth
	default:
		r.late++
		r.earned += lateShare * worth
	}
	if largest {
		r.largestServed++
	}
}

// addUp adds the counts of another result.
func (r *replayResult) addUp(o *replayResult) {
	r.jobs, r.inTime, r.late, r.refused = r.jobs+o.jobs, r.inTime+o.inTime, r.late+o.late, r.refused+o.refused
	r.largest, r.largestServed = r.largest+o.largest, r.largestServed+o.largestServed
	r.worth, r.earned, r.waits = r.worth+o.worth, r.earned+o.earned, slices.Sorted(slices.Values(slices.Concat(r.waits, o.waits)))
	r.gangSteps, r.adviceCost = r.gangSteps+o.gangSteps, r.adviceCost+o.adviceCost
}

// String describes the result in one line.
func (r *replayResult) String() string {
	return fmt.Sprintf("jobs %d in time %.3f late %.3f refused %.3f earned %.3f largest tenth served %.3f of all %.3f p50 %v p95 %v", r.jobs, r.share(r.inTime), r.share(r.late), r.share(r.refused),
		r.earned/r.worth, float64(r.largestServed)/float64(max(1, r.largest)), r.share(r.inTime+r.late), quantile(r.waits, 0.5), quantile(r.waits, 0.95))
}

// replayReport describes the results of a replay by class, and the worth of all.
func replayReport(results map[string]*replayResult) string {
	var text strings.Builder
	worth, earned := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(results)) {
		fmt.Fprintf(&text, "%s %v\n", name, results[name])
		worth, earned = worth+results[name].worth, earned+results[name].earned
	}
	fmt.Fprintf(&text, "worth %.3f", earned/worth)
	return text.String()
}

// share returns the share of the class's jobs that a number is.
func (r *replayResult) share(jobs int) float64 { return float64(jobs) / float64(max(1, r.jobs)) }

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))].Round(10 * time.Millisecond)
}
