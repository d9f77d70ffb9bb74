package untrusted

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"laburnumgrade/test/deployment"
)

const (
	// bodyBytes is the platform's maximum size of a job (max_body_bytes).
	bodyBytes = 256 << 10
	// controlBodyBytes is the largest body of operators and workers.
	controlBodyBytes = 4 << 20
	// headBytes is over the platform's maximum of 16 KiB (max_header_bytes) and just under
	// the default limit of net/http, which is 1 MiB and 4 KiB.
	headBytes = 1 << 20
	// pieceBytes is the size of a piece of a body, pieceDelay the time between two.
	pieceBytes = 4 << 10
	pieceDelay = time.Millisecond
	// maxEndlessBytes bounds what a client sends without end on one connection.
	maxEndlessBytes = 4 << 20
	// maxTinyChunk is the maximum size of a very small chunk in bytes.
	maxTinyChunk = 16
	// maxUnreadRequests bounds the requests on a connection whose responses are not read. Their
	// responses are more than the buffers of a connection hold (4 MiB on the server by default).
	maxUnreadRequests = 20_000
	// stepsInJob is the platform's maximum number of tasks of a job, one for each step.
	stepsInJob = 10_000
	unknownKey = "9zq4k2v8w7x3m5n6p1r0"
	smallJob   = `{"spec":"1","steps":[{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":100}]}`
)

// head returns the head of a request about a client's job without the empty line at its end.
func head(method, key string, client int, fields ...string) string {
	return fmt.Sprintf("%s %s%016x HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nDeadline-Ms: 3000\r\nContent-Type: application/json\r\n%s",
		method, deployment.Prefix, client+1, deployment.FirstHost, key, strings.Join(fields, ""))
}

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

// pad adds white space before the last brace of a JSON object.
func pad(object string, size int) string {
	return object[:len(object)-1] + strings.Repeat(" ", size-len(object)) + "}"
}

// paddedJob is a job of the maximum size that decodes to a small one, manySteps one that
// decodes to a large one.
var (
	paddedJob = pad(smallJob, bodyBytes)
	manySteps = pad(`{"spec":"1","steps":[`+strings.Repeat(`{"count":1},`, stepsInJob-1)+`{"count":1}]}`, bodyBytes)
)

// keyAndJob returns the key and the job of a client. Half of the clients have a valid key.
// Jobs of many steps have an unknown one, as they would run long.
func keyAndJob(client int) (key, job string) {
	if client%2 == 0 {
		return deployment.FirstKey, paddedJob
	}
	return unknownKey, manySteps
}

func write(c net.Conn, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
	}
	return nil
}

// repeat writes a text again and again, maxEndlessBytes in sum.
func repeat(c net.Conn, text string) error {
	for n := 0; n < maxEndlessBytes; n += len(text) {
		if err := write(c, text); err != nil {
			return err
		}
	}
	return nil
}

// inPieces writes a text in pieces.
func inPieces(c net.Conn, text string) error {
	for len(text) > 0 {
		n := min(pieceBytes, len(text))
		if err := write(c, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(pieceDelay)
	}
	return nil
}

// tinyChunks is paddedJob in chunks of 1 to maxTinyChunk bytes without its last chunk.
var tinyChunks = func() string {
	var text strings.Builder
	for sent, size := 0, 1; sent+size < len(paddedJob); size = size%maxTinyChunk + 1 {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", size, paddedJob[sent:sent+size])
		sent += size
	}
	return text.String()
}()

// Loads for the public address of a gateway.
var (
	largeHeads = load{name: "heads over the limit", send: func(c net.Conn, client int) error {
		field := "X-Padding: " + strings.Repeat("x", 1000) + "\r\n"
		return write(c, head(http.MethodPost, unknownKey, client, contentLength(len(smallJob))), strings.Repeat(field, headBytes/len(field)), "\r\n", smallJob)
	}}
	endlessHeads = load{name: "endless heads", send: func(c net.Conn, client int) error {
		if err := write(c, head(http.MethodPost, unknownKey, client)); err != nil {
			return err
		}
		return repeat(c, "X-Padding: "+strings.Repeat("x", 1000)+"\r\n")
	}}
	emptyLines  = load{name: "endless empty lines", send: func(c net.Conn, _ int) error { return repeat(c, strings.Repeat("\r\n", 512)) }}
	wholeBodies = load{name: "whole bodies", send: func(c net.Conn, client int) error {
		key, job := keyAndJob(client)
		return write(c, head(http.MethodPost, key, client, contentLength(len(job))), "\r\n", job)
	}}
	shortBodies = load{name: "bodies one byte short", send: func(c net.Conn, client int) error {
		key, job := keyAndJob(client)
		return write(c, head(http.MethodPost, key, client, contentLength(len(job))), "\r\n", job[:len(job)-1])
	}}
	shortBodiesInPieces = load{name: "bodies one byte short, in pieces", send: func(c net.Conn, client int) error {
		key, job := keyAndJob(client)
		return inPieces(c, head(http.MethodPost, key, client, contentLength(len(job)))+"\r\n"+job[:len(job)-1])
	}}
	largeChunks = load{name: "large chunks, short", send: func(c net.Conn, client int) error {
		key, job := keyAndJob(client)
		return write(c, head(http.MethodPost, key, client, chunked), fmt.Sprintf("\r\n%x\r\n", len(job)), job[:len(job)-1])
	}}
	smallChunks = load{name: "very small chunks, short", send: func(c net.Conn, client int) error {
		key, _ := keyAndJob(client)
		return write(c, head(http.MethodPost, key, client, chunked), "\r\n", tinyChunks)
	}}
	unreadResponses = load{name: "unread responses", ignoresResponses: true, send: func(c net.Conn, client int) error {
		// A gateway answers PUT itself, GET after a call to the leader.
		request := head([]string{http.MethodPut, http.MethodGet}[client%2], deployment.FirstKey, client) + "\r\n"
		for range maxUnreadRequests {
			if err := write(c, request); err != nil {
				return err
			}
		}
		return nil
	}}
	stalledRequests = load{name: "stalled requests", send: func(c net.Conn, client int) error {
		return write(c, head(http.MethodPost, unknownKey, client, contentLength(len(smallJob))), "\r\n", smallJob[:len(smallJob)-1])
	}}
)

// gatewayLoads are all loads for a gateway.
var gatewayLoads = []load{
	largeHeads, endlessHeads, emptyLines, wholeBodies, shortBodies, shortBodiesInPieces, largeChunks, smallChunks, unreadResponses, stalledRequests,
}

// controlBodies is a load for the public address of a control process.
var controlBodies = load{name: "control bodies, short", send: func(c net.Conn, client int) error {
	path := "/config/put"
	if client%2 == 1 {
		path = fmt.Sprintf("/instances/i-%08x/heartbeat", client)
	}
	line := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n%s\r\n", path, contentLength(controlBodyBytes))
	return write(c, line, "{", controlPadding)
}}

// controlPadding is white space that leaves a body one byte short.
var controlPadding = strings.Repeat(" ", controlBodyBytes-2)
