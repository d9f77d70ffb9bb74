package hlc

import "net/http"

// Header is the name of the HTTP header that carries a stamp in requests and
// answers between processes of the system.
const Header = "X-Lg-Hlc"

// Transport returns a round tripper that adds a stamp to each request and accepts
// the stamp of the answer.
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
	t.clock.observeHeader(response.Header)
	return response, nil
}

// Handler returns a handler that accepts the stamp of each request and adds one to
// the answer. Use it only on the address for peers, since any client that reaches
// it can move the clock ahead by up to MaxAhead.
func Handler(clock *Clock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clock.observeHeader(r.Header)
		stamping := &responseWriter{ResponseWriter: w, clock: clock}
		next.ServeHTTP(stamping, r)
		stamping.stamp()
	})
}

// observeHeader accepts the stamp in a header. A missing, malformed or refused
// stamp only loses the order between two processes in the time line, so it does
// not fail the request.
func (c *Clock) observeHeader(header http.Header) {
	if stamp, err := Parse(header.Get(Header)); err == nil {
		_, _ = c.Observe(stamp)
	}
}

// responseWriter adds a stamp to an answer when its header is written.
type responseWriter struct {
	http.ResponseWriter
	clock   *Clock
	stamped bool
}

// stamp sets the header on its first call.
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

// Flush implements http.Flusher, for which streaming handlers check.
func (w *responseWriter) Flush() {
	w.stamp()
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController reach the wrapped writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
