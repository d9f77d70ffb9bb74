package descriptor

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

func newTestBudget(limit, reserved int) *Budget {
	return NewBudget(limit, reserved, slog.New(slog.DiscardHandler), tally.NoopScope)
}

// testListener accepts connections and keeps them open.
func testListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return
			}
		}
	}()
	return l
}

// Guards against parts that together leave no descriptors for files.
func TestPartsLeaveDescriptorsForFiles(t *testing.T) {
	b := newTestBudget(1000, 200)
	sum := b.Part("workers", 0.6).Size() + b.Part("accepted", 0.3).Size() + b.Part("peers", 0.1).Size()
	assert.Assert(t, sum <= 1000-200-ForFiles, "%d", sum)
	assert.Assert(t, sum >= 1000-200-ForFiles-3, "%d", sum)
}

// Guards against a limit in the settings that exceeds the operating system's.
func TestBudgetIsBoundedBySystemLimit(t *testing.T) {
	assert.Equal(t, newTestBudget(0, 0).connections, max(0, systemLimit()-ForFiles))
	assert.Equal(t, newTestBudget(systemLimit()+1000, 0).connections, max(0, systemLimit()-ForFiles))
}

// Guards against outgoing connections beyond the part, and against a wait that lasts
// although a connection was closed.
func TestDialWaitsWhilePartIsFull(t *testing.T) {
	l := testListener(t)
	p := newPart("workers", 2, slog.New(slog.DiscardHandler), tally.NoopScope)
	dial := p.Dial((&net.Dialer{}).DialContext)
	open := func(ctx context.Context) (net.Conn, error) { return dial(ctx, "tcp", l.Addr().String()) }
	first, err := open(t.Context())
	assert.NilError(t, err)
	_, err = open(t.Context())
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = open(ctx)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, p.Open(), 2)
	go func() {
		time.Sleep(20 * time.Millisecond)
		assert.Check(t, first.Close())
		assert.Check(t, first.Close() != nil) // closed twice, counted once
	}()
	third, err := open(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, p.Open(), 2)
	assert.NilError(t, third.Close())
	assert.Equal(t, p.Open(), 1)
}

// Guards against a wait for a connection while the use has idle ones.
func TestFullPartClosesIdleConnections(t *testing.T) {
	l := testListener(t)
	p := newPart("workers", 1, slog.New(slog.DiscardHandler), tally.NoopScope)
	dial := p.Dial((&net.Dialer{}).DialContext)
	idle, err := dial(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	p.OnFull(func() { _ = idle.Close() })
	_, err = dial(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, p.Open(), 1)
}

// Guards against a descriptor that is lost with each failed dial.
func TestFailedDialGivesDescriptorBack(t *testing.T) {
	l := testListener(t)
	assert.NilError(t, l.Close())
	p := newPart("workers", 1, slog.New(slog.DiscardHandler), tally.NoopScope)
	dial := p.Dial((&net.Dialer{}).DialContext)
	for range 3 {
		_, err := dial(t.Context(), "tcp", l.Addr().String())
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, p.Open(), 0)
}

// Guards against accepted connections beyond the part, and against a listener that stops
// accepting once the part was full.
func TestListenerRejectsBeyondPart(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := newPart("accepted", 1, slog.New(slog.DiscardHandler), tally.NoopScope)
	l := p.Listen(inner)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	connect := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		return c
	}
	connect()
	first := <-accepted
	rejected := connect()
	assert.NilError(t, rejected.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = rejected.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !isTimeout(err), "%v", err)
	assert.Equal(t, p.Open(), 1)
	assert.NilError(t, first.Close())
	connect()
	<-accepted
	assert.Equal(t, p.Open(), 1)
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
