package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

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
}

// Server is the admin HTTP server.
type Server struct {
	http     *http.Server
	listener net.Listener
	logger   *slog.Logger
}

// Listen starts to listen on the address; with port 0 the operating system
// chooses a free port. Requests are answered once Serve is called.
func Listen(address netip.AddrPort, options Options) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, port.AtStep("listen on admin address", "", err)
	}
	server := &http.Server{Handler: Handler(options), ReadHeaderTimeout: headerTimeout}
	return &Server{http: server, listener: listener, logger: options.Logger}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers requests until Close is called. It logs an error if the server
// stops for another reason.
func (s *Server) Serve() {
	err := s.http.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("admin server stopped", logging.Step("admin"), logging.Error(err))
	}
}

// Close stops listening and waits for the requests in flight until the context
// ends.
func (s *Server) Close(ctx context.Context) error {
	return port.AtStep("close admin server", "", s.http.Shutdown(ctx))
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
