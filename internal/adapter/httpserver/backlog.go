package httpserver

import (
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// maxStreamBacklog is how many streams of a server may be between the arrival of their head and
	// the charge for them, or between the decision to reset them and their end. Each takes 14 kB
	// that are not charged, so a hundred connections that open streams faster than the processors
	// can handle them would exhaust the memory.
	maxStreamBacklog = 128
	// maxBacklogDelay bounds the wait of a connection for room in the backlog.
	maxBacklogDelay = 500 * time.Millisecond
	backlogInterval = time.Millisecond
	// maxStartDelay bounds the wait of a connection for the charge of its streams. Some heads begin no
	// stream, for example those beyond the number that a connection may have.
	maxStartDelay = 200 * time.Millisecond
)

// backlog counts the streams of a server that take memory without a charge.
type backlog struct{ streams atomic.Int64 }

// add counts n further streams. While there is no room for them it waits, for a limited time.
func (b *backlog) add(n int64) {
	for begin := time.Now(); ; time.Sleep(backlogInterval) {
		held := b.streams.Load()
		if held > 0 && held+n > maxStreamBacklog && time.Since(begin) < maxBacklogDelay {
			continue
		}
		if b.streams.CompareAndSwap(held, held+n) {
			return
		}
	}
}

// announced counts the streams of one connection whose heads have arrived and that were not charged.
type announced struct {
	backlog *backlog
	streams atomic.Int64
	// none receives a value when the last one was charged.
	none chan struct{}
}

// add records that the heads of n streams have arrived. It returns once there is room for them.
func (a *announced) add(n int) {
	if n > 0 {
		a.backlog.add(int64(n))
		a.streams.Add(int64(n))
	}
}

// started records that one of them was charged.
func (a *announced) started() {
	for {
		n := a.streams.Load()
		if n == 0 {
			return // it took longer than the connection has waited
		}
		if a.streams.CompareAndSwap(n, n-1) {
			a.backlog.streams.Add(-1)
			if n == 1 {
				select {
				case a.none <- struct{}{}:
				default:
				}
			}
			return
		}
	}
}

// settle waits until the streams whose heads have arrived were charged, for a limited time, and no
// longer counts them then.
func (a *announced) settle() {
	if a.streams.Load() > 0 {
		runtime.Gosched() // most have a handler that is about to run
	}
	for begin := time.Now(); a.streams.Load() > 0; {
		left := maxStartDelay - time.Since(begin)
		if left <= 0 {
			break
		}
		select {
		case <-a.none: // may be of earlier streams
		case <-time.After(left):
		}
	}
	a.discount()
}

// discount no longer counts the heads that have arrived.
func (a *announced) discount() { a.backlog.streams.Add(-a.streams.Swap(0)) }
