package untrusted

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net"
	"strings"
)

const (
	// callBodyBytes is the default of max_body.
	callBodyBytes = 1 << 20
	submitPath    = "/laburnumgrade.api.v1.CallerService/SubmitJob"
	heartbeatPath = "/laburnumgrade.api.v1.TargetService/Heartbeat"
	peerSubmit    = "/twirp/laburnumgrade.peer.v1.DataCentreService/SubmitJob"
	peerHeartbeat = "/twirp/laburnumgrade.peer.v1.DataCentreService/Heartbeat"
	peerRaft      = "/twirp/laburnumgrade.peer.v1.RaftService/Deliver"
	// maxUnreadCalls bounds the requests on a connection whose responses are not read.
	maxUnreadCalls = 20_000
)

const smallSubmission = `{"jobId":"018f0000-0000-7000-8000-000000000000","team":"nobody","service":"none","payload":"QUFB"}`

// Bodies of the maximum size. The first decodes to about its own size, the second to a message
// many times larger, because each element is a message of its own.
var (
	largeSubmission = func() string {
		const before, after = `{"jobId":"018f0000-0000-7000-8000-000000000000","team":"nobody","service":"none","payload":"`, `"}`
		n := (callBodyBytes - len(before) - len(after)) / 4 * 4
		text := before + strings.Repeat("QUFB", n/4) + after
		return pad(text, callBodyBytes)
	}()
	manyEnds = func() string {
		const before, after = `{"workerId":"w","ended":[{}`, `]}`
		n := (callBodyBytes - len(before) - len(after)) / len(`,{}`)
		return pad(before+strings.Repeat(`,{}`, n)+after, callBodyBytes)
	}()
	// compressedSubmission has about a thousandth of the size of largeSubmission.
	compressedSubmission = func() string {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		// Writes to a buffer do not fail.
		_, _ = w.Write([]byte(largeSubmission))
		_ = w.Close()
		return b.String()
	}()
	// tinyCallChunks is largeSubmission in chunks of 1 to maxTinyChunk bytes without its last chunk.
	tinyCallChunks = func() string {
		var text strings.Builder
		for sent, size := 0, 1; sent+size < len(largeSubmission); size = size%maxTinyChunk + 1 {
			fmt.Fprintf(&text, "%x\r\n%s\r\n", size, largeSubmission[sent:sent+size])
			sent += size
		}
		return text.String()
	}()
)

// callHead returns the head of a call without the empty line at its end.
func callHead(path string, fields ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n%s", path, strings.Join(fields, ""))
}

// callTarget is where the calls of a crowd go.
type callTarget struct {
	// paths and bodies are those of the calls; a client uses those with the index of its number
	// modulo their count.
	paths, bodies []string
}

var (
	// entryTarget is the public address of lg-entry, controlTarget the peer address of lg-control.
	entryTarget   = callTarget{[]string{submitPath, heartbeatPath}, []string{largeSubmission, manyEnds}}
	controlTarget = callTarget{[]string{peerSubmit, peerHeartbeat, peerRaft}, []string{largeSubmission, manyEnds, largeSubmission}}
)

func (c *callTarget) call(client int) (path, body string) {
	i := client % len(c.paths)
	return c.paths[i], c.bodies[i]
}

// callLoads returns the loads over HTTP/1.1.
func callLoads(target callTarget) []load {
	whole := func(name string, send func(c net.Conn, path, body string) error) load {
		return load{name: name, send: func(c net.Conn, client int) error {
			path, body := target.call(client)
			return send(c, path, body)
		}}
	}
	return []load{
		whole("heads over the limit", func(c net.Conn, path, _ string) error {
			field := "X-Padding: " + strings.Repeat("x", 1000) + "\r\n"
			return write(c, callHead(path, contentLength(len(smallSubmission))), strings.Repeat(field, headBytes/len(field)), "\r\n", smallSubmission)
		}),
		whole("endless heads", func(c net.Conn, path, _ string) error {
			if err := write(c, callHead(path)); err != nil {
				return err
			}
			return repeat(c, "X-Padding: "+strings.Repeat("x", 1000)+"\r\n")
		}),
		whole("endless empty lines", func(c net.Conn, _, _ string) error { return repeat(c, strings.Repeat("\r\n", 512)) }),
		whole("whole bodies", func(c net.Conn, path, body string) error {
			return write(c, callHead(path, contentLength(len(body))), "\r\n", body)
		}),
		whole("bodies one byte short", func(c net.Conn, path, body string) error {
			return write(c, callHead(path, contentLength(len(body))), "\r\n", body[:len(body)-1])
		}),
		whole("bodies one byte short, in pieces", func(c net.Conn, path, body string) error {
			return inPieces(c, callHead(path, contentLength(len(body)))+"\r\n"+body[:len(body)-1])
		}),
		whole("large chunks, short", func(c net.Conn, path, body string) error {
			return write(c, callHead(path, chunked), fmt.Sprintf("\r\n%x\r\n", len(body)), body[:len(body)-1])
		}),
		whole("very small chunks, short", func(c net.Conn, path, _ string) error {
			return write(c, callHead(path, chunked), "\r\n", tinyCallChunks)
		}),
		whole("stalled requests", func(c net.Conn, path, _ string) error {
			return write(c, callHead(path, contentLength(len(smallSubmission))), "\r\n", smallSubmission[:len(smallSubmission)-1])
		}),
		{name: "unread responses", ignoresResponses: true, send: func(c net.Conn, client int) error {
			path, _ := target.call(client)
			request := callHead(path, contentLength(len(smallSubmission))) + "\r\n" + smallSubmission
			for range maxUnreadCalls {
				if err := write(c, request); err != nil {
					return err
				}
			}
			return nil
		}},
	}
}

// compressedBodies is a load of bodies that decode to a thousand times their size.
var compressedBodies = load{name: "compressed bodies", send: func(c net.Conn, _ int) error {
	return write(c, callHead(submitPath, "Content-Encoding: gzip\r\n", contentLength(len(compressedSubmission))), "\r\n", compressedSubmission)
}}

// stalledCalls is a load of small requests that stop one byte short, at any address.
var stalledCalls = load{name: "stalled requests", send: func(c net.Conn, _ int) error {
	return write(c, callHead(submitPath, contentLength(len(smallSubmission))), "\r\n", smallSubmission[:len(smallSubmission)-1])
}}
