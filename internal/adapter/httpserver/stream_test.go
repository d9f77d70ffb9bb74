package httpserver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/intake"
)

// http2Server is a server that also serves HTTP/2, and a client that uses one connection.
type http2Server struct {
	*testServer
	client *http.Client
}

func newHTTP2Server(t *testing.T, budget int64, change func(*Options)) *http2Server {
	s := newTestServer(t, budget, func(o *Options) {
		o.HTTP2 = intake.DefaultHTTP2Limits
		if change != nil {
			change(o)
		}
	})
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	return &http2Server{s, &http.Client{Transport: transport}}
}

// post sends a body and returns the status and body of the response.
func (s *http2Server) post(ctx context.Context, body io.Reader) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address(), body)
	if err != nil {
		return 0, "", err
	}
	response, err := s.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// checkPost checks that a body is received.
func (s *http2Server) checkPost(body string) {
	s.t.Helper()
	status, text, err := s.post(s.t.Context(), strings.NewReader(body))
	assert.Check(s.t, err)
	assert.Check(s.t, status == http.StatusOK && text == fmt.Sprint(len(body)), "%d %s", status, text)
}

// stalled sends a part of a body and keeps the stream open. Its result is sent to the channel.
func (s *http2Server) stalled(part string) (result <-chan error, end func()) {
	from, to := io.Pipe()
	failed := make(chan error, 1)
	go func() {
		_, _, err := s.post(context.Background(), from)
		failed <- err
	}()
	_, _ = io.WriteString(to, part)
	return failed, func() { _ = to.Close() }
}

// waitReset waits until a stream was reset.
func (s *http2Server) waitReset(result <-chan error) {
	s.t.Helper()
	select {
	case err := <-result:
		assert.ErrorContains(s.t, err, "INTERNAL_ERROR")
	case <-time.After(20 * time.Second):
		s.t.Fatal("the stream is open")
	}
}

// Guards against fewer streams on a connection than before, and against bytes that stay charged.
func TestManyStreamsOnOneConnection(t *testing.T) {
	s := newHTTP2Server(t, 64*1024*kib, nil)
	var group sync.WaitGroup
	for range 1000 {
		group.Go(func() { s.checkPost(strings.Repeat("x", 5000)) })
	}
	group.Wait()
	s.checkPost(strings.Repeat("x", 1024*kib)) // more than the window
	s.waitHeld(isZero)
}

// Guards against a stream that stalls without end, against the end of the connection with it, and
// against one that arrives slowly and is reset although it makes progress.
func TestStreamIsResetOnlyIfItStalls(t *testing.T) {
	s := newHTTP2Server(t, 1024*kib, func(o *Options) { o.BodyTimeout = 400 * time.Millisecond })
	s.checkPost("x")
	from, to := io.Pipe()
	result, end := s.stalled("x")
	defer end()
	go func() {
		for range 40 { // takes 800 ms, each byte far less than the limit
			_, _ = io.WriteString(to, "x")
			time.Sleep(20 * time.Millisecond)
		}
		_ = to.Close()
	}()
	status, text, err := s.post(t.Context(), from)
	assert.NilError(t, err)
	assert.Assert(t, status == http.StatusOK && text == "40", "%d %s", status, text)
	s.waitReset(result)
	assert.ErrorIs(t, <-s.failed, os.ErrDeadlineExceeded)
	s.checkPost("x")
	s.waitHeld(isZero)
}

// Guards against stalled streams that keep the whole budget, and against the end of other streams of
// their connection.
func TestStalledStreamMakesRoom(t *testing.T) {
	s := newHTTP2Server(t, 256*kib, nil)
	result, end := s.stalled(strings.Repeat("x", 100*kib))
	defer end()
	s.waitHeld(func(held int64) bool { return held >= 100*kib })
	slow, slowEnd := s.stalled("x")
	s.checkPost(strings.Repeat("x", 150*kib))
	s.waitReset(result)
	slowEnd()
	assert.NilError(t, <-slow)
	s.waitHeld(isZero)
}

// Guards against heads of streams that are not charged, and against a stream that is refused and
// served.
func TestStreamWithoutMemoryIsRefused(t *testing.T) {
	s := newHTTP2Server(t, 16*kib, nil)
	r, err := http.NewRequest(http.MethodGet, "http://"+s.Address(), nil)
	assert.NilError(t, err)
	r.Header.Set("Long", strings.Repeat("x", 6*kib))
	response, err := s.client.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	s.checkPost("x")
	s.waitHeld(isZero)
}

// Guards against header blocks without an end that are not charged, and against a connection that
// keeps its charge after the end of the block.
func TestUnfinishedHeaderBlockIsCharged(t *testing.T) {
	s := newHTTP2Server(t, 1024*kib, nil)
	c := s.connect()
	c.send(http2Preface + "\x00\x00\x00\x04\x00\x00\x00\x00\x00")
	c.send("\x00\x00\x02\x01\x01\x00\x00\x00\x01\x83\x86") // :method POST, :scheme http
	s.waitHeld(func(held int64) bool { return held >= int64(intake.DefaultLimits.MaxHeaderBytes) })
	c.send("\x00\x00\x02\x09\x04\x00\x00\x00\x01\x84\x81") // :path /, then an incorrect field
	s.waitHeld(isZero)
}

// Guards against a protocol that is mistaken, or a header block that is missed, if bytes arrive one
// by one.
func TestProtocolDetector(t *testing.T) {
	text := http2Preface + "\x00\x00\x00\x04\x00\x00\x00\x00\x00" + // SETTINGS
		"\x00\x00\x02\x01\x04\x00\x00\x00\x01\x83\x86" + // HEADERS, complete
		"\x00\x00\x03\x00\x00\x00\x00\x00\x01abc" + // DATA
		"\x00\x00\x01\x01\x04\x00\x00\x00\x01\x83" + // trailers
		"\x00\x00\x02\x01\x00\x00\x00\x00\x03\x83\x86" // HEADERS, incomplete
	const last = "\x00\x00\x01\x09\x04\x00\x00\x00\x03\x84" // CONTINUATION
	for _, size := range []int{1, 2, 7, len(text)} {
		var d protocolDetector
		heads, began := 0, 0
		var event protocolEvent
		for rest := []byte(text); len(rest) > 0; {
			n := min(size, len(rest))
			event = d.feed(rest[:n])
			rest = rest[n:]
			heads += event.heads
			if event.blockBegan {
				began++
			}
			assert.Assert(t, event.http2 || event.undecided)
		}
		assert.Assert(t, heads == 1 && began == 1 && event.inBlock, "size %d: %d heads, %d blocks, %+v", size, heads, began, event)
		event = d.feed([]byte(last))
		assert.Assert(t, event.heads == 1 && !event.inBlock, "%+v", event)
	}
	var d protocolDetector
	assert.Assert(t, d.feed([]byte("P")).undecided)
	assert.Assert(t, d.feed([]byte("OST / HTTP/1.1\r\n")) == protocolEvent{})
	assert.Assert(t, !d.http2())
}
