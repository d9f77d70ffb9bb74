package httpserver

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"laburnumgrade/internal/intake"
)

const (
	// bytesPerStream is the memory of a stream beside its head and body that is charged. A stream
	// that waits for its body takes 14 kB, measured with 900 on a connection; most of it is for its
	// goroutine and buffers, which are not charged for a request over HTTP/1 either.
	bytesPerStream = 2 << 10
	// retryAfterSeconds is the value of Retry-After in the response to a refused stream.
	retryAfterSeconds = 1
)

// stream is a request over HTTP/2. Its account is charged like that of a connection.
type stream struct {
	account    *intake.Account
	controller *http.ResponseController
	limits     *intake.Limits
	backlog    *backlog
	// timer ends the stream when no byte of the body arrives in time, nil if that is not limited.
	timer *time.Timer

	mu sync.Mutex
	// complete is set once the request was received completely, writing while a part of the response
	// is written, served once the handler has returned, ended once the stream is to be reset.
	complete, writing, served, ended bool
}

// serveStream serves a request over HTTP/2. The stream is reset if it is closed to make room for
// others, or no byte of its body arrives in time; other streams of the connection continue.
func (c *conn) serveStream(w http.ResponseWriter, r *http.Request, next http.Handler) {
	s := &stream{controller: http.NewResponseController(w), limits: &c.options.Limits, backlog: c.announced.backlog}
	s.account = c.options.Budget.Open(s.end, c.options.Internal)
	defer s.account.Close()
	defer s.leave()
	s.account.Progress()
	var err error
	if !c.options.Internal {
		err = s.account.Charge(bytesPerStream + headBytes(r))
	}
	c.announced.started()
	if err != nil {
		if s.isEnded() {
			panic(http.ErrAbortHandler)
		}
		// Without a body, which might wait for a client that does not read.
		w.Header().Set("Content-Length", "0")
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// A copy, because net/http uses its own request after the handler.
	served := r.WithContext(intake.NewContext(r.Context(), s.account))
	if r.Body == http.NoBody {
		s.received(0, true)
	} else {
		served.Body = &streamBody{r.Body, s}
		if timeout := s.limits.BodyTimeout; timeout > 0 {
			s.timer = time.AfterFunc(timeout, s.end)
			defer s.timer.Stop()
		}
	}
	writer := &streamWriter{ResponseWriter: w, stream: s}
	next.ServeHTTP(writer, served)
	if writer.wrote && !s.isEnded() {
		writer.Flush() // net/http would do it after the account is closed
	}
	if s.isEnded() {
		panic(http.ErrAbortHandler) // net/http resets the stream
	}
}

// headBytes returns the memory of the head of a request.
func headBytes(r *http.Request) int64 {
	n := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + bytesPerHeaderLine
		}
	}
	return int64(n)
}

// end makes reads of the body and writes of the response fail, and the stream be reset once the
// handler has returned. A request that was received completely and not yet answered goes on.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.served || s.ended || (s.complete && !s.writing) {
		return
	}
	s.ended = true
	s.backlog.streams.Add(1)
	// With a time in the past, they fail at once. Setting it cannot fail over HTTP/2.
	past := time.Unix(1, 0)
	if s.writing {
		_ = s.controller.SetWriteDeadline(past)
	} else {
		_ = s.controller.SetReadDeadline(past)
	}
}

// leave records that the handler has returned.
func (s *stream) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served = true
	if s.ended {
		s.backlog.streams.Add(-1)
	}
}

func (s *stream) isEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// streamBody is the body of a stream. It is read by one goroutine.
type streamBody struct {
	io.ReadCloser
	stream *stream
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.stream.received(n, err == io.EOF) {
		return 0, errors.WithStack(os.ErrDeadlineExceeded)
	}
	return n, err
}

// received records n received bytes, and whether they were the last ones. It returns false if the
// stream is to be reset: what arrives later is not processed.
func (s *stream) received(n int, last bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ended:
		return false
	case s.complete:
	case last:
		s.complete = true
		if s.timer != nil {
			s.timer.Stop()
		}
		s.account.Complete()
	case n > 0:
		if s.timer != nil {
			s.timer.Reset(s.limits.BodyTimeout)
		}
		s.account.Progress()
	}
	return true
}

// streamWriter writes the response of a stream. Each write must end within the time limit. While it
// waits for the client, the stream may be closed to make room for others.
type streamWriter struct {
	http.ResponseWriter
	stream *stream
	// wrote is set if the response has a body.
	wrote bool
}

// Write implements http.ResponseWriter.
func (w *streamWriter) Write(p []byte) (n int, err error) {
	w.wrote = true
	w.stream.write(func() { n, err = w.ResponseWriter.Write(p) })
	return n, err
}

// Flush implements http.Flusher.
func (w *streamWriter) Flush() {
	w.stream.write(func() { _ = w.stream.controller.Flush() }) // fails if the stream has ended
}

// write calls a function that writes a part of the response.
func (s *stream) write(part func()) {
	if timeout := s.limits.WriteTimeout; timeout > 0 {
		_ = s.controller.SetWriteDeadline(time.Now().Add(timeout)) // cannot fail over HTTP/2
	}
	s.mu.Lock()
	if s.complete && !s.ended {
		s.writing = true
		s.account.Progress()
	}
	s.mu.Unlock()
	part()
	s.mu.Lock()
	if s.writing {
		s.writing = false
		s.account.Complete()
	}
	s.mu.Unlock()
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (w *streamWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
