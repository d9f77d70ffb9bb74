package dispatch

import (
	"slices"
	"sync"
	"time"
)

// wallSampleTTL is how long a reading of a process's wall clock is used. It covers
// several announcements of a process, so that one missing announcement does not
// drop its clock.
const wallSampleTTL = 3 * time.Second

// A new leader uses the wall clock once it has readings of minWallSamples
// processes, or after wallSettleTime, in which every live process has announced
// itself.
const (
	minWallSamples = 3
	wallSettleTime = time.Second
)

// wallClock is the median of the wall clocks of all control processes, so that a
// step of a minority of them makes no occurrence due early or late.
type wallClock struct {
	mu sync.Mutex
	// offsets holds the newest reading of each process by peer address.
	offsets map[string]wallOffset
}

// wallOffset is the difference between a process's wall clock and this process's
// monotonic clock.
type wallOffset struct {
	// ms is in milliseconds; at is when the reading arrived.
	ms int64
	at time.Duration
}

func newWallClock() *wallClock { return &wallClock{offsets: map[string]wallOffset{}} }

// observe records a reading of a process's wall clock; readings that are not
// positive are ignored.
func (w *wallClock) observe(peer string, unixMS int64, now time.Duration) {
	if unixMS <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.offsets[peer] = wallOffset{unixMS - now.Milliseconds(), now}
}

// unixMS returns the wall-clock time in Unix milliseconds. For an even number of
// readings it uses the lower middle one, because a late occurrence is better than
// an early one. Without readings it uses the clock of this process.
func (w *wallClock) unixMS(now time.Duration) int64 {
	list := w.recent(now)
	if len(list) == 0 {
		return time.Now().UnixMilli()
	}
	slices.Sort(list)
	return list[(len(list)-1)/2] + now.Milliseconds()
}

// samples returns the number of readings that unixMS uses.
func (w *wallClock) samples(now time.Duration) int { return len(w.recent(now)) }

// recent returns the offsets that are not older than wallSampleTTL.
func (w *wallClock) recent(now time.Duration) []int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []int64
	for _, o := range w.offsets {
		if now-o.at <= wallSampleTTL {
			list = append(list, o.ms)
		}
	}
	return list
}
