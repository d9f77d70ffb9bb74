package metrics

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// TestText guards against values that are lost, summed wrongly or not in the
// Prometheus text format: buckets must be cumulative and in ascending order,
// labels escaped, and a name must have one type.
func TestText(t *testing.T) {
	scope, handler, closer := New("entry-1", "Thiès", time.Hour)
	scope.Counter("calls").Inc(2)
	scope.Counter("calls").Inc(3)
	scope.Tagged(map[string]string{"team": `a"b\c` + "\n"}).Counter("calls").Inc(1)
	scope.Gauge("free.slots").Update(7.5)
	scope.Gauge("calls").Update(9)
	scope.Timer("sync").Record(1500 * time.Millisecond)
	scope.Timer("sync").Record(500 * time.Millisecond)
	buckets := tally.DurationBuckets{100 * time.Millisecond, 10 * time.Millisecond}
	wait := scope.Histogram("wait", buckets)
	for _, ms := range []time.Duration{5, 10, 50, 5000} {
		wait.RecordDuration(ms * time.Millisecond)
	}
	scope.Histogram("batch", tally.ValueBuckets{8}).RecordValue(3)
	// Closing the scope reports what is pending.
	assert.NilError(t, closer.Close())
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	body, err := io.ReadAll(recorder.Body)
	assert.NilError(t, err)
	text := string(body)
	const labels = `data_centre="Thiès",process="entry-1"`
	want := []string{
		"# TYPE lg_batch histogram",
		"lg_batch_bucket{" + labels + `,le="8"} 1`,
		"lg_batch_bucket{" + labels + `,le="+Inf"} 1`,
		"lg_batch_count{" + labels + "} 1",
		"# TYPE lg_calls counter",
		"lg_calls{" + labels + "} 5",
		"lg_calls{" + labels + `,team="a\"b\\c\n"} 1`,
		"# TYPE lg_calls_gauge gauge",
		"lg_calls_gauge{" + labels + "} 9",
		"# TYPE lg_free_slots gauge",
		"lg_free_slots{" + labels + "} 7.5",
		"# TYPE lg_sync_seconds summary",
		"lg_sync_seconds_sum{" + labels + "} 2",
		"lg_sync_seconds_count{" + labels + "} 2",
		"# TYPE lg_wait_seconds histogram",
		"lg_wait_seconds_bucket{" + labels + `,le="0.01"} 2`,
		"lg_wait_seconds_bucket{" + labels + `,le="0.1"} 3`,
		"lg_wait_seconds_bucket{" + labels + `,le="+Inf"} 4`,
		"lg_wait_seconds_count{" + labels + "} 4",
		"# TYPE go_goroutines gauge",
	}
	got := strings.Split(text, "\n")
	assert.DeepEqual(t, got[:len(want)], want)
	assert.Assert(t, strings.Contains(text, "process_cpu_seconds_total "))
}
