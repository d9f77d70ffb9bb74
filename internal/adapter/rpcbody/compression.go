package rpcbody

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"laburnumgrade/internal/intake"
)

const (
	// envelopeBytes is the length of the flags and the length before each message of gRPC.
	envelopeBytes  = 5
	flagCompressed = 1
	// minPieceBytes is how much is decompressed first.
	minPieceBytes = 4 << 10
)

// errTooLarge says that a message is over the maximum when it is decompressed.
var errTooLarge = errors.New("message is too large")

// isGRPC reports whether messages are in envelopes.
func isGRPC(r *http.Request) bool {
	return strings.HasPrefix(r.Header.Get("Content-Type"), "application/grpc")
}

// decompress returns the body of a request without compression. Other encodings than gzip are left
// to the next handler, which refuses them.
func (h *handler) decompress(r *http.Request, account *intake.Account, data []byte) ([]byte, error) {
	if !isGRPC(r) {
		if r.Header.Get("Content-Encoding") != "gzip" || len(data) == 0 {
			return data, nil
		}
		plain, err := h.gunzip(account, nil, data)
		if err != nil {
			return nil, err
		}
		// A copy, because the header is part of the request that net/http holds.
		r.Header = r.Header.Clone()
		r.Header.Del("Content-Encoding")
		return plain, nil
	}
	if len(data) < envelopeBytes || data[0]&flagCompressed == 0 || r.Header.Get("Grpc-Encoding") != "gzip" {
		return data, nil
	}
	message := data[envelopeBytes:]
	if int64(binary.BigEndian.Uint32(data[1:])) != int64(len(message)) {
		return nil, errors.New("a unary call must have one message")
	}
	plain, err := h.gunzip(account, make([]byte, envelopeBytes), message)
	if err != nil {
		return nil, err
	}
	plain[0] = data[0] &^ flagCompressed
	binary.BigEndian.PutUint32(plain[1:], uint32(len(plain)-envelopeBytes))
	return plain, nil
}

// gzipReaders holds readers that are not in use; each takes 40 KiB.
var gzipReaders = sync.Pool{New: func() any { return new(gzip.Reader) }}

// gunzip appends the decompressed data to out. It charges the result as it grows, and then releases
// the data.
func (h *handler) gunzip(account *intake.Account, out, data []byte) ([]byte, error) {
	z := gzipReaders.Get().(*gzip.Reader)
	defer gzipReaders.Put(z)
	if err := z.Reset(bytes.NewReader(data)); err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	from := io.LimitReader(z, h.maxBytes+1)
	prefix := len(out)
	for {
		if len(out) == cap(out) {
			grown := max(minPieceBytes, cap(out))
			if err := account.Charge(int64(grown)); err != nil {
				return nil, err
			}
			out = slices.Grow(out, grown)[: len(out) : len(out)+grown]
		}
		n, err := from.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case int64(len(out)-prefix) > h.maxBytes:
			return nil, errTooLarge
		case err == io.EOF:
			account.Release(int64(cap(out) - len(out) + len(data)))
			return out, nil
		case err != nil:
			return nil, errors.Wrap(err, "decompress")
		}
	}
}
