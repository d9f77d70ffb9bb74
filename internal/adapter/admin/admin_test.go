package admin

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/adapter/metrics"
	"laburnumgrade/internal/hlc"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/timeline"
)

// TestPaths guards against a path that is missing or answers with the wrong
// status. A load balancer must see a draining process as not ready but healthy.
func TestPaths(t *testing.T) {
	ring := timeline.NewRing(hlc.New(time.Now), "entry-1", "Patan", 64)
	ring.Record(timeline.Event{Kind: timeline.ProcessStarted})
	_, handler, closer := metrics.New("entry-1", "Patan", time.Hour)
	defer closer.Close()
	var draining atomic.Bool
	server, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), Options{
		Metrics: handler, Timeline: ring, Logger: logging.New(io.Discard, "entry-1", "Patan", slog.LevelInfo),
		Ready: func() error {
			if draining.Load() {
				return errors.New("draining")
			}
			return nil
		},
	})
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() { server.Serve(); close(done) }()
	tests := []struct {
		path     string
		draining bool
		status   int
		body     string
	}{
		{"/healthz", false, 200, "ok"},
		{"/readyz", false, 200, "ok"},
		{"/readyz", true, 503, "draining"},
		{"/healthz", true, 200, "ok"},
		{"/metrics", false, 200, "go_goroutines "},
		{"/timeline?kind=process_started", false, 200, `"kind":"process_started"`},
		{"/debug/pprof/goroutine?debug=1", false, 200, "goroutine profile"},
		{"/other", false, 404, ""},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			draining.Store(test.draining)
			response, err := http.Get("http://" + server.Address() + test.path)
			assert.NilError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status)
			assert.Assert(t, strings.Contains(string(body), test.body), string(body))
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, server.Close(ctx))
	<-done
}

// TestAddressInUse guards against an error that does not say which listener
// failed when the address is already in use.
func TestAddressInUse(t *testing.T) {
	options := Options{Metrics: http.NotFoundHandler()}
	first, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), options)
	assert.NilError(t, err)
	defer first.Close(t.Context())
	_, err = Listen(netip.MustParseAddrPort(first.Address()), options)
	assert.ErrorContains(t, err, "listen on admin address")
}
