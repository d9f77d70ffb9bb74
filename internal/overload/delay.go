package overload

import "time"

const (
	// minDelayedJobs is the least number of waiting jobs that shows a delay: one job may wait
	// for a cause of its own.
	minDelayedJobs = 16
	// delayTime is how long the jobs of a class must have waited beyond their time until the
	// priority counts as delayed, and calmTime how long they must not have until it no longer
	// does. A change of the leader takes about a second, and what it has delayed is served
	// soon afterwards.
	delayTime = time.Second
	calmTime  = 2 * time.Second
	// calmShare is the share of the time to spare below which the wait must be to be calm.
	calmShare = 0.5
)

// Delays finds the priorities in which jobs wait beyond their time, from how long those have
// waited that have not started: whatever holds them up, room, advice, commits or the leader's
// processor. The zero value is ready to use.
type Delays struct {
	// late has since when jobs of a priority wait beyond their time, and calm since when those
	// of a delayed priority no longer do.
	late, calm map[int]time.Duration
	delayed    map[int]bool
}

// Observe returns the delayed priorities by the newest load.
func (d *Delays) Observe(l *Load, now time.Duration) map[int]bool {
	if d.delayed == nil {
		d.late, d.calm, d.delayed = map[int]time.Duration{}, map[int]time.Duration{}, map[int]bool{}
	}
	over, near := map[int]bool{}, map[int]bool{}
	for c := range l.Waits {
		if c == Overdue {
			continue
		}
		switch ratio := l.waitRatio(c); {
		case ratio > 1:
			over[c.Priority], near[c.Priority] = true, true
		case ratio > calmShare:
			near[c.Priority] = true
		}
	}
	for priority := range over {
		if _, known := d.late[priority]; !known {
			d.late[priority] = now
		}
		if now-d.late[priority] >= delayTime {
			d.delayed[priority] = true
		}
	}
	for priority := range d.late {
		if !over[priority] {
			delete(d.late, priority)
		}
	}
	for priority := range d.delayed {
		if near[priority] {
			delete(d.calm, priority)
			continue
		}
		if _, known := d.calm[priority]; !known {
			d.calm[priority] = now
		}
		if now-d.calm[priority] >= calmTime {
			delete(d.calm, priority)
			delete(d.delayed, priority)
		}
	}
	result := make(map[int]bool, len(d.delayed))
	for priority := range d.delayed {
		result[priority] = true
	}
	return result
}

// waitRatio returns the expected wait of a job of a class, twice the mean of what those have
// waited that have not started, as a share of its time to spare.
func (l *Load) waitRatio(c Class) float64 {
	w := l.Waits[c]
	if w.Jobs < minDelayedJobs {
		return 0
	}
	return 2 * w.Sum.Seconds() / float64(w.Jobs) / c.spare().Seconds()
}
