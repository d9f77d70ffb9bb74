package untrusted

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// streams is how many requests a client sends on its connection at once. The server allows
	// 250 by default.
	streams = 100
	// bodyStreams is how many of them have a large body.
	bodyStreams = 8
	// legalHeadBytes is within the limit of 64 KiB for a head.
	legalHeadBytes = 32 << 10
	frameBytes     = 16 << 10

	frameData         = 0
	frameHeaders      = 1
	frameSettings     = 4
	frameContinuation = 9

	flagEndStream  = 1
	flagEndHeaders = 4

	preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// frame returns a frame of HTTP/2.
func frame(kind, flags byte, stream uint32, payload string) string {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	head = append(head, flags)
	return string(binary.BigEndian.AppendUint32(head, stream)) + payload
}

// hpackField returns a header field as a literal that is not indexed.
func hpackField(name, value string) string {
	return "\x00" + hpackText(name) + hpackText(value)
}

// hpackText returns a text after its length, an integer with a prefix of 7 bits.
func hpackText(s string) string {
	n := len(s)
	if n < 127 {
		return string(rune(n)) + s
	}
	head := []byte{127}
	for n -= 127; n >= 128; n >>= 7 {
		head = append(head, byte(n)|128)
	}
	return string(append(head, byte(n))) + s
}

// headBlock returns the head of a call with padding.
func headBlock(path string, padding int) string {
	return hpackField(":method", http.MethodPost) + hpackField(":scheme", "http") + hpackField(":path", path) + hpackField(":authority", "entry") +
		hpackField("content-type", "application/json") + strings.Repeat(hpackField("x-padding", strings.Repeat("x", 1000)), padding/1000)
}

// headFrames returns the frames of a head.
func headFrames(stream uint32, flags byte, block string) string {
	var text strings.Builder
	kind := byte(frameHeaders)
	for {
		part := block[:min(len(block), frameBytes)]
		block = block[len(part):]
		if block == "" {
			flags |= flagEndHeaders
		}
		text.WriteString(frame(kind, flags, stream, part))
		if block == "" {
			return text.String()
		}
		kind, flags = frameContinuation, 0
	}
}

// streamID returns the identifier of a client's stream.
func streamID(i int) uint32 { return uint32(2*i + 1) }

// sendStreams writes the preface and something for each of n streams.
func sendStreams(c net.Conn, settings string, n int, text func(stream uint32) string) error {
	if err := write(c, preface, frame(frameSettings, 0, 0, settings)); err != nil {
		return err
	}
	for i := range n {
		if err := write(c, text(streamID(i))); err != nil {
			return err
		}
	}
	return nil
}

// stallingBody is a body whose reads block at its end until it is closed.
type stallingBody struct {
	io.Reader
	atEnd  func()
	closed chan struct{}
	once   sync.Once
}

func (b *stallingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.atEnd()
		<-b.closed
		return 0, errors.New("the body was closed")
	}
	return n, err
}

func (b *stallingBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// sendBodies sends calls on streams of one connection, and returns when the bodies were sent as far
// as the server takes them until the deadline for sending. Bodies that are short stop one byte before
// their end and stay open.
func sendBodies(c net.Conn, client int, short bool) error {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialed := false
	transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
		if dialed {
			return nil, errors.New("the connection has ended")
		}
		dialed = true
		return c, nil
	}}
	var sent sync.WaitGroup
	for i := range bodyStreams {
		path, body := entryTarget.call(client + i)
		sent.Add(1)
		done := sync.OnceFunc(sent.Done)
		var reader io.Reader = strings.NewReader(body)
		if short {
			reader = &stallingBody{Reader: strings.NewReader(body[:len(body)-1]), atEnd: done, closed: make(chan struct{})}
		}
		request, err := http.NewRequest(http.MethodPost, "http://entry"+path, reader)
		if err != nil {
			return err
		}
		request.ContentLength = int64(len(body))
		request.Header.Set("Content-Type", "application/json")
		go func() {
			defer done()
			response, err := transport.RoundTrip(request)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}()
	}
	all := make(chan struct{})
	go func() {
		sent.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-time.After(sendTime):
	}
	return nil
}

// http2Loads are the loads that differ from those over HTTP/1.1.
var http2Loads = []load{
	{name: "many heads with stalled bodies", send: func(c net.Conn, client int) error {
		path, _ := entryTarget.call(client)
		block := headBlock(path, legalHeadBytes)
		return sendStreams(c, "", streams, func(stream uint32) string { return headFrames(stream, 0, block) })
	}},
	{name: "unfinished heads", send: func(c net.Conn, client int) error {
		path, _ := entryTarget.call(client)
		block := headBlock(path, legalHeadBytes)
		return sendStreams(c, "", 1, func(stream uint32) string {
			return frame(frameHeaders, 0, stream, block[:frameBytes]) + frame(frameContinuation, 0, stream, block[frameBytes:min(2*frameBytes, len(block))])
		})
	}},
	{name: "endless heads", send: func(c net.Conn, client int) error {
		path, _ := entryTarget.call(client)
		err := sendStreams(c, "", 1, func(stream uint32) string { return frame(frameHeaders, 0, stream, headBlock(path, 0)) })
		if err != nil {
			return err
		}
		return repeat(c, frame(frameContinuation, 0, streamID(0), strings.Repeat(hpackField("x-padding", strings.Repeat("x", 1000)), 16)))
	}},
	{name: "whole bodies on many streams", ignoresResponses: true, send: func(c net.Conn, client int) error { return sendBodies(c, client, false) }},
	{name: "bodies one byte short on many streams", ignoresResponses: true, send: func(c net.Conn, client int) error { return sendBodies(c, client, true) }},
	{name: "stalled requests on many streams", send: func(c net.Conn, client int) error {
		path, _ := entryTarget.call(client)
		block := headBlock(path, 0)
		return sendStreams(c, "", streams, func(stream uint32) string {
			return headFrames(stream, 0, block) + frame(frameData, 0, stream, smallSubmission[:len(smallSubmission)-1])
		})
	}},
	{name: "unread responses on many streams", ignoresResponses: true, send: func(c net.Conn, client int) error {
		path, _ := entryTarget.call(client)
		block := headBlock(path, 0)
		noWindow := "\x00\x04\x00\x00\x00\x00" // SETTINGS_INITIAL_WINDOW_SIZE 0
		return sendStreams(c, noWindow, streams, func(stream uint32) string {
			return headFrames(stream, 0, block) + frame(frameData, flagEndStream, stream, smallSubmission)
		})
	}},
}
