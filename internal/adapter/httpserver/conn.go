package httpserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"laburnumgrade/internal/intake"
)

const (
	// discardTimeout bounds the time for reading the rest of a body whose request was answered
	// before the body was complete. Without reading it, the response may be lost, but net/http
	// writes the response only afterwards, and clients wait 3 s for it.
	discardTimeout = time.Second
	// bytesPerHeaderLine is the memory of a header field beside its text. A field that has 5
	// bytes in the request takes about 80 in the header map.
	bytesPerHeaderLine = 96
)

// phase is what a connection is doing with its current request.
type phase int

const (
	readingHead phase = iota
	readingBody
	// complete means that the request was received completely.
	complete
	// discarding means that the request was answered before its body was complete.
	discarding
	// awaitingHead means that no byte of the next request has arrived.
	awaitingHead
)

// conn is an accepted connection. While it uses HTTP/1, it charges the head of its current request
// to an account and observes how far the request has been received. Once it uses HTTP/2, it charges
// header blocks that are incomplete; a stream has an account of its own.
type conn struct {
	net.Conn
	account *intake.Account
	options *Options
	// protocol is used by the reader of the connection only.
	protocol protocolDetector
	// announced counts the streams of a connection that uses HTTP/2.
	announced announced
	closed    atomic.Bool

	mu    sync.Mutex
	phase phase
	// deadline is the read deadline that net/http has set, the zero time if none. It sets one in
	// the past to interrupt a read.
	deadline time.Time
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetDeadline(t)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.limitRead(); err != nil {
		return 0, err
	}
	if c.protocol.http2() {
		c.announced.settle()
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// limitRead sets the deadline for the next bytes of a body.
func (c *conn) limitRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != readingBody || c.options.BodyTimeout == 0 || !c.deadline.IsZero() {
		return nil
	}
	return c.Conn.SetReadDeadline(time.Now().Add(c.options.BodyTimeout))
}

// received records received bytes. It returns false if there is no room for them.
func (c *conn) received(data []byte) bool {
	if c.options.HTTP2.MaxStreams > 0 {
		switch event := c.protocol.feed(data); {
		case event.http2:
			return c.receivedHTTP2(event)
		case event.undecided:
			// At most the preface, which the header timeout of net/http covers.
			return true
		}
	}
	c.mu.Lock()
	if c.phase == awaitingHead {
		c.phase = readingHead
	}
	now := c.phase
	if now != complete {
		c.account.Progress() // under the lock, so that it is not called after Complete
	}
	c.mu.Unlock()
	// What comes after a complete request is the beginning of the next one, of which net/http
	// holds at most 4 KiB.
	if now == readingHead && !c.options.Internal {
		head, _, _ := bytes.Cut(data, []byte("\r\n\r\n")) // a body may follow in the same read
		return c.account.Charge(int64(len(data)+bytesPerHeaderLine*bytes.Count(head, []byte{'\n'}))) == nil
	}
	return true
}

// receivedHTTP2 records received bytes of a connection that uses HTTP/2. net/http reads a header
// block as a whole, so the memory of the largest head is charged while one is incomplete.
func (c *conn) receivedHTTP2(event protocolEvent) bool {
	c.announced.add(event.heads)
	if c.closed.Load() { // perhaps before the streams were counted
		c.announced.discount()
	}
	switch {
	case event.blockBegan && event.inBlock:
		c.account.Progress()
		return c.account.Charge(int64(c.options.MaxHeaderBytes)) == nil
	case event.inBlock:
		c.account.Progress()
	default:
		c.account.Answered()
	}
	return true
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.options.WriteTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.options.WriteTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the writing side, as net/http does before it closes a connection that a
// client still sends on.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.account.Close()
	c.closed.Store(true)
	c.announced.discount()
	return err
}

// enter records the phase of the current request. With a timeout above 0, reading ends when it
// is over, otherwise when net/http says.
func (c *conn) enter(p phase, timeout time.Duration) {
	c.mu.Lock()
	c.phase = p
	deadline := c.deadline
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	// An error means that the connection is closed; the next read returns it.
	_ = c.Conn.SetReadDeadline(deadline)
	c.mu.Unlock()
}

// observe records a change of the state of a connection. Its type is that of
// http.Server.ConnState.
func observe(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.mu.Lock()
		c.phase = awaitingHead
		c.mu.Unlock()
		c.account.Answered()
	}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// withConn returns the context of the requests of a connection. Its type is that of
// http.Server.ConnContext.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*conn)
	if !ok {
		return ctx
	}
	return intake.NewContext(context.WithValue(ctx, connKey{}, c), c.account)
}

// receive relates each request to its connection, or over HTTP/2 to its stream: it records when the
// request is complete, and bounds the time for the rest of a body that the handler has not read.
func receive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if r.ProtoMajor != 1 {
			c.serveStream(w, r, next)
			return
		}
		if r.Body == http.NoBody {
			c.enter(complete, 0)
			c.account.Complete()
			next.ServeHTTP(w, r)
			return
		}
		c.enter(readingBody, 0)
		c.account.Progress()
		received := &body{ReadCloser: r.Body, conn: c}
		// A copy, because net/http inspects the body of its own request after the handler.
		r = r.WithContext(r.Context())
		r.Body = received
		next.ServeHTTP(w, r)
		if !received.complete {
			c.enter(discarding, discardTimeout)
		}
	})
}

// body is the body of a request. It is read by one goroutine.
type body struct {
	io.ReadCloser
	conn     *conn
	complete bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.complete {
		b.complete = true
		b.conn.enter(complete, 0)
		b.conn.account.Complete()
	}
	return n, err
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	options *Options
	backlog backlog
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, options: l.options}
	c.announced.backlog, c.announced.none = &l.backlog, make(chan struct{}, 1)
	c.account = l.options.Budget.Open(func() { _ = c.Close() }, l.options.Internal)
	c.account.Progress() // a connection that sends nothing may be closed to make room as well
	return c, nil
}
