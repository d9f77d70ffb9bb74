package admin

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/intake"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/timeline"
)

// headerTimeout bounds how long a client may take to send its request header.
const headerTimeout = 5 * time.Second

// Options hold what the server serves. Only Timeline may be nil.
type Options struct {
	Metrics  http.Handler
	Timeline *timeline.Ring
	// Ready returns nil if the process accepts new work, or else the reason why
	// it does not. It is called concurrently.
	Ready  func() error
	Logger *slog.Logger
	// Intake bounds what the server receives.
	Intake httpserver.Options
}

// Server is the admin HTTP server.
type Server struct {
	server *httpserver.Server
	logger *slog.Logger
	closed chan struct{}
}

// Listen starts to listen on the address, over HTTP/1.1 only, and to answer requests; with port 0
// the operating system chooses a free port.
func Listen(address netip.AddrPort, options Options) (*Server, error) {
	o := options.Intake
	o.HeaderTimeout = headerTimeout
	o.HTTP2 = intake.HTTP2Limits{}
	server, err := httpserver.StartWithin(address.String(), Handler(options), o)
	if err != nil {
		return nil, port.AtStep("listen on admin address", "", err)
	}
	return &Server{server: server, logger: options.Logger, closed: make(chan struct{})}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.server.Address() }

// Serve returns when Close is called. It logs an error if the server stops for another reason.
func (s *Server) Serve() {
	select {
	case err := <-s.server.Failed():
		s.logger.Error("admin server stopped", logging.Step("admin"), logging.Error(err))
	case <-s.closed:
	}
}

// Close stops listening and waits for the requests in flight until the context
// ends.
func (s *Server) Close(ctx context.Context) error {
	close(s.closed)
	return port.AtStep("close admin server", "", s.server.Shutdown(ctx))
}

// Handler returns the handler of all admin paths.
func Handler(options Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", options.Metrics)
	mux.Handle("/timeline", timeline.Handler(options.Timeline))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, nil) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, options.Ready()) })
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

// writeHealth writes "ok" with status 200, or the error text with status 503.
func writeHealth(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(w, err)
		return
	}
	fmt.Fprintln(w, "ok")
}
