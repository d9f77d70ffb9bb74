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
	// takes about 12 KiB until it is answered, half of it for its goroutine and write buffer, which a
	// request over HTTP/1 has as well.
	bytesPerStream = 2 << 10
	// retryAfterSeconds is the value of Retry-After in the response to a refused stream.
	retryAfterSeconds = 1
)

// stream is a request over HTTP/2. Its account is charged like that of a connection.
type stream struct {
	account    *intake.Account
	controller *http.ResponseController
	limits     *intake.Limits
	// timer ends the stream when no byte of the body arrives in time, nil if that is not limited.
	timer *time.Timer

	mu sync.Mutex
	// complete is set once the request was received completely, served once the handler has
	// returned, ended once the stream is to be reset.
	complete, served, ended bool
}

// serveStream serves a request over HTTP/2. The stream is reset if it is closed to make room for
// others, or no byte of its body arrives in time; other streams of the connection continue.
func (c *conn) serveStream(w http.ResponseWriter, r *http.Request, next http.Handler) {
	s := &stream{controller: http.NewResponseController(w), limits: &c.options.Limits}
	s.account = c.options.Budget.Open(s.end, c.options.Internal)
	defer s.account.Close()
	s.account.Progress()
	if !c.options.Internal && s.account.Charge(bytesPerStream+headBytes(r)) != nil {
		if s.isEnded() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
		http.Error(w, "not run: "+intake.ErrExhausted.Error(), http.StatusServiceUnavailable)
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
	next.ServeHTTP(&streamWriter{w, s}, served)
	s.mu.Lock()
	s.served = true
	ended := s.ended
	s.mu.Unlock()
	if ended {
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

// end makes reads of the body fail, and the stream be reset once the handler has returned.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete || s.served || s.ended {
		return
	}
	s.ended = true
	// With a time in the past, reads fail at once. It cannot fail over HTTP/2.
	_ = s.controller.SetReadDeadline(time.Unix(1, 0))
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

// streamWriter writes the response of a stream. Each write must end within the time limit.
type streamWriter struct {
	http.ResponseWriter
	stream *stream
}

// Write implements http.ResponseWriter.
func (w *streamWriter) Write(p []byte) (int, error) {
	if timeout := w.stream.limits.WriteTimeout; timeout > 0 {
		if err := w.stream.controller.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *streamWriter) Flush() { _ = w.stream.controller.Flush() }

// Unwrap returns the writer of net/http, for http.ResponseController.
func (w *streamWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
