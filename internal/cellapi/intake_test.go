package cellapi

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/intake"
)

// acceptingService accepts every call and counts them.
type acceptingService struct{ calls int }

func (s *acceptingService) Do(context.Context, *Call) *Reply {
	s.calls++
	return &Reply{Verdict: cell.Accepted}
}

// Guards against a call that was refused for lack of memory and is reported as one whose outcome
// is not known, or that is carried out nevertheless; and against small calls that are refused
// with it.
func TestCallRefusedForMemoryIsReportedAsRefused(t *testing.T) {
	service := &acceptingService{}
	budget := intake.NewBudget(1<<20, slog.New(slog.DiscardHandler), tally.NoopScope)
	s, err := httpserver.StartWithin("127.0.0.1:0", Handler(service, nil), httpserver.Options{Limits: intake.DefaultLimits, Budget: budget, Internal: true})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	client := NewClient([]string{s.Address()}, nil, slog.New(slog.DiscardHandler))
	submit := func(bytes int) *Reply {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		return client.Do(ctx, &Call{Submit: &cell.Submit{Job: cell.Submission{Spec: strings.Repeat("x", bytes)}}})
	}
	for range 20 {
		r := submit(4 << 20)
		assert.Assert(t, strings.Contains(r.Refused, intake.ErrExhausted.Error()), "%+v", r)
		assert.Equal(t, r.Unknown, "")
	}
	assert.Equal(t, service.calls, 0)
	assert.Equal(t, submit(100).Verdict, cell.Accepted)
	assert.Equal(t, submit(256<<10).Verdict, cell.Accepted)
}
