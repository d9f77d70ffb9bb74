package rpcbody

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"laburnumgrade/internal/intake"
)

// retryAfterSeconds is the value of Retry-After in the response to a refused call.
const retryAfterSeconds = 1

// Connect returns a handler that reads the bodies of the calls of connect handlers. maxBytes bounds a
// message.
func Connect(next http.Handler, maxBytes int64) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return &handler{next: next, maxBytes: maxBytes, connect: true, refuse: func(w http.ResponseWriter, r *http.Request, f *failure) {
		_ = errorWriter.Write(w, r, connect.NewError(f.code, f.cause)) // fails if the client has gone
	}}
}

// Twirp is Connect for the calls of twirp handlers, whose messages only the budget bounds, except for
// snapshots.
func Twirp(next http.Handler, snapshots Snapshots) http.Handler {
	snapshots.turn = make(chan struct{}, 1)
	return &handler{next: next, snapshots: &snapshots, refuse: func(w http.ResponseWriter, _ *http.Request, f *failure) {
		code := twirp.Unavailable
		if f.code != connect.CodeUnavailable {
			code = twirp.Malformed
		}
		_ = twirp.WriteError(w, twirp.NewError(code, f.cause.Error())) // fails if the client has gone
	}}
}

// failure is why a call is refused.
type failure struct {
	code  connect.Code
	cause error
}

type handler struct {
	next http.Handler
	// maxBytes bounds a message, 0 if only the budget does.
	maxBytes int64
	// connect is set for the protocols of connect, which may compress bodies.
	connect bool
	// snapshots is nil if there are none.
	snapshots *Snapshots
	refuse    func(http.ResponseWriter, *http.Request, *failure)
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		h.next.ServeHTTP(w, r)
		return
	}
	if h.snapshots != nil && h.snapshots.applies(r) {
		h.answer(w, r, h.snapshots.serve(w, r, h.next))
		return
	}
	data, f := h.read(w, r)
	if f != nil {
		h.answer(w, r, f)
		return
	}
	account := intake.FromContext(r.Context())
	length := int64(len(data))
	served := r.WithContext(r.Context())
	served.Body = &reader{Reader: bytes.NewReader(data), atEnd: func() { account.Release(length) }}
	served.ContentLength = length
	served.TransferEncoding = nil
	data = nil
	h.next.ServeHTTP(w, served)
}

// answer answers a call that failed before it was carried out; f is nil for one that was answered.
func (h *handler) answer(w http.ResponseWriter, r *http.Request, f *failure) {
	if f != nil {
		if r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close") // the rest of the body is not read
		}
		if f.code == connect.CodeUnavailable {
			w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
		}
		h.refuse(w, r, f)
	}
}

// read reads and decompresses the body and charges it together with the memory of its decoded form.
// It replaces the header of the request if that says that the body is compressed.
func (h *handler) read(w http.ResponseWriter, r *http.Request) ([]byte, *failure) {
	account := intake.FromContext(r.Context())
	from := io.Reader(r.Body)
	if h.maxBytes > 0 {
		most := h.maxBytes + envelopeBytes
		if r.ContentLength > most {
			return nil, h.tooLarge()
		}
		from = http.MaxBytesReader(w, r.Body, most)
	}
	body, err := intake.ReadBody(r.Context(), from)
	if err != nil {
		return nil, h.readFailure(err)
	}
	var data []byte
	if err := body.Decode(r.Context(), func(joined []byte) error { data = joined; return nil }); err != nil {
		return nil, h.readFailure(err)
	}
	if h.connect {
		if data, err = h.decompress(r, account, data); err != nil {
			return nil, h.readFailure(err)
		}
	}
	if err := account.Charge(decodedBytes(r, data)); err != nil {
		return nil, h.readFailure(err)
	}
	return data, nil
}

// tooLarge is the failure of a message over the maximum.
func (h *handler) tooLarge() *failure {
	return &failure{connect.CodeResourceExhausted, errors.Errorf("not run: message is larger than configured max %d", h.maxBytes)}
}

// readFailure returns the failure for an error of reading a body.
func (h *handler) readFailure(err error) *failure {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, errTooLarge):
		return h.tooLarge()
	case errors.Is(err, intake.ErrExhausted), errors.Is(err, intake.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		return &failure{connect.CodeUnavailable, errors.Wrap(err, "not run")}
	}
	return &failure{connect.CodeInvalidArgument, errors.Wrap(err, "not run: read message")}
}

// reader calls atEnd once it has been read completely, and drops its data.
type reader struct {
	*bytes.Reader
	atEnd func()
}

// Read implements io.Reader.
func (b *reader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.atEnd != nil {
		b.atEnd()
		b.atEnd = nil
	}
	if err == io.EOF {
		b.Reset(nil)
	}
	return n, err
}

// WriteTo implements io.WriterTo, so that that of bytes.Reader is not used without the end.
func (b *reader) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{b})
}

// Close implements io.Closer.
func (b *reader) Close() error { return nil }
