package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waiting returns a load in which jobs of a class have waited for a time.
func waiting(c Class, jobs int, waited time.Duration) *Load {
	l := NewLoad()
	for range jobs {
		l.AddWait(c, waited)
	}
	return l
}

// Load: jobs of one priority wait beyond their time for many seconds while workers are free, and
// then no longer. Guards against a cell that accepts all of them because it counts free workers
// only, and against one that goes on refusing.
func TestDelayFollowsWaits(t *testing.T) {
	c := ClassOf(1, 4*time.Second)
	var d Delays
	now := time.Duration(0)
	observe := func(jobs int, waited, length time.Duration) (delayed bool) {
		for end := now + length; now < end; now += 200 * time.Millisecond {
			delayed = d.Observe(waiting(c, jobs, waited), now)[c.Priority]
		}
		return delayed
	}
	assert.Assert(t, !observe(100, 1900*time.Millisecond, 10*time.Second), "half of the jobs wait for less than twice the mean")
	assert.Assert(t, !observe(100, 3*time.Second, delayTime), "shorter than a change of the leader")
	assert.Assert(t, !observe(100, time.Second, time.Second))
	assert.Assert(t, !observe(minDelayedJobs-1, time.Minute, 10*time.Second), "too few jobs")
	assert.Assert(t, observe(100, 3*time.Second, 2*delayTime))
	assert.Assert(t, observe(100, 1500*time.Millisecond, 10*time.Second), "not calm yet")
	assert.Assert(t, observe(0, 0, calmTime), "calm for a moment")
	assert.Assert(t, !observe(0, 0, calmTime))
}

// Load: thousands of jobs whose time is long past, after a burst. Guards against refusals of new
// jobs, which are served before them.
func TestOverdueWorkRefusesNothing(t *testing.T) {
	var d Delays
	l := fullCell(1)
	l.Add("a", Overdue, tasks(1_000_000))
	for range 1000 {
		l.AddWait(Overdue, time.Minute)
	}
	assert.Assert(t, l.Overloaded(false), "it has to be completed")
	for now := time.Duration(0); now < 10*time.Second; now += 200 * time.Millisecond {
		l.Delayed = d.Observe(l, now)
	}
	assert.Equal(t, len(l.Delayed), 0)
	assert.Equal(t, l.Admit(newJob("b", 1), 0).Reason, None)
}

// Load: jobs wait although workers are free. Guards against a backlog that is accepted as if it
// could start at once.
func TestFreeWorkersDoNotHideDelay(t *testing.T) {
	l := fullCell(1)
	l.Free = cores(900)
	l.Add("a", class(1), tasks(1300)) // 3.5 s at the rate at which such work starts
	assert.Equal(t, l.Admit(newJob("b", 1), 0).Reason, NoRoom)
	l = fullCell(1)
	l.Free = cores(900)
	l.Served[class(1)] = Work{CoreSeconds: 100, Starts: 50}
	l.Add("a", class(1), tasks(200))
	assert.Equal(t, l.Admit(newJob("b", 1), 0).Reason, None)
	l.Delayed[1] = true
	assert.Equal(t, l.Admit(newJob("b", 1), 0).Reason, NoRoom)
}
