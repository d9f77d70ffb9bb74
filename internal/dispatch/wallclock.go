package dispatch

import (
	"slices"
	"sync"
	"time"
)

// wallSampleLife is how long a reading of a process's time of day counts: some
// intervals in which processes announce themselves.
const wallSampleLife = 3 * time.Second

// A new leader trusts the time of day once it has so many readings, or after a
// time in which every process has announced itself.
const (
	wallSamples = 3
	wallSettle  = time.Second
)

// wallClock is the time of day by the median of the clocks of all processes, so
// that a step of some of them makes no occurrence due early or late.
type wallClock struct {
	mu      sync.Mutex
	offsets map[string]wallOffset
}

// wallOffset is the time of day less the steady clock, in milliseconds.
type wallOffset struct {
	ms int64
	at time.Duration
}

func newWallClock() *wallClock { return &wallClock{offsets: map[string]wallOffset{}} }

// observe takes in a reading of a process's clock.
func (w *wallClock) observe(peer string, unixMS int64, now time.Duration) {
	if unixMS <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.offsets[peer] = wallOffset{unixMS - now.Milliseconds(), now}
}

// unixMS returns the time of day. Of an even number of readings the lower middle
// one counts: late is better than early. Without readings it is this process's.
func (w *wallClock) unixMS(now time.Duration) int64 {
	list := w.recent(now)
	if len(list) == 0 {
		return time.Now().UnixMilli()
	}
	slices.Sort(list)
	return list[(len(list)-1)/2] + now.Milliseconds()
}

// samples returns how many clocks the time of day rests on.
func (w *wallClock) samples(now time.Duration) int { return len(w.recent(now)) }

// recent returns the offsets that count.
func (w *wallClock) recent(now time.Duration) []int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []int64
	for _, o := range w.offsets {
		if now-o.at <= wallSampleLife {
			list = append(list, o.ms)
		}
	}
	return list
}
