package rpcbody

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"laburnumgrade/internal/intake"
)

const (
	// snapshotTurnTimeout is how long a snapshot waits for the one before it. The sender sends it
	// again.
	snapshotTurnTimeout = time.Second
	// A snapshot must arrive within snapshotTimeout and the time that it takes at
	// snapshotBytesPerSecond. Both leave twice the time that the sender allows itself.
	snapshotTimeout        = 2 * time.Second
	snapshotBytesPerSecond = 2 << 20
)

// Snapshots are the calls that may be larger than the budget allows, since a replica that cannot
// receive the snapshot of its group never takes part again. They are received one at a time.
type Snapshots struct {
	// Path is the prefix of their paths.
	Path string
	// Above is the length from which a call with a declared length is received outside the budget.
	Above int64
	// Most bounds the length and the decoded form, 0 for no bound.
	Most int64

	turn chan struct{}
}

// applies reports whether a request is received outside the budget.
func (s *Snapshots) applies(r *http.Request) bool {
	return s.Path != "" && strings.HasPrefix(r.URL.Path, s.Path) && r.ContentLength > s.Above && (s.Most == 0 || r.ContentLength <= s.Most)
}

// serve receives a snapshot and passes it on. One that takes more memory than its length says, as a
// batch of empty messages does, is refused.
func (s *Snapshots) serve(w http.ResponseWriter, r *http.Request, next http.Handler) *failure {
	select {
	case s.turn <- struct{}{}:
		defer func() { <-s.turn }()
	case <-time.After(snapshotTurnTimeout):
		return &failure{connect.CodeUnavailable, errors.New("not run: another snapshot is being received")}
	case <-r.Context().Done():
		return &failure{connect.CodeUnavailable, r.Context().Err()}
	}
	controller := http.NewResponseController(w)
	limit := snapshotTimeout + time.Duration(r.ContentLength)*time.Second/snapshotBytesPerSecond
	if err := controller.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return &failure{connect.CodeUnavailable, errors.Wrap(err, "not run")}
	}
	// Without the account of the connection, nothing is charged.
	uncharged := context.Background()
	body, err := intake.ReadBody(uncharged, r.Body)
	if err != nil {
		return &failure{connect.CodeUnavailable, errors.Wrap(err, "not run")}
	}
	// An error means that the connection is closed; writing the response returns it.
	_ = controller.SetReadDeadline(time.Time{})
	var data []byte
	// Without a budget, Decode does not wait and returns the error of the function.
	_ = body.Decode(uncharged, func(joined []byte) error { data = joined; return nil })
	if decoded := decodedBytes(r, data); decoded > 2*r.ContentLength {
		return &failure{connect.CodeInvalidArgument, errors.Errorf("not run: %d bytes would take %d when decoded", len(data), decoded)}
	}
	served := r.WithContext(r.Context())
	served.Body = io.NopCloser(&reader{Reader: bytes.NewReader(data)})
	data = nil
	next.ServeHTTP(w, served)
	return nil
}
