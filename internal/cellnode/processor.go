package cellnode

import (
	"runtime"
	"sync"
	"time"

	"laburnumgrade/internal/port"
)

// processorProbeInterval is the interval of the timer of a processorProbe.
const processorProbeInterval = 5 * time.Millisecond

// processorProbe measures the longest wait of a goroutine for the processor while the
// probe runs, pauses of the whole process included, by the lateness of a timer.
type processorProbe struct {
	clock port.Clock

	mu      sync.Mutex
	timer   *time.Timer
	due     time.Duration // when the timer should expire next
	longest time.Duration
	stopped bool
}

// startProcessorProbe starts a probe. The caller must stop it.
func startProcessorProbe(c port.Clock) *processorProbe {
	p := &processorProbe{clock: c, due: c.Now() + processorProbeInterval}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(processorProbeInterval, p.expire)
	return p
}

// expire handles the expiry of the timer.
func (p *processorProbe) expire() {
	// A goroutine started by a timer runs first. After Gosched it waits in the global
	// queue, like one that returns from a system call.
	runtime.Gosched()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.record()
	p.timer.Reset(processorProbeInterval)
}

// record records the lateness of the current expiry, and when the next one is due.
func (p *processorProbe) record() {
	now := p.clock.Now()
	p.longest = max(p.longest, now-p.due)
	p.due = now + processorProbeInterval
}

// stop ends the measurement and returns the longest wait. An expiry that is overdue
// counts.
func (p *processorProbe) stop() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
	p.record()
	return p.longest
}
