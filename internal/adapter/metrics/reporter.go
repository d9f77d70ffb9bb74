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

// Types of metric families in the Prometheus text format.
const (
	typeCounter   = "counter"
	typeGauge     = "gauge"
	typeSummary   = "summary"
	typeHistogram = "histogram"
)

// reporter is a tally.CachedStatsReporter that keeps the reported values in
// memory. Allocating a metric takes the lock; reporting a value uses atomic
// operations only.
type reporter struct {
	mu       sync.Mutex
	families map[string]*family
}

// family holds the series of one metric name.
type family struct {
	name string
	// kind is the type in the text format, such as typeCounter.
	kind   string
	series map[string]*series // by rendered labels
}

// series is one metric with its labels.
type series struct {
	// labels are in the text format: `a="x",b="y"`.
	labels string
	// count is the value of a counter, or the number of samples of a timer.
	count atomic.Int64
	// gaugeBits is the value of a gauge as math.Float64bits.
	gaugeBits atomic.Uint64
	// sumNanoseconds is the sum of the samples of a timer.
	sumNanoseconds atomic.Int64
	buckets        []*bucket
}

// bucket counts the samples of a histogram between the bound of the bucket
// before and its own upper bound.
type bucket struct {
	upperBound float64
	count      atomic.Int64
}

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
// summary in seconds without quantiles; use a histogram if quantiles are
// needed.
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

// allocate returns the series for a name and tags, and creates it if it does
// not exist. If the name is in use with another type, the type is appended to
// it, because all series of a name have one type in the text format.
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

// sanitize replaces characters that are not allowed in the name of a metric or
// label by underscores.
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

// labelEscaper escapes label values as the text format requires.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// renderLabels returns the tags as labels in the text format, sorted by name.
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
func (g gauge) ReportGauge(value float64) { g.s.gaugeBits.Store(math.Float64bits(value)) }

type timer struct{ s *series }

// ReportTimer implements tally.CachedTimer.
func (t timer) ReportTimer(interval time.Duration) {
	t.s.count.Add(1)
	t.s.sumNanoseconds.Add(int64(interval))
}

type histogram struct {
	r *reporter
	s *series
}

// ValueBucket implements tally.CachedHistogram.
func (h histogram) ValueBucket(_, upperBound float64) tally.CachedHistogramBucket {
	if upperBound == math.MaxFloat64 {
		upperBound = math.Inf(1)
	}
	return h.bucket(upperBound)
}

// DurationBucket implements tally.CachedHistogram.
func (h histogram) DurationBucket(_, upperBound time.Duration) tally.CachedHistogramBucket {
	if upperBound == math.MaxInt64 {
		return h.bucket(math.Inf(1))
	}
	return h.bucket(upperBound.Seconds())
}

// bucket returns the bucket with the upper bound, and creates it if it does not
// exist.
func (h histogram) bucket(upperBound float64) *bucket {
	h.r.mu.Lock()
	defer h.r.mu.Unlock()
	for _, b := range h.s.buckets {
		if b.upperBound == upperBound {
			return b
		}
	}
	b := &bucket{upperBound: upperBound}
	h.s.buckets = append(h.s.buckets, b)
	slices.SortFunc(h.s.buckets, func(a, b *bucket) int { return int(math.Copysign(1, a.upperBound-b.upperBound)) })
	return b
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b *bucket) ReportSamples(value int64) { b.count.Add(value) }
