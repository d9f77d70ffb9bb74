package hlc

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"
)

// logicalBits is the width of the counter below the milliseconds. A counter
// that overflows carries into the milliseconds, which keeps the order.
const logicalBits = 16

// MaxAhead is how far a stamp received may be ahead of the wall clock. One
// process with a wrong clock, or a corrupt header, would otherwise move the
// stamps of all others for good.
const MaxAhead = time.Hour

// Stamp is a point in hybrid logical time: milliseconds since the Unix epoch
// in the upper 48 bits and a counter in the lower 16. Zero means none.
type Stamp uint64

// FromTime returns the first stamp of the millisecond of t.
func FromTime(t time.Time) Stamp {
	return Stamp(max(t.UnixMilli(), 0)) << logicalBits
}

// Time returns the wall clock part of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)).UTC() }

// String returns the stamp as 16 hexadecimal digits, which sort as the stamps.
func (s Stamp) String() string { return fmt.Sprintf("%016x", uint64(s)) }

// Parse reads what String returns.
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

// Clock gives out stamps, each greater than all that it gave out or accepted
// before. It is lock-free and safe for concurrent use.
type Clock struct {
	wall func() time.Time
	last atomic.Uint64
}

// New returns a clock over a wall clock.
func New(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a new stamp.
func (c *Clock) Now() Stamp { return c.after(0) }

// Observe accepts a stamp received from another process and returns a new one
// that is greater. The error says that the stamp is more than MaxAhead ahead of
// the wall clock; the clock then ignores it.
func (c *Clock) Observe(received Stamp) (Stamp, error) {
	now := c.wall()
	if received > FromTime(now.Add(MaxAhead)) {
		return c.Now(), fmt.Errorf("stamp %v is at %v, more than %v ahead of %v", received, received.Time(), MaxAhead, now.UTC())
	}
	return c.after(received), nil
}

// after returns a new stamp greater than floor.
func (c *Clock) after(floor Stamp) Stamp {
	wall := uint64(FromTime(c.wall()))
	for {
		last := c.last.Load()
		next := max(last+1, uint64(floor)+1, wall)
		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}
