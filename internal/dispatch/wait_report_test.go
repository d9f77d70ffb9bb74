package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/port"
)

// recordingHandler records the records with one message.
type recordingHandler struct {
	slog.Handler
	message string
	mu      sync.Mutex
	records []map[string]slog.Value
}

func (h *recordingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h *recordingHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message != h.message {
		return nil
	}
	attrs := map[string]slog.Value{}
	r.Attrs(func(a slog.Attr) bool {
		attrs[a.Key] = a.Value
		return true
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, attrs)
	return nil
}

// Guards against a step that waits without a sign of what it waits for, and against a
// report that grows with the number of steps.
func TestLongWaitsAreLogged(t *testing.T) {
	h := &recordingHandler{Handler: slog.DiscardHandler, message: "step waits beyond its objective"}
	runCellWith(t, 1, func(c *Config) { c.Logger = slog.New(h) }, func(b *testCell) {
		for i := range maxReportLines + 3 {
			b.submitTo(shortObjectivePath, fmt.Sprintf("00000000000000a%d", i), taskStep(1, 5))
		}
		began := time.Now()
		for time.Since(began) < 10*time.Second {
			b.reportAll()
			time.Sleep(100 * time.Millisecond)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		assert.Equal(t, len(h.records), 2*maxReportLines)
		assert.Equal(t, h.records[0]["reason"].String(), waitsForRoom.String())
	})
}

// Guards against an attempt that is committed but never started, without a sign of it.
func TestUnconfirmedAttemptsAreLogged(t *testing.T) {
	h := &recordingHandler{Handler: slog.DiscardHandler, message: "attempt is not confirmed by its worker"}
	synctest.Test(t, func(t *testing.T) {
		store := cell.NewStore(nil)
		apply := func(c *cell.Command) {
			data, err := cell.Encode(c)
			assert.NilError(t, err)
			store.Apply(1, data)
		}
		apply(&cell.Command{Configure: &cell.Configuration{
			Version: 1, Services: []cell.Service{{Name: service}}, Queues: []cell.Queue{{Name: "q", Host: "h", Prefix: queuePath, Service: service, TimeoutMS: 1000, Public: true}},
		}})
		apply(&cell.Command{Register: &firstReport("w0", 1, 0).Report.Register})
		apply(&cell.Command{Submit: &cell.Submit{Request: jobRequest(jobID1), Job: cell.Submission{Spec: "s", Steps: []cell.Step{taskStep(1, 2)}}}})
		task := cell.TaskKey{StepKey: cell.StepKey{Job: jobID1}}
		apply(&cell.Command{Start: &cell.Start{Placements: []cell.Placement{{Task: task, Run: 1, Worker: "w0", Born: 1}}}})
		l := New(Config{Log: &fakeLog{}, Store: store, Clock: port.NewSystemClock(), Logger: slog.New(h), Scope: tally.NoopScope})
		term := newTerm(t.Context(), l, 1, 0)
		store.View(func(v *cell.View) { term.sessions["w0"] = newSession(term, v.Worker("w0"), false) })
		term.reportUnconfirmedAttempts()
		assert.Equal(t, len(h.records), 0, "the order may be on its way")
		time.Sleep(waitReportInterval)
		term.reportUnconfirmedAttempts()
		term.reportUnconfirmedAttempts()
		assert.Equal(t, len(h.records), 1)
		assert.Equal(t, h.records[0]["job"].String(), jobID1)
	})
}
