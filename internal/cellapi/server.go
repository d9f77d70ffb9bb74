package cellapi

import (
	"context"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"laburnumgrade/internal/intake"
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
		mux.HandleFunc("POST "+callPath, serve(service.Do, func(reason string) *Reply { return &Reply{Refused: reason} }))
	}
	if adviser != nil {
		mux.HandleFunc("POST "+advicePath, serve(adviser.Advise, func(reason string) *AdviceReply { return &AdviceReply{Error: reason} }))
	}
	return mux
}

// serve returns a handler that decodes a request, passes it to answer and encodes the
// result. A request for which there is no memory is answered with refuse, so that the caller
// knows that it was not carried out.
func serve[Q, A any](answer func(context.Context, *Q) *A, refuse func(reason string) *A) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q := new(Q)
		err := decode(w, r, q)
		var a *A
		switch {
		case err == nil:
			a = answer(r.Context(), q)
		case errors.Is(err, intake.ErrExhausted):
			a = refuse(err.Error())
		default:
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		data, err := cbor.Marshal(a)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		// A write error means that the caller has closed the connection.
		_, _ = w.Write(data)
	}
}

// decode reads the body of a request and decodes it into q. If there is no memory for the body,
// it discards the rest, because a caller that is still sending would lose the reply.
func decode(w http.ResponseWriter, r *http.Request, q any) error {
	limited := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	body, err := intake.ReadBody(r.Context(), limited)
	if errors.Is(err, intake.ErrExhausted) {
		// An error means that the caller has closed the connection.
		_, _ = io.Copy(io.Discard, limited)
	}
	if err != nil {
		return err
	}
	return body.Decode(r.Context(), func(data []byte) error { return cbor.Unmarshal(data, q) })
}
