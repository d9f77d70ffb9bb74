package httpserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// readHeaderTimeout bounds how long a client may take to send its headers.
	readHeaderTimeout = 10 * time.Second
	// abandonTime is what handlers have to answer once their context has ended.
	abandonTime = 500 * time.Millisecond
)

// Server is a listening HTTP/1.1 and h2c server.
type Server struct {
	server   *http.Server
	listener net.Listener
	failed   chan error
	abandon  context.CancelFunc
	draining atomic.Bool
	// active holds the requests in progress, as *http.Request.
	active sync.Map
}

// Start listens on the address, an IP number and a port, and serves.
func Start(address string, handler http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	base, abandon := context.WithCancel(context.Background())
	s := &Server{listener: l, failed: make(chan error, 1), abandon: abandon}
	s.server = &http.Server{
		Handler: s.track(handler), Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return base },
	}
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.failed <- errors.Wrapf(err, "serve on %s", s.listener.Addr())
	}
}

// track notes the requests in progress and asks clients to leave in a drain.
func (s *Server) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.active.Store(r, struct{}{})
		defer s.active.Delete(r)
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Failed returns the error of a server that stopped by itself.
func (s *Server) Failed() <-chan error { return s.failed }

// Drain asks the clients to use other connections, with each answer. A client
// that was told so does not send a request into a connection that is being
// closed.
func (s *Server) Drain() { s.draining.Store(true) }

// AbandonedError says which requests were in progress when the time for a
// shutdown ended.
type AbandonedError struct {
	// Requests holds their number by path.
	Requests map[string]int64
}

// Error implements error.
func (e *AbandonedError) Error() string {
	return fmt.Sprintf("requests abandoned at shutdown: %v", e.Requests)
}

// Shutdown stops listening and waits for the requests in progress. When the
// context ends first, the contexts of the requests are ended so that they are
// answered with an error, and the error is an *AbandonedError.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	defer s.abandon()
	err := s.server.Shutdown(ctx)
	if err == nil || ctx.Err() == nil {
		return errors.Wrap(err, "shut down HTTP server")
	}
	abandoned := &AbandonedError{Requests: s.inProgress()}
	s.abandon()
	last, cancel := context.WithTimeout(context.Background(), abandonTime)
	defer cancel()
	if err := s.server.Shutdown(last); err != nil {
		_ = s.server.Close()
	}
	return abandoned
}

func (s *Server) inProgress() map[string]int64 {
	counts := map[string]int64{}
	s.active.Range(func(r, _ any) bool {
		counts[r.(*http.Request).URL.Path]++
		return true
	})
	return counts
}
