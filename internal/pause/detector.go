package pause

import (
	"context"
	"sync"
	"time"

	"laburnumgrade/internal/port"
)

const (
	// readInterval is the interval at which the clock is read.
	readInterval = 50 * time.Millisecond
	// minPause is the shortest time between two readings that counts as a pause. A busy
	// process may be late by some tenths of a second; clients wait longer than a second
	// for an answer before they send anything else.
	minPause = time.Second
	// afterPause is how long after a pause requests may still come that waited during it.
	afterPause = 250 * time.Millisecond
)

// Detector detects pauses of the process. A nil Detector detects none.
type Detector struct {
	clock port.Clock

	mu sync.Mutex
	// lastRead is the newest reading of the clock.
	lastRead time.Duration
	// resumedAt is when the last pause ended; it is valid if hasPaused is set.
	resumedAt time.Duration
	hasPaused bool
}

// New returns a detector. The clock must advance while the VM is suspended.
func New(clock port.Clock) *Detector { return &Detector{clock: clock, lastRead: clock.Now()} }

// Run reads the clock at each readInterval until the context ends.
func (d *Detector) Run(ctx context.Context) {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.JustResumed()
		}
	}
}

// JustResumed reports whether a pause has ended less than afterPause ago. It reads the clock
// itself, so that the result does not depend on whether Run or its caller continues first.
func (d *Detector) JustResumed() bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if now-d.lastRead >= minPause {
		d.resumedAt, d.hasPaused = now, true
	}
	d.lastRead = now
	return d.hasPaused && now-d.resumedAt < afterPause
}
