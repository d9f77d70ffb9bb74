package dispatch

import (
	"maps"
	"sync"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
)

// coldWorkers holds until when workers are slow after their start, as they report it. It is
// not part of the replicated state, which would change with each report; a new leader learns
// it from the next reports. The zero value is ready to use.
type coldWorkers struct {
	mu    sync.Mutex
	until map[incarnation]time.Duration
}

// incarnation identifies an incarnation of a worker.
type incarnation struct {
	worker string
	born   int64
}

// observe records for how long a worker remains cold from now on, 0 if it is not.
func (c *coldWorkers) observe(i incarnation, left, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if before, known := c.until[i]; left <= 0 && (!known || before <= now) {
		return
	}
	if c.until == nil {
		c.until = map[incarnation]time.Duration{}
	}
	c.until[i] = now + left
}

// isCold reports whether a worker is or was cold at a time.
func (c *coldWorkers) isCold(i incarnation, at time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at < c.until[i]
}

// retain drops the incarnations that are not wanted any more.
func (c *coldWorkers) retain(wanted func(incarnation) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.until, func(i incarnation, _ time.Duration) bool { return !wanted(i) })
}

// observeCold records how long the sender of a report remains cold.
func (t *term) observeCold(r *cellapi.Report, arrived time.Duration) {
	t.cold.observe(incarnation{r.ID, r.Born}, time.Duration(r.ColdLeftMS)*time.Millisecond, arrived)
}

// forgetCold drops the incarnations that were replaced.
func (t *term) forgetCold(v *cell.View) {
	t.cold.retain(func(i incarnation) bool {
		w := v.Worker(i.worker)
		return w != nil && w.Born == i.born
	})
}
