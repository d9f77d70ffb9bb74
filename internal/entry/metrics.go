package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"laburnumgrade/gen/apiv1"
)

// metrics holds the metrics of an entry.
type metrics struct {
	calls        map[apiv1.Outcome]tally.Counter
	callDuration tally.Histogram
	forwarded    tally.Counter
	submissions  tally.Counter
	refusals     tally.Counter
}

// callBuckets are upper bounds of durations from 0.5 ms to 8 s.
var callBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 15)

// outcomeLabels holds the values of the label outcome.
var outcomeLabels = map[apiv1.Outcome]string{
	apiv1.Outcome_OUTCOME_OK: "ok", apiv1.Outcome_OUTCOME_NOT_RUN: "not_run",
	apiv1.Outcome_OUTCOME_FAILED: "failed", apiv1.Outcome_OUTCOME_UNKNOWN: "unknown",
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	m := &metrics{
		calls:        map[apiv1.Outcome]tally.Counter{},
		callDuration: scope.Histogram("call_seconds", callBuckets),
		forwarded:    scope.Counter("calls_forwarded"),
		submissions:  scope.Counter("job_submissions"),
		refusals:     scope.Counter("job_refusals"),
	}
	for outcome, label := range outcomeLabels {
		m.calls[outcome] = scope.Tagged(map[string]string{"outcome": label}).Counter("calls")
	}
	return m
}

// recordCall counts an answered call and records its duration.
func (m *metrics) recordCall(outcome apiv1.Outcome, took time.Duration) {
	if c, known := m.calls[outcome]; known {
		c.Inc(1)
	}
	m.callDuration.RecordDuration(took)
}

// recordSubmission counts the submission of a job, and its refusal or failure if err
// is not nil.
func (m *metrics) recordSubmission(err error) {
	m.submissions.Inc(1)
	if err != nil {
		m.refusals.Inc(1)
	}
}
