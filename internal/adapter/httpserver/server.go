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

	"laburnumgrade/internal/descriptor"
	"laburnumgrade/internal/intake"
)

const (
	// abandonTimeout is how long handlers may take to answer once their contexts
	// were cancelled at the end of a shutdown.
	abandonTimeout = 500 * time.Millisecond
	// closedIdleDivisor sets how many idle connections a full server closes at a time, one
	// in closedIdleDivisor of those that it may have.
	closedIdleDivisor = 16
	// maxFrameBytes is the least that the protocol allows. net/http keeps a buffer of the size of the
	// largest frame for each connection; its default is 1 MiB.
	maxFrameBytes = 16 << 10
)

// Options are the options of a server.
type Options struct {
	intake.Limits
	// Part bounds the connections, nil for no bound. While it is full, the server closes those
	// that were idle the longest.
	Part *descriptor.Part
	// Budget bounds the memory of requests that were not yet answered, nil for no bound. The server
	// charges their heads; handlers charge bodies with intake.ReadBody.
	Budget *intake.Budget
	// Internal is set for a server of the system's own processes. Its connections are not closed
	// to make room for others, and the heads of its requests are not charged.
	Internal bool
	// HTTP2 bounds the connections that use HTTP/2 without TLS (h2c); the zero value if the server
	// serves HTTP/1.1 only.
	HTTP2 intake.HTTP2Limits
}

// Server is an HTTP server for HTTP/1.1 and, if its options say so, HTTP/2 without TLS.
type Server struct {
	server   *http.Server
	listener net.Listener
	failed   chan error
	// abandon cancels the contexts of all requests.
	abandon  context.CancelFunc
	draining atomic.Bool
	// inFlight is the set of requests in flight; its keys are *http.Request.
	inFlight sync.Map
}

// Start listens on the address (IP address and port) and serves requests in the
// background, over HTTP/2 without TLS as well. It closes no idle connections.
func Start(address string, handler http.Handler) (*Server, error) {
	limits := intake.DefaultLimits
	limits.IdleTimeout = 0
	return StartWithin(address, handler, Options{Limits: limits, HTTP2: intake.DefaultHTTP2Limits})
}

// StartWithin is Start with options.
func StartWithin(address string, handler http.Handler, o Options) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	l = &listener{Listener: o.Part.Listen(l), options: &o}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(o.HTTP2.MaxStreams > 0)
	base, abandon := context.WithCancel(context.Background())
	s := &Server{listener: l, failed: make(chan error, 1), abandon: abandon}
	s.server = &http.Server{
		Handler: s.track(receive(handler)), Protocols: protocols,
		MaxHeaderBytes: o.MaxHeaderBytes, ReadHeaderTimeout: o.HeaderTimeout, IdleTimeout: o.IdleTimeout,
		BaseContext: func(net.Listener) context.Context { return base }, ConnContext: withConn, ConnState: observe,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: o.HTTP2.MaxStreams, MaxReadFrameSize: maxFrameBytes,
			MaxReceiveBufferPerConnection: o.HTTP2.WindowBytes, MaxReceiveBufferPerStream: o.HTTP2.WindowBytes,
			SendPingTimeout: o.BodyTimeout, WriteByteTimeout: o.WriteTimeout,
		},
	}
	if o.Part != nil {
		idle := newIdleConnections()
		s.server.ConnState = func(c net.Conn, state http.ConnState) {
			observe(c, state)
			idle.observe(c, state)
		}
		o.Part.OnFull(func() { idle.closeOldest(max(1, o.Part.Size()/closedIdleDivisor)) })
	}
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.failed <- errors.Wrapf(err, "serve on %s", s.listener.Addr())
	}
}

// track records the requests in flight. While the server drains, it asks
// clients to close their connections.
func (s *Server) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Store(r, struct{}{})
		defer s.inFlight.Delete(r)
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Failed returns a channel that receives the error if the server stops without
// a call of Shutdown.
func (s *Server) Failed() <-chan error { return s.failed }

// Drain makes each response ask its client to close the connection. Clients
// then do not send requests on connections that Shutdown is about to close.
func (s *Server) Drain() { s.draining.Store(true) }

// AbandonedError reports the requests that were still in flight when the
// context of a shutdown ended.
type AbandonedError struct {
	// Requests is the number of these requests by URL path.
	Requests map[string]int64
}

// Error implements error.
func (e *AbandonedError) Error() string {
	return fmt.Sprintf("requests abandoned at shutdown: %v", e.Requests)
}

// Shutdown stops listening and waits for the requests in flight. If the context
// ends first, the contexts of these requests are cancelled so that they are
// answered with an error, and Shutdown returns an *AbandonedError.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	defer s.abandon()
	err := s.server.Shutdown(ctx)
	if err == nil || ctx.Err() == nil {
		return errors.Wrap(err, "shut down HTTP server")
	}
	abandoned := &AbandonedError{Requests: s.inFlightByPath()}
	s.abandon()
	final, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	if err := s.server.Shutdown(final); err != nil {
		_ = s.server.Close()
	}
	return abandoned
}

func (s *Server) inFlightByPath() map[string]int64 {
	counts := map[string]int64{}
	s.inFlight.Range(func(r, _ any) bool {
		counts[r.(*http.Request).URL.Path]++
		return true
	})
	return counts
}
