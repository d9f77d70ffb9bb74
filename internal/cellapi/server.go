package cellapi

import (
	"context"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// Paths of the two kinds of calls.
const (
	callPath   = "/cell/call"
	advicePath = "/cell/advice"
)

// maxBodyBytes is the maximum size of a body. It admits a configuration with thousands of
// queues and a worker's report of 4 MiB.
const maxBodyBytes = 16 << 20

// Service answers calls; the leader implements it.
type Service interface {
	Do(ctx context.Context, c *Call) *Reply
}

// Adviser obtains advice from the advice service.
type Adviser interface {
	Advise(ctx context.Context, q *AdviceRequest) *AdviceReply
}

// Handler returns the handler of both kinds of calls. If an argument is nil, calls of its
// kind are not served.
func Handler(service Service, adviser Adviser) http.Handler {
	mux := http.NewServeMux()
	if service != nil {
		mux.HandleFunc("POST "+callPath, serve(service.Do))
	}
	if adviser != nil {
		mux.HandleFunc("POST "+advicePath, serve(adviser.Advise))
	}
	return mux
}

// serve returns a handler that decodes a request, passes it to answer and encodes the
// result.
func serve[Q, A any](answer func(context.Context, *Q) *A) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		q := new(Q)
		if err := cbor.Unmarshal(body, q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		data, err := cbor.Marshal(answer(r.Context(), q))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		// A write error means that the caller has closed the connection.
		_, _ = w.Write(data)
	}
}
