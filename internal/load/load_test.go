package load

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
)

// TestNoCoordinatedOmission guards against measurements that omit the work planned
// while a slow answer is awaited: a stall of the service must show in the latency of
// everything planned during the stall.
func TestNoCoordinatedOmission(t *testing.T) {
	began := time.Now()
	const stall = 300 * time.Millisecond
	send := func(context.Context) (apiv1.Outcome, string, error) {
		if left := stall - time.Since(began); left > 0 {
			time.Sleep(left)
		}
		return apiv1.Outcome_OUTCOME_OK, "", nil
	}
	r := Run(context.Background(), Plan{Duration: 600 * time.Millisecond, Rounds: 1, Seed: 1}, []Stream{{Name: "s", Rate: 500, Send: send}})[0][0]
	assert.Assert(t, r.Sent > 200 && r.OK == r.Sent, "%+v", r)
	assert.Assert(t, r.P90 > 100, "half of the arrivals were planned during the stall: %+v", r)
}

// TestReportCounts guards against errors and refusals that are counted as OK, and
// against work of the warm-up that is counted.
func TestReportCounts(t *testing.T) {
	var sends atomic.Int64
	send := func(context.Context) (apiv1.Outcome, string, error) {
		switch sends.Add(1) % 3 {
		case 0:
			return 0, "", errors.New("no connection")
		case 1:
			return apiv1.Outcome_OUTCOME_NOT_RUN, "not run: full", nil
		}
		return apiv1.Outcome_OUTCOME_OK, "", nil
	}
	r := Run(context.Background(), Plan{Warmup: 100 * time.Millisecond, Duration: 100 * time.Millisecond, Rounds: 1, Seed: 1}, []Stream{{Name: "s", Rate: 1000, Send: send}})[0][0]
	assert.Equal(t, r.OK+r.NotRun+r.Errors, r.Sent)
	assert.Assert(t, r.LastFault != "")
	assert.Assert(t, r.Sent < sends.Load())
	assert.Assert(t, r.OK > 0 && r.NotRun > 0 && r.Errors > 0)
}
