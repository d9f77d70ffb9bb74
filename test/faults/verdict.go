package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/standin"
	"laburnumgrade/internal/structs"
)

// verdict is the result of one case, derived from the answers to callers and
// the records of the emulated targets.
type verdict struct {
	name                                               string
	operations, answered, refused, unknown             int
	lost, doubled, wrong                               int
	overcommitted, overLimit, lateKey, ranAfterRefusal int
	// longestGaps is the longest time without an accepted operation, by data centre
	// and kind of operation. Jobs need a key; calls go to an open queue.
	longestGaps map[string]time.Duration
	notes       []string
	// inForce is how long the last grant of a key took to be in force on all
	// processes.
	inForce time.Duration
}

// evaluate compares the answers to callers with the records of the targets.
func evaluate(name string, operations []*operation, report *standin.Report, began time.Time, limits map[string]structs.Resources) *verdict {
	v := &verdict{name: name, operations: len(operations), longestGaps: longestGaps(operations, began)}
	started, completed := map[string]int{}, map[string]int{}
	for _, r := range report.Runs {
		// Instances of services may run more than once, since they are restarted.
		if strings.HasPrefix(r.ID, "service/") {
			continue
		}
		started[r.ID]++
		if r.Completed {
			completed[r.ID]++
		}
	}
	for _, o := range operations {
		id := o.id
		if !o.call {
			id += "/0"
		}
		v.count(o, started[id], completed[id])
	}
	v.doubled += report.Summary.Overlapping
	if report.Summary.Overlapping > 0 {
		v.notes = append(v.notes, fmt.Sprintf("overlapping runs of %v", report.Summary.OverlappingIDs))
	}
	v.overcommitted = report.Summary.Overcommitted + report.Summary.Overfilled
	for team, limit := range limits {
		if !report.Summary.TeamPeak[team].Fits(limit) {
			v.overLimit++
		}
	}
	return v
}

func (v *verdict) count(o *operation, started, completed int) {
	if started > 1 {
		v.doubled++
		v.notes = append(v.notes, fmt.Sprintf("%s started %d times", o.id, started))
	}
	if o.wrong != "" {
		v.wrong++
		v.notes = append(v.notes, fmt.Sprintf("%s received %q", o.id, o.wrong))
	}
	switch o.outcome {
	case apiv1.Outcome_OUTCOME_OK:
		v.answered++
		if completed == 0 {
			v.lost++
		}
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		v.refused++
		if started > 0 {
			v.ranAfterRefusal++
			v.notes = append(v.notes, o.id+" was refused as not run and ran")
		}
	case apiv1.Outcome_OUTCOME_UNKNOWN:
		v.unknown++
	default:
		if o.accepted.IsZero() && started == 0 {
			v.refused++
			return
		}
		v.lost++
		v.notes = append(v.notes, fmt.Sprintf("%s: outcome %v, started %d, completed %d", o.id, o.outcome, started, completed))
	}
}

// longestGaps returns the longest time between two accepted operations, by data
// centre and kind of operation.
func longestGaps(operations []*operation, began time.Time) map[string]time.Duration {
	times := map[string][]time.Time{}
	for _, o := range operations {
		if !o.accepted.IsZero() {
			name := o.dc + " jobs"
			if o.call {
				name = o.dc + " calls"
			}
			times[name] = append(times[name], o.accepted)
		}
	}
	longest := map[string]time.Duration{}
	for dc, list := range times {
		slices.SortFunc(list, time.Time.Compare)
		last := began
		for _, t := range list {
			longest[dc] = max(longest[dc], t.Sub(last))
			last = t
		}
	}
	return longest
}

// ok reports whether no operation was lost, executed twice, answered wrongly or
// executed after a refusal, no capacity or team limit was exceeded, and no
// withdrawn key was accepted late.
func (v *verdict) ok() bool {
	return v.lost+v.doubled+v.wrong+v.overcommitted+v.overLimit+v.lateKey+v.ranAfterRefusal == 0
}

// worstGap describes the longest gap of a kind of operation over all data
// centres.
func (v *verdict) worstGap(kind string) string {
	worst, where := time.Duration(0), ""
	for name, d := range v.longestGaps {
		if strings.HasSuffix(name, kind) && d > worst {
			worst, where = d, strings.TrimSuffix(name, " "+kind)
		}
	}
	return fmt.Sprintf("%d ms (%s)", worst.Milliseconds(), where)
}

func (v *verdict) print() {
	jobs, calls := v.worstGap("jobs"), v.worstGap("calls")
	result := "ok"
	if !v.ok() {
		result = "FAILED"
	}
	fmt.Printf("%-30s %-6s in force %4d ms | operations %4d answered %4d refused %3d unknown %2d | missed: keyed jobs %s, open calls %s | lost %d doubled %d wrong %d overcommitted %d over-limit %d late-key %d not-run-but-ran %d\n",
		v.name, result, v.inForce.Milliseconds(), v.operations, v.answered, v.refused, v.unknown, jobs, calls,
		v.lost, v.doubled, v.wrong, v.overcommitted, v.overLimit, v.lateKey, v.ranAfterRefusal)
	for i, n := range v.notes {
		if i == 5 {
			fmt.Printf("    and %d more\n", len(v.notes)-i)
			break
		}
		fmt.Println("   ", n)
	}
}
