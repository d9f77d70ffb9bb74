package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// resettingWorkers are workers that close the connection of each start order at once.
type resettingWorkers struct {
	Workers
	starts atomic.Int64
}

func (w *resettingWorkers) Start(context.Context, Target, *StartOrder) (OrderReply, error) {
	w.starts.Add(1)
	time.Sleep(time.Millisecond) // a round trip
	return OrderReply{}, errors.New("connection reset by peer")
}

// Guards against start orders that are repeated without a pause to a worker that closes
// connections at once.
func TestStartIsRepeatedWithPauses(t *testing.T) {
	w := &resettingWorkers{}
	runCellWith(t, 1, func(c *Config) { w.Workers, c.Workers = c.Workers, w }, func(b *testCell) {
		b.submit(jobID1, taskStep(1, 2))
		time.Sleep(startValidity)
		starts := w.starts.Load()
		t.Logf("%d start orders in %v", starts, startValidity)
		assert.Assert(t, starts > 1 && starts <= int64(startValidity/retryDelay)+1, "%d orders", starts)
	})
}
