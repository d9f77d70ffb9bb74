package hlc

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"
)

// logicalBits is the width of the counter below the milliseconds. If the counter
// overflows, it carries into the milliseconds, which preserves the order.
const logicalBits = 16

// MaxAhead is how far a received stamp may be ahead of the wall clock. Without
// this limit, one process with a wrong clock, or a corrupt header, would move the
// stamps of all other processes ahead permanently.
const MaxAhead = time.Hour

// Stamp is a point in hybrid logical time: milliseconds since the Unix epoch
// in the upper 48 bits and a counter in the lower 16. Zero means that there is no stamp.
type Stamp uint64

// FromTime returns the first stamp of the millisecond of t.
func FromTime(t time.Time) Stamp {
	return Stamp(max(t.UnixMilli(), 0)) << logicalBits
}

// Time returns the wall clock part of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)).UTC() }

// String returns the stamp as 16 hexadecimal digits. Their alphabetical order is
// the order of the stamps.
func (s Stamp) String() string { return fmt.Sprintf("%016x", uint64(s)) }

// Parse parses a text that String returned.
func Parse(text string) (Stamp, error) {
	if len(text) != 16 {
		return 0, fmt.Errorf("stamp %q is not 16 hexadecimal digits", text)
	}
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("stamp %q is not 16 hexadecimal digits", text)
	}
	return Stamp(n), nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Stamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Stamp) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	*s = parsed
	return err
}

// Clock issues stamps, each greater than all stamps that it issued or accepted
// before. It is lock-free and safe for concurrent use.
type Clock struct {
	wall func() time.Time
	last atomic.Uint64
}

// New returns a clock that reads the wall clock through the function wall.
func New(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a new stamp.
func (c *Clock) Now() Stamp { return c.nextAfter(0) }

// Observe accepts a stamp received from another process and returns a new, greater
// one. If the received stamp is more than MaxAhead ahead of the wall clock, the
// clock ignores it: Observe then returns an error and a new stamp as from Now.
func (c *Clock) Observe(received Stamp) (Stamp, error) {
	now := c.wall()
	if received > FromTime(now.Add(MaxAhead)) {
		return c.Now(), fmt.Errorf("stamp %v is at %v, more than %v ahead of %v", received, received.Time(), MaxAhead, now.UTC())
	}
	return c.nextAfter(received), nil
}

// nextAfter returns a new stamp greater than floor.
func (c *Clock) nextAfter(floor Stamp) Stamp {
	wall := uint64(FromTime(c.wall()))
	for {
		last := c.last.Load()
		next := max(last+1, uint64(floor)+1, wall)
		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}
