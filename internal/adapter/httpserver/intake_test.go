package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"laburnumgrade/internal/intake"
)

const kib = 1 << 10

// testServer is a server that reads bodies into memory and answers with their lengths.
type testServer struct {
	*Server
	t      *testing.T
	budget *intake.Budget
	// failed receives the errors of reading bodies.
	failed chan error
}

// newTestServer starts a server with a budget in bytes. Its limits are the defaults, changed by
// change.
func newTestServer(t *testing.T, budget int64, change func(*Options)) *testServer {
	t.Helper()
	s := &testServer{t: t, failed: make(chan error, 1000), budget: intake.NewBudget(budget, slog.New(slog.DiscardHandler), tally.NoopScope)}
	o := Options{Limits: intake.DefaultLimits, Budget: s.budget}
	if change != nil {
		change(&o)
	}
	server, err := StartWithin("127.0.0.1:0", http.HandlerFunc(s.handle), o)
	assert.NilError(t, err)
	s.Server = server
	t.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ended)
	})
	return s
}

func (s *testServer) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		return
	}
	body, err := intake.ReadBody(r.Context(), r.Body)
	switch {
	case err == nil:
		fmt.Fprint(w, body.Len())
	case errors.Is(err, intake.ErrExhausted):
		s.failed <- err
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.failed <- err
	}
}

// client is a raw connection to a server.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *testServer) connect() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.Address())
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &client{c, s.t, bufio.NewReader(c)}
}

// send sends text; a connection that the server has closed is no failure of the test.
func (c *client) send(text string) { _, _ = io.WriteString(c, text) }

// response returns the status and body of the next response, 0 if the connection was closed. The
// body may be cut short if the server closes a connection on which the client still sends.
func (c *client) response() (int, string) {
	r, err := http.ReadResponse(c.r, nil)
	if err != nil {
		assert.Assert(c.t, !errors.Is(err, os.ErrDeadlineExceeded), "no response and no end of the connection")
		return 0, ""
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	assert.Assert(c.t, !errors.Is(err, os.ErrDeadlineExceeded), "the response does not end")
	return r.StatusCode, string(body)
}

// post returns the head of a submission with a body of the length.
func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// checkServed checks that an ordinary request is served.
func (s *testServer) checkServed() {
	s.t.Helper()
	c := s.connect()
	c.send(post(3) + "abc")
	status, body := c.response()
	assert.Equal(s.t, status, http.StatusOK)
	assert.Equal(s.t, body, "3")
}

// waitHeld waits until the condition on the charged bytes is true.
func (s *testServer) waitHeld(condition func(int64) bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if held := s.budget.Held(); !condition(held) {
			return poll.Continue("%d bytes held", held)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

func isZero(held int64) bool { return held == 0 }

// Guards against heads without a bound, and against the refusal of a head that sites allow.
func TestHeadOverLimitIsRefused(t *testing.T) {
	s := newTestServer(t, 1024*kib, nil)
	c := s.connect()
	c.send("GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 63*kib) + "\r\n\r\n")
	status, _ := c.response()
	assert.Equal(t, status, http.StatusOK)
	c = s.connect()
	c.send("GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 70*kib) + "\r\n\r\n")
	status, _ = c.response()
	assert.Assert(t, status == http.StatusRequestHeaderFieldsTooLarge || status == 0, "%d", status)
	s.waitHeld(isZero)
}

// Guards against heads that never end and hold more than the budget, and against ordinary
// requests that are not served beside them.
func TestEndlessHeadsStayWithinBudget(t *testing.T) {
	const budget = 256 * kib
	s := newTestServer(t, budget, nil)
	for range 40 {
		s.connect().send("GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 20*kib))
	}
	assert.Assert(t, s.budget.Held() <= budget)
	s.checkServed()
}

// Guards against short header lines, which take many times their length in memory, that are
// charged with their length only.
func TestShortHeaderLinesAreChargedWithTheirMemory(t *testing.T) {
	s := newTestServer(t, 1024*kib, nil)
	s.connect().send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 500))
	s.waitHeld(func(held int64) bool { return held >= 500*bytesPerHeaderLine })
}

// Guards against bodies that stop short and keep the whole budget, so that others are refused.
func TestStalledBodiesMakeRoom(t *testing.T) {
	const budget = 512 * kib
	s := newTestServer(t, budget, nil)
	for range 20 {
		s.connect().send(post(100*kib) + strings.Repeat("x", 100*kib-1))
	}
	c := s.connect()
	c.send(post(100*kib) + strings.Repeat("x", 100*kib))
	status, body := c.response()
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, fmt.Sprint(100*kib))
	assert.Assert(t, s.budget.Held() <= budget)
	s.checkServed()
}

// Guards against another response than 503 for a body for which there is no memory, and against
// a connection that is left unusable for the client to read it.
func TestBodyBeyondBudgetIsRefused(t *testing.T) {
	s := newTestServer(t, 128*kib, nil)
	c := s.connect()
	c.send(post(200*kib) + strings.Repeat("x", 200*kib))
	status, _ := c.response()
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.ErrorIs(t, <-s.failed, intake.ErrExhausted)
	s.waitHeld(isZero)
	s.checkServed()
}

// Guards against a body that stalls and holds its connection without end, and against one that
// arrives slowly and is cut off although it makes progress.
func TestBodyEndsOnlyIfItStalls(t *testing.T) {
	s := newTestServer(t, 1024*kib, func(o *Options) { o.BodyTimeout = 400 * time.Millisecond })
	slow, stalled := s.connect(), s.connect()
	stalled.send(post(40) + "x")
	slow.send(post(40))
	for range 40 { // takes 800 ms, each byte far less than the limit
		slow.send("x")
		time.Sleep(20 * time.Millisecond)
	}
	status, body := slow.response()
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "40")
	assert.ErrorIs(t, <-s.failed, os.ErrDeadlineExceeded)
	s.waitHeld(isZero)
}

// Guards against the refusal of a body in chunks of one byte, whose chunk heads are five times
// its length.
func TestBodyInTinyChunksIsServed(t *testing.T) {
	s := newTestServer(t, 1024*kib, nil)
	c := s.connect()
	c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 256*kib) + "0\r\n\r\n")
	status, body := c.response()
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, fmt.Sprint(256*kib))
}

// Guards against a client that sends requests, never reads the responses, and holds its
// connection without end.
func TestResponseNeverReadEndsConnection(t *testing.T) {
	s := newTestServer(t, 1024*kib, func(o *Options) { o.WriteTimeout = 200 * time.Millisecond })
	c := s.connect()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if _, err := io.WriteString(c, strings.Repeat(post(1)+"x", 1000)); err != nil {
				return
			}
		}
	}()
	select {
	case <-ended:
	case <-time.After(19 * time.Second):
		t.Fatal("the connection is open")
	}
	s.waitHeld(isZero)
	s.checkServed()
}

// Guards against bytes that are not charged for later requests on a connection, and against
// bytes that stay charged while it is idle or after it was closed.
func TestBytesAreReleasedWithEachAnswer(t *testing.T) {
	s := newTestServer(t, 1024*kib, nil)
	c := s.connect()
	for range 5 {
		c.send(post(50*kib) + strings.Repeat("x", 50*kib-1))
		s.waitHeld(func(held int64) bool { return held >= 50*kib-1 })
		c.send("x")
		status, _ := c.response()
		assert.Equal(t, status, http.StatusOK)
		s.waitHeld(isZero)
	}
	c.send(post(50*kib) + strings.Repeat("x", 40*kib))
	s.waitHeld(func(held int64) bool { return held >= 40*kib })
	assert.NilError(t, c.Close())
	s.waitHeld(isZero)
}

// Guards against a connection that cannot be used again after the handler has not read a body,
// and against a body without end that is read on after its request was answered.
func TestUnreadBodyIsDiscarded(t *testing.T) {
	s := newTestServer(t, 1024*kib, nil)
	c := s.connect()
	for range 2 {
		c.send("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000))
		status, _ := c.response()
		assert.Equal(t, status, http.StatusOK)
	}
	stalled := s.connect()
	began := time.Now()
	stalled.send("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\nx")
	status, _ := stalled.response()
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, time.Since(began) < intake.DefaultLimits.BodyTimeout, "the response waits for the body")
}

// Guards against HTTP/2 at the addresses of gateways and control processes, whose streams are not
// charged.
func TestNoHTTP2WithinBudget(t *testing.T) {
	s := newTestServer(t, 1024*kib, nil)
	c := s.connect()
	c.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	status, _ := c.response()
	assert.Assert(t, status != 0, "the answer is not one of HTTP/1.1")
}

// closedConn is a connection that was closed already.
type closedConn struct{ net.Conn }

func (closedConn) Close() error { return net.ErrClosed }

// openConn is a connection that records that it was closed.
type openConn struct {
	net.Conn
	closed bool
}

func (o *openConn) Close() error { o.closed = true; return nil }

// Guards against connections that were picked before, or have closed by themselves, and are
// picked again, so that a new connection finds no room although idle ones could be closed.
func TestClosedConnectionsDoNotCountAsRoom(t *testing.T) {
	i := newIdleConnections()
	for n := range 4 {
		i.observe(&closedConn{&net.TCPConn{}}, http.StateIdle)
		assert.Equal(t, i.order.Len(), n+1)
	}
	first, second, third := &openConn{}, &openConn{}, &openConn{}
	for _, c := range []*openConn{first, second, third} {
		i.observe(c, http.StateIdle)
	}
	i.closeOldest(1)
	assert.Assert(t, first.closed && !second.closed)
	i.closeOldest(1) // before the server has reported the end of the first
	assert.Assert(t, second.closed && !third.closed)
	i.observe(first, http.StateClosed)
	i.closeOldest(4)
	assert.Assert(t, third.closed)
	assert.Equal(t, i.order.Len()+len(i.elements), 0)
}
