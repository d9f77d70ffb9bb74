package routing

import (
	"time"
)

const (
	// loadAge is how long the load that a forward returned is believed.
	loadAge = time.Second
	// nearHop and farHop are the cost of a forward within the data centre and
	// to another one.
	nearHop = 1 * time.Millisecond
	farHop  = 4 * time.Millisecond
	// avoidTime is how long an entry that could not be reached gets no forward.
	avoidTime = time.Second
)

// remote is another entry as far as one service is concerned.
type remote struct {
	entry       string
	address     string
	near        bool
	outstanding int
	load        Load
	loadAt      time.Duration
	known       bool
	avoidUntil  time.Duration
	// slots is filled in by each choice.
	slots int
}

// wait returns the expected wait for an answer beyond the time of service.
func (r *remote) wait(now time.Duration) time.Duration {
	w := farHop
	if r.near {
		w = nearHop
	}
	fresh := r.known && now < r.loadAt+loadAge
	if fresh {
		w += r.load.ExpectedWait
	}
	if over := r.outstanding - r.slots; over > 0 && r.load.MeanServiceTime > 0 {
		w += r.load.MeanServiceTime * time.Duration(over) / time.Duration(r.slots)
	}
	return w
}

func (r *remote) learn(report Report, now time.Duration) {
	switch {
	case report.Load != nil:
		r.load = *report.Load
		r.loadAt = now
		r.known = true
	case report.Result == Unreachable || report.Result == NoValidAnswer:
		r.avoidUntil = now + avoidTime
	}
}
