package httpserver

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/descriptor"
)

// Guards against clients that are rejected, and against descriptors that run out, when more
// clients keep idle connections than the server may have.
func TestIdleConnectionsMakeRoomForNewClients(t *testing.T) {
	budget := descriptor.NewBudget(descriptor.ForFiles+64, 0, slog.New(slog.DiscardHandler), tally.NoopScope)
	part := budget.Part("accepted", 0.5)
	s, err := StartWithin("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }), Options{Part: part})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	get := func(client *http.Client) {
		response, err := client.Get("http://" + s.Address())
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Assert(t, part.Open() <= part.Size(), "%d connections", part.Open())
	}
	var clients []*http.Client
	for range 4 * part.Size() {
		client := &http.Client{Transport: &http.Transport{}}
		t.Cleanup(client.CloseIdleConnections)
		clients = append(clients, client)
		get(client)
	}
	for _, client := range clients { // all of them return
		get(client)
	}
}
