package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an answer that is taken for that of a later life, which ends the attempts that
// run on the worker, because the answer to an order that was sent later has been read before.
func TestAnswerReadAfterLaterOneIsNotOfLaterLife(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	mistaken := 0
	for range 10_000 {
		speed := 1 - maxClockDrift*random.Float64()
		reading := func(at time.Duration) int64 { return int64(speed * float64(at) / float64(time.Millisecond)) }
		sent := between(time.Minute, 2*time.Minute)
		answered := between(sent, sent+5*time.Millisecond)
		other := between(sent, sent+50*time.Millisecond)
		s := &session{}
		s.clock.observe(reading(sent-time.Second), sent-time.Second)
		s.clock.observe(reading(other), between(other, other+5*time.Millisecond))
		if s.answeredBySuccessor(sent, &OrderReply{Answer: Done, ClockMS: reading(answered)}) {
			mistaken++
		}
	}
	assert.Equal(t, mistaken, 0)
}
