package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

const kib = 1 << 10

func newTestBudget(bytes int64) *Budget {
	return NewBudget(bytes, slog.New(slog.DiscardHandler), tally.NoopScope)
}

// testAccount is an account of a connection that counts how often it was closed.
type testAccount struct {
	*Account
	closed atomic.Int32
}

func open(b *Budget) *testAccount {
	a := &testAccount{}
	a.Account = b.Open(func() { a.closed.Add(1); a.Close() }, false)
	a.Progress()
	return a
}

// Guards against ordinary requests that are refused because large bodies hold the budget.
func TestSmallRequestsGoOnWhileLargePoolIsExhausted(t *testing.T) {
	b := newTestBudget(256 * kib)
	body := open(b)
	assert.NilError(t, body.Charge(192*kib+SmallBytes)) // all of the large pool
	body.Complete()
	refused := open(b)
	assert.ErrorIs(t, refused.Charge(SmallBytes+1), ErrExhausted)
	ordinary := open(b)
	assert.NilError(t, ordinary.Charge(SmallBytes))
	assert.Equal(t, body.closed.Load(), int32(0))
}

// Guards against closing a connection that has just made progress instead of the one that has
// gone longest without any.
func TestLongestStalledIsClosedFirst(t *testing.T) {
	b := newTestBudget(256 * kib)
	var accounts []*testAccount
	for range 3 {
		a := open(b)
		assert.NilError(t, a.Charge(64*kib))
		accounts = append(accounts, a)
	}
	accounts[0].Progress()
	asking := open(b)
	assert.NilError(t, asking.Charge(64*kib))
	assert.NilError(t, asking.Charge(32*kib))
	assert.Equal(t, accounts[1].closed.Load(), int32(1))
	assert.Equal(t, accounts[0].closed.Load()+accounts[2].closed.Load(), int32(0))
	assert.ErrorIs(t, accounts[1].Charge(1), ErrClosed)
	assert.Equal(t, b.Held(), int64(2*64*kib+96*kib))
}

// Guards against closing a request that was received completely, which may already be carried
// out.
func TestCompleteRequestIsNotClosed(t *testing.T) {
	b := newTestBudget(256 * kib)
	complete := open(b)
	assert.NilError(t, complete.Charge(128*kib))
	complete.Complete()
	stalled := open(b)
	assert.NilError(t, stalled.Charge(64*kib))
	asking := open(b)
	assert.NilError(t, asking.Charge(96*kib))
	assert.ErrorIs(t, asking.Charge(96*kib), ErrExhausted)
	assert.Equal(t, complete.closed.Load(), int32(0))
	assert.Equal(t, stalled.closed.Load(), int32(1))
	assert.Assert(t, b.CloseStalled() == false || complete.closed.Load() == 0)
}

// Guards against a refused request whose bytes stay charged.
func TestRefusedRequestHoldsNothing(t *testing.T) {
	b := newTestBudget(256 * kib)
	a := open(b)
	assert.NilError(t, a.Charge(100*kib))
	assert.ErrorIs(t, a.Charge(200*kib), ErrExhausted)
	assert.Equal(t, b.Held(), int64(0))
	assert.Equal(t, a.closed.Load(), int32(0), "the refusal must still be written")
}

// Guards against connections that are closed for a request that exceeds the pool by itself.
func TestRequestBeyondPoolClosesNoOthers(t *testing.T) {
	b := newTestBudget(256 * kib)
	stalled := open(b)
	assert.NilError(t, stalled.Charge(64*kib))
	assert.ErrorIs(t, open(b).Charge(256*kib), ErrExhausted)
	assert.Equal(t, stalled.closed.Load(), int32(0))
}

// Guards against calls of the system's own processes that are cut off, so that their outcome is
// not known.
func TestInternalConnectionIsNotClosed(t *testing.T) {
	b := newTestBudget(256 * kib)
	internal := b.Open(func() { t.Error("closed") }, true)
	assert.NilError(t, internal.Charge(192*kib))
	internal.Progress()
	assert.ErrorIs(t, open(b).Charge(64*kib), ErrExhausted)
	internal.Close()
	assert.Equal(t, b.Held(), int64(0))
}

// Guards against bytes that stay charged after the response or the end of the connection.
func TestAnsweredAndClosedRequestsHoldNothing(t *testing.T) {
	b := newTestBudget(256 * kib)
	a := open(b)
	for range 100 {
		assert.NilError(t, a.Charge(20*kib))
		a.Complete()
		a.Answered()
	}
	assert.Equal(t, b.Held(), int64(0))
	a.Progress()
	assert.NilError(t, a.Charge(20*kib))
	a.Close()
	a.Close()
	a.Answered()
	assert.Equal(t, b.Held(), int64(0))
	assert.Equal(t, b.receiving.Len(), 0)
}

// Guards against the refusal of a single body of the maximum size that arrives byte by byte, by
// the least budget that can be set.
func TestSlowBodyIsReadWithoutLoad(t *testing.T) {
	b := newTestBudget(1024 * kib)
	data := bytes.Repeat([]byte("0123456789abcdef"), 16*kib)
	body, err := ReadBody(NewContext(t.Context(), open(b).Account), iotest.OneByteReader(bytes.NewReader(data)))
	assert.NilError(t, err)
	assert.Equal(t, body.Len(), len(data))
	assert.NilError(t, body.Decode(t.Context(), func(decoded []byte) error {
		assert.Assert(t, bytes.Equal(decoded, data))
		return nil
	}))
}

// Guards against bodies that hold far more memory than what was charged for them.
func TestBodyHoldsLittleMoreThanItsLength(t *testing.T) {
	for _, length := range []int{1, 100, 512, 513, 5000, 16 * kib, 17 * kib, 256*kib - 1, 256 * kib} {
		body, err := ReadBody(t.Context(), iotest.HalfReader(strings.NewReader(strings.Repeat("x", length))))
		assert.NilError(t, err)
		held := 0
		for _, block := range body.blocks {
			held += cap(block)
		}
		assert.Assert(t, held <= min(2*length, length+maxBlockBytes)+2*minBlockBytes, "%d bytes hold %d", length, held)
	}
}

// Guards against a body that goes on being read after its account was refused, and against an
// error of the connection that is lost.
func TestReadBodyReturnsErrors(t *testing.T) {
	b := newTestBudget(64 * kib)
	_, err := ReadBody(NewContext(t.Context(), open(b).Account), strings.NewReader(strings.Repeat("x", 100*kib)))
	assert.ErrorIs(t, err, ErrExhausted)
	assert.Equal(t, b.Held(), int64(0))
	failed := errors.New("connection reset")
	_, err = ReadBody(t.Context(), io.MultiReader(strings.NewReader("x"), iotest.ErrReader(failed)))
	assert.ErrorIs(t, err, failed)
}

// Guards against the decoded forms of several long bodies in memory at once, and against short
// bodies that wait for long ones.
func TestLongBodiesAreDecodedOneAtATime(t *testing.T) {
	b := newTestBudget(1024 * kib)
	read := func(length int) *Body {
		body, err := ReadBody(NewContext(t.Context(), open(b).Account), strings.NewReader(strings.Repeat("x", length)))
		assert.NilError(t, err)
		return body
	}
	first, second, short := read(SmallBytes+1), read(SmallBytes+1), read(SmallBytes)
	assert.NilError(t, first.Decode(t.Context(), func([]byte) error {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		decoded := false
		assert.ErrorIs(t, second.Decode(ctx, func([]byte) error { decoded = true; return nil }), context.Canceled)
		assert.Assert(t, !decoded)
		return short.Decode(ctx, func([]byte) error { return nil })
	}))
	assert.NilError(t, second.Decode(t.Context(), func([]byte) error { return nil }))
}

// Guards against a process without a budget that fails, or that refuses requests.
func TestNilBudgetIsUnbounded(t *testing.T) {
	var b *Budget
	a := b.Open(nil, false)
	a.Progress()
	assert.NilError(t, a.Charge(1<<40))
	a.Complete()
	a.Answered()
	a.Close()
	assert.Assert(t, !b.CloseStalled())
	assert.Assert(t, FromContext(NewContext(t.Context(), a)) == nil)
	assert.Assert(t, FromContext(t.Context()) == nil)
}

// Guards against a log that fills with one line for each refused request, and against missing
// counts.
func TestEventsAreCountedAndLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	scope := tally.NewTestScope("", nil)
	b := NewBudget(64*kib, slog.New(slog.NewTextHandler(&log, nil)), scope)
	for range 10 {
		assert.ErrorIs(t, open(b).Charge(1024*kib), ErrExhausted)
	}
	stalled := open(b)
	assert.NilError(t, stalled.Charge(SmallBytes))
	assert.NilError(t, open(b).Charge(SmallBytes))
	assert.Equal(t, strings.Count(log.String(), "\n"), 2, log.String())
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Name()+" "+c.Tags()["reason"]] = c.Value()
	}
	assert.DeepEqual(t, counts, map[string]int64{"intake_refused large": 10, "intake_closed small": 1})
	gauges := map[string]float64{}
	for _, g := range scope.Snapshot().Gauges() {
		gauges[g.Name()+" "+g.Tags()["pool"]] = g.Value()
	}
	assert.DeepEqual(t, gauges, map[string]float64{"intake_allowed small": 16 * kib, "intake_allowed large": 48 * kib, "intake_bytes small": 16 * kib, "intake_bytes large": 0})
}

// Guards against pools that exceed their bound, and bytes that stay charged, when many
// connections are served, closed and refused at the same time.
func TestConcurrentAccountsStayWithinBudget(t *testing.T) {
	b := newTestBudget(256 * kib)
	var group sync.WaitGroup
	for seed := range uint64(16) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			a := open(b)
			for range 2000 {
				switch random.IntN(8) {
				case 0:
					a.Complete()
				case 1:
					a.Answered()
				case 2:
					a.Close()
					a = open(b)
				case 3:
					b.CloseStalled()
				default:
					a.Progress()
					_ = a.Charge(random.Int64N(40 * kib)) // refused, closed or charged
				}
				if held := b.Held(); held > 256*kib || held < 0 {
					t.Errorf("%d bytes held", held)
				}
			}
			a.Close()
		})
	}
	group.Wait()
	assert.Equal(t, b.Held(), int64(0))
	assert.Equal(t, b.receiving.Len(), 0)
}
