package admission

import (
	"math"
	"time"
)

// drainHalfLife is the age at which a start counts half in the rate of starts.
const drainHalfLife = 30 * time.Second

// drainEnough is the weight of recent starts from which the rate is used.
const drainEnough = 5

// drain is the rate at which a queue's tasks start, decayed with age.
type drain struct {
	starts float64
	at     time.Duration
}

func (d *drain) decay(now time.Duration) {
	if now <= d.at {
		return
	}
	d.starts *= math.Exp2(-float64(now-d.at) / float64(drainHalfLife))
	d.at = now
}

func (d *drain) add(tasks int, now time.Duration) {
	d.decay(now)
	d.starts += float64(tasks)
}

// wait returns how long n tasks take to start at the recent rate, or false if
// too few have started to say.
func (d *drain) wait(n int, now time.Duration) (time.Duration, bool) {
	d.decay(now)
	if d.starts < drainEnough {
		return 0, false
	}
	// The decayed count of a steady rate r is r x halfLife / ln 2.
	rate := d.starts * math.Ln2 / float64(drainHalfLife)
	return time.Duration(float64(n) / rate), true
}
