package intake

import "time"

// Limits bound the connections of a server.
type Limits struct {
	// MaxHeaderBytes is the maximum size of the head of a request in bytes.
	MaxHeaderBytes int
	// HeaderTimeout is how long a client may take to send the head of a request.
	HeaderTimeout time.Duration
	// BodyTimeout is how long a client may send no further byte of a body.
	BodyTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept, 0 for no limit.
	IdleTimeout time.Duration
	// WriteTimeout bounds each write of a response, so that a client that never reads does not hold
	// its connection. It is not http.Server.WriteTimeout, which includes the time for the body of
	// the request.
	WriteTimeout time.Duration
}

// DefaultLimits are reached by no client within the limits that a site states: heads of 16 KiB
// (sites may state more), 3 s for a head and 15 s idle.
var DefaultLimits = Limits{
	MaxHeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, BodyTimeout: 30 * time.Second, IdleTimeout: time.Minute, WriteTimeout: 30 * time.Second,
}

// HTTP2Limits bound what a connection of a client that uses HTTP/2 may hold.
type HTTP2Limits struct {
	// MaxStreams is the maximum number of requests in progress on a connection.
	MaxStreams int
	// WindowBytes is how much of the bodies of a connection may be received before it was read.
	WindowBytes int
}

// DefaultHTTP2Limits admit as many streams as net/http does by default. A window of 256 KiB allows a
// body 5 MB/s over a round trip of 50 ms; net/http's default is 1 MiB for each connection.
var DefaultHTTP2Limits = HTTP2Limits{MaxStreams: 250, WindowBytes: 256 << 10}
