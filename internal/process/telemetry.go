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

// Telemetry is what a process of a cell writes and measures.
type Telemetry struct {
	Logger *slog.Logger
	Scope  tally.Scope
	// Metrics serves the metrics.
	Metrics http.Handler
	lines   *logging.BoundedWriter
	closer  io.Closer
}

// NewTelemetry returns the base of a process that logs at most maxLines lines a second to
// standard output.
func NewTelemetry(p config.Process, maxLines int) *Telemetry {
	scope, handler, closer := metrics.New(p.Name, p.DataCentre, metrics.ReportInterval)
	lines := logging.NewBoundedWriter(os.Stdout, maxLines)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	return &Telemetry{
		Logger: logging.New(lines, p.Name, p.DataCentre, slog.LevelInfo), Scope: scope, Metrics: mux,
		lines: lines, closer: closer,
	}
}

// Close writes what is queued and stops the metrics.
func (b *Telemetry) Close() error {
	if err := b.closer.Close(); err != nil {
		return errors.Wrap(err, "close metrics")
	}
	return b.lines.Close()
}
