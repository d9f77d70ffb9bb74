package port

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// TraceSent returns a context for one request and a function that reports, after the
// client has returned, whether a part of the request may have been sent. It may have been
// once the request has got a connection, whatever error follows: the error of a failed
// dial may be that of a redirect. The client's transport must be an http.Transport or
// pass the context on to one.
func TraceSent(ctx context.Context) (context.Context, func() bool) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), sent.Load
}
