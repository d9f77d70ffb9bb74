package cellnode

import (
	"log/slog"
	"net"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/descriptor"
)

// Guards against a leader that cannot send heartbeats, and loses its leadership, because calls
// to other processes use all descriptors.
func TestLeaderIsElectedWhileCallsUseAllDescriptors(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = held.Close() })
	budget := descriptor.NewBudget(0, 0, slog.New(slog.DiscardHandler), tally.NoopScope)
	s := newTestCluster(t, 3)
	s.peers = func() *descriptor.Part {
		p := budget.Part("peers", 0) // the least size
		for p.Open() < p.Size() {
			c, err := p.Dial((&net.Dialer{}).DialContext)(t.Context(), "tcp", held.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = c.Close() })
		}
		return p
	}
	s.consensus = func() *descriptor.Part { return budget.Part("consensus", 0) }
	for i := range 3 {
		s.start(i, true)
	}
	s.waitForLeader()
}
