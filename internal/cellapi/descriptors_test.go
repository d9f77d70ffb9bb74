package cellapi

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/descriptor"
)

// pipeListener accepts connections that are made in memory.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against descriptors that run out because each of many workers has some idle
// connections, and against calls that fail although most connections are idle.
func TestConnectionsToManyWorkersStayWithinPart(t *testing.T) {
	for _, workers := range []int{100, 540, 2000} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			part := descriptor.NewBudget(0, 0, slog.New(slog.DiscardHandler), tally.NoopScope).Part("workers", 0)
			budget := descriptor.NewBudget(descriptor.ForFiles+800, 0, slog.New(slog.DiscardHandler), tally.NoopScope)
			assert.Assert(t, part.Size() > 0) // the least part is not empty
			part = budget.Part("workers", 1)
			l := &pipeListener{make(chan net.Conn), make(chan struct{})}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "{}")
			})}
			go func() { _ = server.Serve(l) }()
			t.Cleanup(func() { _ = server.Close() })
			var open, most atomic.Int64
			client := NewHTTPClient(6, part)
			t.Cleanup(client.CloseIdleConnections)
			client.Transport.(*http.Transport).DialContext = part.Dial(func(ctx context.Context, _, _ string) (net.Conn, error) {
				here, there := net.Pipe()
				select {
				case l.connections <- there:
				case <-ctx.Done():
					return nil, ctx.Err()
				}
				n := open.Add(1)
				for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
				}
				return &countedConn{Conn: here, open: &open}, nil
			})
			var failed atomic.Int64
			var calls sync.WaitGroup
			// Each worker gets two orders at the same time, some hundred workers at once.
			limit := make(chan struct{}, 400)
			for i := range 2 * workers {
				limit <- struct{}{}
				calls.Go(func() {
					defer func() { <-limit }()
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					reached, err := Post(ctx, client, fmt.Sprintf("worker-%d:80", i/2), "/", nil, nil)
					if !reached && err != nil {
						failed.Add(1)
					}
				})
			}
			calls.Wait()
			assert.Equal(t, failed.Load(), int64(0))
			assert.Assert(t, most.Load() <= int64(part.Size()), "%d connections", most.Load())
		})
	}
}

// countedConn subtracts itself from the open connections when it is closed.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed sync.Once
}

func (c *countedConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
