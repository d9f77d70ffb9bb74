// Command bench simulates the scheduler with generated workloads under a fake
// clock and compares it with baseline schedulers. It also measures the memory
// and CPU time of the scheduler. Rows marked with * depend on the machine.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"laburnumgrade/internal/scheduler"

	"github.com/jessevdk/go-flags"
)

// options are the command's arguments.
type options struct {
	Case               string        `long:"case" description:"run only this case" choice:"wait" choice:"share" choice:"packing" choice:"faults" choice:"scale" choice:"slopes"`
	HalfLife           time.Duration `long:"half-life" description:"override the half-life of past usage"`
	CurrentUsageWeight float64       `long:"instant" description:"override the part of current usage in the order by share" default:"-1"`
	MaxReservations    int           `long:"reservations" description:"override the number of reservations held at a time"`
	FairnessWeight     string        `long:"weight" description:"override the fairness weight of the sites, 0 to 1"`
}

// overrides holds the command line options, which override the settings of the sites.
var overrides options

// row is one line of the table. It compares a value measured with the baseline, or a
// target, with the value measured with the scheduler under test.
type row struct {
	name, measure    string
	baseline, tested float64
	unit             string
}

type table struct{ rows []row }

func (t *table) add(name, measure, unit string, baseline, tested float64) {
	t.rows = append(t.rows, row{name, measure, baseline, tested, unit})
}

func (t *table) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "case\tmeasure\tbaseline\tscheduler\tratio")
	for _, r := range t.rows {
		ratio := "-"
		if r.baseline != 0 {
			ratio = fmt.Sprintf("%.3f", r.tested/r.baseline)
		}
		fmt.Fprintf(w, "%s\t%s (%s)\t%.4g\t%.4g\t%s\n", r.name, r.measure, r.unit, r.baseline, r.tested, ratio)
	}
	w.Flush()
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if o.FairnessWeight != "" {
		if _, err := fmt.Sscan(o.FairnessWeight, &sajha.fairness); err != nil {
			fmt.Fprintf(os.Stderr, "weight %q: %v\n", o.FairnessWeight, err)
			os.Exit(2)
		}
		dakar.fairness = sajha.fairness
	}
	overrides = o
	var t table
	start := time.Now()
	for _, c := range []struct {
		name string
		run  func(*table)
	}{
		{"wait", waitCases}, {"share", shareCases}, {"packing", packingCases}, {"faults", faultCases},
		{"scale", scaleCase}, {"slopes", slopeCase},
	} {
		if o.Case == "" || o.Case == c.name {
			c.run(&t)
			fmt.Fprintf(os.Stderr, "%s done after %v\n", c.name, time.Since(start).Round(time.Second))
		}
	}
	t.print()
}

// newScheduler returns a scheduler with the settings of the site and the
// overrides.
func newScheduler(s site) *scheduler.Scheduler {
	o := scheduler.DefaultOptions()
	o.Policy.FairnessWeight = s.fairness
	if overrides.HalfLife > 0 {
		o.HalfLife = overrides.HalfLife
	}
	if overrides.CurrentUsageWeight >= 0 {
		o.CurrentUsageWeight = overrides.CurrentUsageWeight
	}
	if overrides.MaxReservations > 0 {
		o.MaxReservations = overrides.MaxReservations
	}
	return scheduler.New(o)
}

// fifoSkip is how many jobs that do not fit the stronger FIFO baseline skips.
const fifoSkip = 64
