package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

// prefix starts the name of every metric of the system.
const prefix = "lg"

// ReportInterval is how far served values may lag behind.
const ReportInterval = time.Second

// New returns the root scope of a process, the handler that serves its values,
// and what stops the reporting. The tags of every metric are the process and
// its data centre.
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
