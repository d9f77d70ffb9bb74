package process

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/descriptor"
	"laburnumgrade/internal/intake"
)

// startTestServer starts a public server in a part of a few descriptors, and returns its address.
func startTestServer(t *testing.T) (address string, part *descriptor.Part) {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	part = descriptor.NewBudget(descriptor.ForFiles+64, 0, logger, tally.NoopScope).Part("accepted", 0.25)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := intake.ReadBody(r.Context(), r.Body); err != nil {
			return // the connection was closed
		}
		_, _ = io.WriteString(w, "ok")
	})
	const public = "127.0.0.1:0"
	servers, err := StartServers(map[string]http.Handler{public: handler}, Intake{
		Public: public, Limits: intake.DefaultLimits, Budget: intake.NewBudget(1<<20, logger, tally.NoopScope), Part: part,
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		stopped := make(chan struct{})
		close(stopped)
		_ = servers.Shutdown(stopped, 0)
	})
	return servers[0].Address(), part
}

// stall opens a connection with an incomplete request.
func stall(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx")
	assert.NilError(t, err)
	return c
}

// get sends a request over a new connection and leaves the connection idle.
func get(t *testing.T, address string) *http.Client {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	t.Cleanup(client.CloseIdleConnections)
	r, err := client.Get("http://" + address)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, r.Body)
	assert.NilError(t, err)
	assert.NilError(t, r.Body.Close())
	return client
}

// closedByServer reports whether the server has closed the connection.
func closedByServer(t *testing.T, c net.Conn, wait time.Duration) bool {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(wait)))
	_, err := c.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against clients that send a part of a request each and take all descriptors for
// accepted connections, so that no other client is served.
func TestStalledRequestsMakeRoomWhenDescriptorsAreUsedUp(t *testing.T) {
	address, part := startTestServer(t)
	first := stall(t, address)
	for range 2 * part.Size() {
		stall(t, address)
		assert.Assert(t, part.Open() <= part.Size())
	}
	get(t, address)
	assert.Assert(t, closedByServer(t, first, 10*time.Second), "the one that has stalled longest is open")
}

// Guards against clients whose request is being sent that are closed although there are idle
// connections.
func TestIdleConnectionsAreClosedBeforeStalledOnes(t *testing.T) {
	address, part := startTestServer(t)
	stalled := stall(t, address)
	for range 3 * part.Size() {
		get(t, address)
	}
	assert.Assert(t, !closedByServer(t, stalled, 50*time.Millisecond), "closed in place of an idle connection")
}
