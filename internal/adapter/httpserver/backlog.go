package httpserver

import (
	"sync/atomic"
	"time"
)

const (
	// maxStreamBacklog is how many streams of a server may be between the arrival of their head and
	// the charge for them, or between the decision to reset them and their end. Each takes about
	// 12 KiB that is not charged, so a hundred connections that open streams faster than the
	// processors can handle them would exhaust the memory.
	maxStreamBacklog = 128
	// maxReadDelay bounds the wait of a connection for the backlog. Some heads begin no stream, and
	// are counted until their connection has waited.
	maxReadDelay = 100 * time.Millisecond
	readDelay    = time.Millisecond
)

// backlog counts the streams of a server that take memory without a charge.
type backlog struct{ streams atomic.Int64 }

// wait waits while the backlog is too large, for a limited time.
func (b *backlog) wait() {
	for begin := time.Now(); b.streams.Load() > maxStreamBacklog && time.Since(begin) < maxReadDelay; {
		time.Sleep(readDelay)
	}
}

// announced counts the streams of one connection whose heads have arrived and that were not charged.
type announced struct {
	backlog *backlog
	streams atomic.Int64
}

// add records that the heads of n streams have arrived.
func (a *announced) add(n int) {
	a.streams.Add(int64(n))
	a.backlog.streams.Add(int64(n))
}

// started records that one of them was charged.
func (a *announced) started() {
	for {
		n := a.streams.Load()
		if n == 0 {
			return // it took longer than the wait, and was discounted
		}
		if a.streams.CompareAndSwap(n, n-1) {
			a.backlog.streams.Add(-1)
			return
		}
	}
}

// discount no longer counts the heads that have arrived: they are charged by now, or begin no stream.
func (a *announced) discount() { a.backlog.streams.Add(-a.streams.Swap(0)) }
