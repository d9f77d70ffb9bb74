package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// readHeaderTimeout bounds how long a client may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// Server is a listening HTTP/1.1 and h2c server.
type Server struct {
	server   *http.Server
	listener net.Listener
	failed   chan error
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
	s := &Server{
		server:   &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout},
		listener: l,
		failed:   make(chan error, 1),
	}
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.failed <- errors.Wrapf(err, "serve on %s", s.listener.Addr())
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Failed returns the error of a server that stopped by itself.
func (s *Server) Failed() <-chan error { return s.failed }

// Shutdown stops listening and waits for the requests in progress until the
// context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.server.Shutdown(ctx), "shut down HTTP server")
}
