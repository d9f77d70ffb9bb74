package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"laburnumgrade/gen/apiv1"
)

// meter holds the metrics of an entry.
type meter struct {
	calls       map[apiv1.Outcome]tally.Counter
	call        tally.Histogram
	forwarded   tally.Counter
	submissions tally.Counter
	refusals    tally.Counter
}

// callBuckets are upper bounds of durations from 0.5 ms to 8 s.
var callBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 15)

// outcomeLabels are the values of the label outcome.
var outcomeLabels = map[apiv1.Outcome]string{
	apiv1.Outcome_OUTCOME_OK: "ok", apiv1.Outcome_OUTCOME_NOT_RUN: "not_run",
	apiv1.Outcome_OUTCOME_FAILED: "failed", apiv1.Outcome_OUTCOME_UNKNOWN: "unknown",
}

func newMeter(scope tally.Scope) *meter {
	if scope == nil {
		scope = tally.NoopScope
	}
	m := &meter{
		calls:       map[apiv1.Outcome]tally.Counter{},
		call:        scope.Histogram("call_seconds", callBuckets),
		forwarded:   scope.Counter("calls_forwarded"),
		submissions: scope.Counter("job_submissions"),
		refusals:    scope.Counter("job_refusals"),
	}
	for outcome, label := range outcomeLabels {
		m.calls[outcome] = scope.Tagged(map[string]string{"outcome": label}).Counter("calls")
	}
	return m
}

// called counts an answered call.
func (m *meter) called(outcome apiv1.Outcome, took time.Duration) {
	if c, known := m.calls[outcome]; known {
		c.Inc(1)
	}
	m.call.RecordDuration(took)
}

// submitted counts a submission and whether it was refused or failed.
func (m *meter) submitted(err error) {
	m.submissions.Inc(1)
	if err != nil {
		m.refusals.Inc(1)
	}
}
