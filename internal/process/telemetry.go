package process

import (
	"io"
	"log/slog"
	"net/http"
	"os"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"laburnumgrade/internal/adapter/metrics"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/logging"
)

// Telemetry holds the logger and the metrics of a process.
type Telemetry struct {
	Logger *slog.Logger
	Scope  tally.Scope
	// Metrics serves the metrics at GET /metrics.
	Metrics http.Handler
	lines   *logging.BoundedWriter
	closer  io.Closer
}

// NewTelemetry returns the logger and the metrics of a process. The logger writes
// to standard output, at most maxLinesPerSecond lines; further lines are dropped
// and counted, those of frequent messages first.
func NewTelemetry(p config.Process, maxLinesPerSecond int) *Telemetry {
	scope, handler, closer := metrics.New(p.Name, p.DataCentre, metrics.ReportInterval)
	lines := logging.NewBoundedWriter(os.Stdout, maxLinesPerSecond)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	return &Telemetry{
		Logger:  logging.NewBounded(lines, p.Name, p.DataCentre, slog.LevelInfo),
		Scope:   scope,
		Metrics: mux,
		lines:   lines,
		closer:  closer,
	}
}

// Close stops the metrics and writes the queued log lines. If the metrics fail to
// stop, it returns the error without writing the lines.
func (t *Telemetry) Close() error {
	if err := t.closer.Close(); err != nil {
		return errors.Wrap(err, "close metrics")
	}
	return t.lines.Close()
}
