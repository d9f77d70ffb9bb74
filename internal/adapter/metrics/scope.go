package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

// prefix starts the name of every metric that is reported through a scope.
const prefix = "lg"

// ReportInterval is the interval at which a scope reports its values, and so
// the longest time by which served values lag behind.
const ReportInterval = time.Second

// New returns the root scope of a process, the handler that serves its values,
// and a closer that reports the pending values and stops the reporting. Every
// metric is tagged with the process and its data centre.
func New(process, dataCentre string, interval time.Duration) (tally.Scope, http.Handler, io.Closer) {
	reporter := newReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Separator:              "_",
		Tags:                   map[string]string{"process": process, "data_centre": dataCentre},
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, interval)
	return scope, reporter, closer
}
