package entry

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/internal/standin"
)

// Guards against a call that is run by an instance of another service. The instance to which
// the entry sends it has ended, and the other one has got its address before the entry's
// next listing.
func TestCallIsNotRunByOtherInstance(t *testing.T) {
	records := standin.NewRecords()
	other, err := standin.NewInstance(standin.InstanceConfig{
		ID: "other", DataCentre: "x", Team: "u", Service: "other", Listen: "127.0.0.1:0", Slots: 8, Connections: 64,
		Client: http.DefaultClient, Records: records, Logger: slog.New(slog.DiscardHandler),
	})
	assert.NilError(t, err)
	c := newCell(t, idempotent, "a")
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewInstanceServiceHandler(other))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	c.control.mu.Lock()
	c.control.instances[0].InstanceId = "i1"
	c.control.instances[0].Address = strings.TrimPrefix(server.URL, "http://")
	c.control.mu.Unlock()
	c.entries[0].relistRequested <- struct{}{}
	waitFor(t, func() bool {
		got := c.send(t, newID(), longDeadline)
		return got.InstanceId == "i1" || got.Outcome != ok
	})
	assert.Equal(t, records.Report().Summary.Runs, 0, "an instance of another service ran a call")
}
