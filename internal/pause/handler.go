package pause

import (
	"context"
	"net/http"
)

// contextKey is the context key of requests that came just after a pause.
type contextKey struct{}

// Handler wraps a handler of requests. It marks those whose head was read just after a pause:
// their bodies may take longer than that to arrive.
func (d *Detector) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.JustResumed() {
			r = r.WithContext(context.WithValue(r.Context(), contextKey{}, true))
		}
		next.ServeHTTP(w, r)
	})
}

// MayHaveWaited reports whether the request of a context may have waited during a pause.
func (d *Detector) MayHaveWaited(ctx context.Context) bool {
	return ctx.Value(contextKey{}) != nil || d.JustResumed()
}
