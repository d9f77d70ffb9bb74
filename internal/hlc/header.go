package hlc

import "net/http"

// Header carries a stamp in requests and answers between own processes.
const Header = "X-Lg-Hlc"

// Transport returns a round tripper that stamps each request and accepts the
// stamp of its answer.
func Transport(clock *Clock, next http.RoundTripper) http.RoundTripper {
	return &transport{clock: clock, next: next}
}

type transport struct {
	clock *Clock
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	stamped := request.Clone(request.Context())
	stamped.Header.Set(Header, t.clock.Now().String())
	response, err := t.next.RoundTrip(stamped)
	if err != nil {
		return nil, err
	}
	t.clock.accept(response.Header)
	return response, nil
}

// Handler returns a handler that accepts the stamp of each request and stamps
// its answer. It belongs on the address for peers: callers could move the
// clock ahead by up to MaxAhead.
func Handler(clock *Clock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clock.accept(r.Header)
		stamping := &responseWriter{ResponseWriter: w, clock: clock}
		next.ServeHTTP(stamping, r)
		stamping.stamp()
	})
}

// accept takes the stamp out of a header. A missing, malformed or refused
// stamp only loses the order between two processes in the time line, so it is
// not an error of the request.
func (c *Clock) accept(header http.Header) {
	if stamp, err := Parse(header.Get(Header)); err == nil {
		_, _ = c.Observe(stamp)
	}
}

// responseWriter stamps an answer when its header is written.
type responseWriter struct {
	http.ResponseWriter
	clock   *Clock
	stamped bool
}

// stamp sets the header once.
func (w *responseWriter) stamp() {
	if w.stamped {
		return
	}
	w.stamped = true
	w.Header().Set(Header, w.clock.Now().String())
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.stamp()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(body []byte) (int, error) {
	w.stamp()
	return w.ResponseWriter.Write(body)
}

// Flush implements http.Flusher, which streaming handlers look for.
func (w *responseWriter) Flush() {
	w.stamp()
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController reach the wrapped writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
