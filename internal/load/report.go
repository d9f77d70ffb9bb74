package load

import (
	"fmt"
	"io"
	"time"

	"laburnumgrade/gen/apiv1"
)

// Report is what a stream measured. Times are in ms, of what ended well, from
// the planned time.
type Report struct {
	Name      string  `json:"name"`
	Sent      int64   `json:"sent"`
	PerSecond float64 `json:"per_second"`
	OK        int64   `json:"ok"`
	NotRun    int64   `json:"not_run"`
	Failed    int64   `json:"failed"`
	Unknown   int64   `json:"unknown"`
	Errors    int64   `json:"errors"`
	// LastFault is one of the errors or of the reasons of other outcomes than OK.
	LastFault string  `json:"last_fault,omitempty"`
	P50       float64 `json:"p50_ms"`
	P90       float64 `json:"p90_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
	Max       float64 `json:"max_ms"`
	// SendLateP99 is how late this tool itself was in sending.
	SendLateP99 float64 `json:"send_late_p99_ms"`
}

func (r *recorder) report(name string, d time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := func(q float64) float64 { return float64(r.times.ValueAtQuantile(q)) / 1000 }
	return Report{
		Name: name, Sent: r.sent, PerSecond: float64(r.sent) / d.Seconds(),
		OK: r.outcomes[apiv1.Outcome_OUTCOME_OK], NotRun: r.outcomes[apiv1.Outcome_OUTCOME_NOT_RUN],
		Failed:  r.outcomes[apiv1.Outcome_OUTCOME_FAILED] + r.outcomes[apiv1.Outcome_OUTCOME_CANCELLED],
		Unknown: r.outcomes[apiv1.Outcome_OUTCOME_UNKNOWN], Errors: r.errors, LastFault: r.last,
		P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(r.times.Max()) / 1000,
		SendLateP99: float64(r.late.ValueAtQuantile(99)) / 1000,
	}
}

// Result is the outcome of a run of the tool.
type Result struct {
	// Direct is the same load sent straight to instances; nil if not measured.
	Direct  *Report  `json:"direct,omitempty"`
	Streams []Report `json:"streams"`
	// EntryShareP99 is the p99 of the calls through the entry less that of the
	// direct ones, in ms.
	EntryShareP99 *float64 `json:"entry_share_p99_ms,omitempty"`
}

// Print writes the result as text.
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
