package load

import (
	"fmt"
	"io"
	"time"

	"laburnumgrade/gen/apiv1"
)

// Report holds the measurements of a stream. Latencies are in ms from the planned
// time, of calls and jobs with outcome OK only.
type Report struct {
	Name      string  `json:"name"`
	Sent      int64   `json:"sent"`
	PerSecond float64 `json:"per_second"`
	OK        int64   `json:"ok"`
	NotRun    int64   `json:"not_run"`
	Failed    int64   `json:"failed"`
	Unknown   int64   `json:"unknown"`
	Errors    int64   `json:"errors"`
	// LastFault is the last error, or the reason of the last outcome other than OK,
	// whichever was recorded later.
	LastFault string  `json:"last_fault,omitempty"`
	P50       float64 `json:"p50_ms"`
	P90       float64 `json:"p90_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
	Max       float64 `json:"max_ms"`
	// SendLateP99 is the p99 of the delay, in ms, with which the load generator itself
	// sent after the planned time. A large value means that it was overloaded.
	SendLateP99 float64 `json:"send_late_p99_ms"`
}

// report returns the report of a stream that was measured for a duration.
func (r *recorder) report(name string, duration time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	latencyMs := func(percentile float64) float64 { return float64(r.latencies.ValueAtQuantile(percentile)) / 1000 }
	return Report{
		Name:        name,
		Sent:        r.sent,
		PerSecond:   float64(r.sent) / duration.Seconds(),
		OK:          r.outcomes[apiv1.Outcome_OUTCOME_OK],
		NotRun:      r.outcomes[apiv1.Outcome_OUTCOME_NOT_RUN],
		Failed:      r.outcomes[apiv1.Outcome_OUTCOME_FAILED] + r.outcomes[apiv1.Outcome_OUTCOME_CANCELLED],
		Unknown:     r.outcomes[apiv1.Outcome_OUTCOME_UNKNOWN],
		Errors:      r.errors,
		LastFault:   r.lastFault,
		P50:         latencyMs(50),
		P90:         latencyMs(90),
		P99:         latencyMs(99),
		P999:        latencyMs(99.9),
		Max:         float64(r.latencies.Max()) / 1000,
		SendLateP99: float64(r.sendDelays.ValueAtQuantile(99)) / 1000,
	}
}

// Result holds the reports of one run of lg-load.
type Result struct {
	// Direct is the report of calls sent to the instances without an entry; nil if
	// there were none.
	Direct  *Report  `json:"direct,omitempty"`
	Streams []Report `json:"streams"`
	// EntryShareP99 is the p99 of the calls through the entry minus the p99 of the
	// direct calls, in ms; nil without direct calls.
	EntryShareP99 *float64 `json:"entry_share_p99_ms,omitempty"`
}

// Print writes the result as a table.
func (r *Result) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%-28s %8s %8s %8s %8s %7s %7s %7s %8s %8s %8s %8s %9s\n", "stream", "sent", "/s", "ok", "not run", "failed", "unknown", "errors", "p50 ms", "p90 ms", "p99 ms", "max ms", "late p99"); err != nil {
		return err
	}
	all := r.Streams
	if r.Direct != nil {
		all = append([]Report{*r.Direct}, all...)
	}
	for _, s := range all {
		_, err := fmt.Fprintf(w, "%-28s %8d %8.0f %8d %8d %7d %7d %7d %8.2f %8.2f %8.2f %8.2f %9.2f\n",
			s.Name, s.Sent, s.PerSecond, s.OK, s.NotRun, s.Failed, s.Unknown, s.Errors, s.P50, s.P90, s.P99, s.Max, s.SendLateP99)
		if err != nil {
			return err
		}
		if s.LastFault != "" {
			if _, err := fmt.Fprintf(w, "  last fault: %s\n", s.LastFault); err != nil {
				return err
			}
		}
	}
	if r.EntryShareP99 == nil {
		return nil
	}
	_, err := fmt.Fprintf(w, "p99 through the entry %.2f ms, direct %.2f ms: the entry's share is %.2f ms\n", r.Streams[0].P99, r.Direct.P99, *r.EntryShareP99)
	return err
}
