package metrics

import (
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// Types of metrics in the Prometheus text format.
const (
	typeCounter   = "counter"
	typeGauge     = "gauge"
	typeSummary   = "summary"
	typeHistogram = "histogram"
)

// reporter keeps the values that tally reports. Allocating a metric takes the
// lock; reporting a value is one atomic operation.
type reporter struct {
	mu       sync.Mutex
	families map[string]*family
}

// family holds the series of one name.
type family struct {
	name   string
	kind   string
	series map[string]*series
}

// series is one metric with its labels.
type series struct {
	// labels are rendered: `a="x",b="y"`.
	labels string
	// count is a counter's value, or the number of a timer's samples.
	count atomic.Int64
	// bits is a gauge's value.
	bits atomic.Uint64
	// sum is the total of a timer's samples in nanoseconds.
	sum     atomic.Int64
	buckets []*bucket
}

// bucket counts a histogram's samples up to an upper bound.
type bucket struct {
	upper float64
	count atomic.Int64
}

// newReporter returns an empty reporter.
func newReporter() *reporter { return &reporter{families: map[string]*family{}} }

// Capabilities implements tally.BaseStatsReporter.
func (r *reporter) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *reporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *reporter) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter.
func (r *reporter) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return counter{r.allocate(name, typeCounter, tags)}
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return gauge{r.allocate(name, typeGauge, tags)}
}

// AllocateTimer implements tally.CachedStatsReporter. A timer is served as a
// summary in seconds without quantiles; use a histogram for those.
func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return timer{r.allocate(name+"_seconds", typeSummary, tags)}
}

// AllocateHistogram implements tally.CachedStatsReporter. Duration buckets are
// served in seconds.
func (r *reporter) AllocateHistogram(name string, tags map[string]string, buckets tally.Buckets) tally.CachedHistogram {
	if _, ok := buckets.(tally.DurationBuckets); ok {
		name += "_seconds"
	}
	return histogram{r, r.allocate(name, typeHistogram, tags)}
}

// allocate returns the series of a name and labels. A name in use with another
// type gets the type as a suffix, because a family has one type.
func (r *reporter) allocate(name, kind string, tags map[string]string) *series {
	r.mu.Lock()
	defer r.mu.Unlock()
	name = sanitize(name)
	f := r.families[name]
	if f != nil && f.kind != kind {
		name += "_" + kind
		f = r.families[name]
	}
	if f == nil {
		f = &family{name: name, kind: kind, series: map[string]*series{}}
		r.families[name] = f
	}
	labels := renderLabels(tags)
	s := f.series[labels]
	if s == nil {
		s = &series{labels: labels}
		f.series[labels] = s
	}
	return s
}

// sanitize replaces what a metric or label name may not have.
func sanitize(name string) string {
	clean := strings.Map(func(c rune) rune {
		valid := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_'
		if !valid {
			return '_'
		}
		return c
	}, name)
	if clean == "" || clean[0] >= '0' && clean[0] <= '9' {
		return "_" + clean
	}
	return clean
}

// labelEscaper escapes label values as the text format asks.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// renderLabels returns the labels in the order of their names.
func renderLabels(tags map[string]string) string {
	parts := make([]string, 0, len(tags))
	for name, value := range tags {
		parts = append(parts, sanitize(name)+`="`+labelEscaper.Replace(value)+`"`)
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}

type counter struct{ s *series }

// ReportCount implements tally.CachedCount.
func (c counter) ReportCount(value int64) { c.s.count.Add(value) }

type gauge struct{ s *series }

// ReportGauge implements tally.CachedGauge.
func (g gauge) ReportGauge(value float64) { g.s.bits.Store(math.Float64bits(value)) }

type timer struct{ s *series }

// ReportTimer implements tally.CachedTimer.
func (t timer) ReportTimer(interval time.Duration) {
	t.s.count.Add(1)
	t.s.sum.Add(int64(interval))
}

type histogram struct {
	r *reporter
	s *series
}

// ValueBucket implements tally.CachedHistogram.
func (h histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	return h.bucket(upper)
}

// DurationBucket implements tally.CachedHistogram.
func (h histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return h.bucket(math.Inf(1))
	}
	return h.bucket(upper.Seconds())
}

// bucket returns the bucket with an upper bound.
func (h histogram) bucket(upper float64) *bucket {
	h.r.mu.Lock()
	defer h.r.mu.Unlock()
	for _, b := range h.s.buckets {
		if b.upper == upper {
			return b
		}
	}
	b := &bucket{upper: upper}
	h.s.buckets = append(h.s.buckets, b)
	slices.SortFunc(h.s.buckets, func(a, b *bucket) int { return int(math.Copysign(1, a.upper-b.upper)) })
	return b
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b *bucket) ReportSamples(value int64) { b.count.Add(value) }
