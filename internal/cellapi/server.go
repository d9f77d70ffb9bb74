package cellapi

import (
	"context"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// Paths of the calls.
const (
	callPath   = "/cell/call"
	advicePath = "/cell/advice"
)

// maxBody bounds the body of a call, in bytes: a configuration with thousands
// of queues, or a worker's report of 4 MiB.
const maxBody = 16 << 20

// Service answers calls.
type Service interface {
	Do(ctx context.Context, c *Call) *Reply
}

// Adviser obtains advice from the outside service.
type Adviser interface {
	Advise(ctx context.Context, q *AdviceRequest) *AdviceReply
}

// Handler returns the handler of calls; either argument may be nil.
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

func serve[Q, A any](answer func(context.Context, *Q) *A) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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
		// A caller that has left needs no answer.
		_, _ = w.Write(data)
	}
}
