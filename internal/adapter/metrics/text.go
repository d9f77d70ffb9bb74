package metrics

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// contentType is the media type of the Prometheus text format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// ServeHTTP implements http.Handler. It serves all values in the Prometheus
// text format.
func (r *reporter) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", contentType)
	// A write fails only if the client has disconnected.
	_, _ = w.Write(r.render())
}

// render returns the text of all families, sorted by name, and of the process
// metrics.
func (r *reporter) render() []byte {
	var out bytes.Buffer
	r.mu.Lock()
	for _, name := range slices.Sorted(maps.Keys(r.families)) {
		f := r.families[name]
		fmt.Fprintf(&out, "# TYPE %s %s\n", name, f.kind)
		for _, labels := range slices.Sorted(maps.Keys(f.series)) {
			f.write(&out, f.series[labels])
		}
	}
	r.mu.Unlock()
	writeProcessMetrics(&out)
	return out.Bytes()
}

// write writes the samples of one series.
func (f *family) write(out *bytes.Buffer, s *series) {
	switch f.kind {
	case typeCounter:
		writeSample(out, f.name, s.labels, float64(s.count.Load()))
	case typeGauge:
		writeSample(out, f.name, s.labels, math.Float64frombits(s.gaugeBits.Load()))
	case typeSummary:
		writeSample(out, f.name+"_sum", s.labels, time.Duration(s.sumNanoseconds.Load()).Seconds())
		writeSample(out, f.name+"_count", s.labels, float64(s.count.Load()))
	case typeHistogram:
		f.writeBuckets(out, s)
	}
}

// writeBuckets writes the samples of a histogram. There is no _sum because
// tally reports only the number of samples in each bucket.
func (f *family) writeBuckets(out *bytes.Buffer, s *series) {
	total := int64(0)
	for _, b := range s.buckets {
		total += b.count.Load()
		le := fmt.Sprintf(`le="%s"`, formatValue(b.upperBound))
		writeSample(out, f.name+"_bucket", strings.TrimPrefix(s.labels+","+le, ","), float64(total))
	}
	writeSample(out, f.name+"_count", s.labels, float64(total))
}

// writeSample writes one line with a name, its labels and a value.
func writeSample(out *bytes.Buffer, name, labels string, value float64) {
	out.WriteString(name)
	if labels != "" {
		out.WriteString("{" + labels + "}")
	}
	out.WriteString(" " + formatValue(value) + "\n")
}

// formatValue returns a value in the notation of the text format.
func formatValue(value float64) string {
	if math.IsInf(value, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(value, 'g', -1, 64)
}
