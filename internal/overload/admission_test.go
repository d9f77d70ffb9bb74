package overload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/structs"
)

// cores is a size without memory.
func cores(n int64) structs.Resources { return structs.Resources{MilliCPU: n * 1000} }

// tasks are waiting tasks of two cores that run for a second.
func tasks(n int) Waiting {
	return Waiting{Work: TaskWork(cores(2), time.Second, float64(n)), Size: cores(2).Scale(int64(n))}
}

// newJob returns a job of ten tasks that may wait for 4 s.
func newJob(team string, priority int) *Job {
	return &Job{Team: team, Class: class(priority), Waiting: tasks(10), Chain: time.Second, Objective: 5 * time.Second}
}

func class(priority int) Class { return ClassOf(priority, 4*time.Second) }

// fullCell returns the load of a cell of 1,000 cores that starts 750 core-seconds a second of
// a priority.
func fullCell(priority int) *Load {
	l := NewLoad()
	l.Capacity = cores(1000)
	l.Served[class(priority)] = Work{CoreSeconds: 750, Starts: 375}
	return l
}

// Load: a burst of one queue at several times what the cell runs. Guards against a backlog
// that grows until everything in it is late.
func TestBurstLeavesBacklogWithinObjective(t *testing.T) {
	l := fullCell(1)
	accepted := 0
	for range 1000 {
		j := newJob("a", 1)
		if d := l.Admit(j, 0); d.Reason == None {
			l.Add("a", class(1), j.Waiting)
			accepted++
			continue
		}
	}
	wait := l.Wait(newJob("a", 1))
	assert.Assert(t, accepted > 50, "%d jobs", accepted)
	assert.Assert(t, wait >= time.Second && wait < 3*time.Second, "%v", wait)
}

// Load: less than the cell can run. Guards against refusals while workers are free, whatever
// has been started lately.
func TestNothingIsRefusedWhileWorkersAreFree(t *testing.T) {
	l := fullCell(1)
	l.Served = map[Class]Work{}
	l.Free = cores(900)
	for i := range 30 { // 600 cores, of the 650 that can be used
		j := newJob("a", 1)
		assert.Equal(t, l.Admit(j, 0).Reason, None, "job %d", i)
		l.Add("a", class(1), j.Waiting)
	}
}

// Load: one team at ten times its rate beside nine others. Guards against a team whose
// backlog keeps the jobs of the others out.
func TestTeamBeyondShareLeavesRoomForOthers(t *testing.T) {
	l := fullCell(1)
	for i := range 10 {
		l.Teams[fmt.Sprint(i)] = &Team{Weight: 1}
	}
	sent, refused := map[string]int{}, map[string]int{}
	submit := func(team int) {
		j := newJob(fmt.Sprint(team), 1)
		sent[j.Team]++
		if l.Admit(j, 0).Reason != None {
			refused[j.Team]++
			return
		}
		l.Add(j.Team, class(1), j.Waiting)
	}
	// In each tenth of a second the cell starts 75 core-seconds, nine teams send 54 and the
	// tenth sends 60.
	for tick := range 600 {
		for range 3 {
			submit(0)
		}
		for i := 1; i < 10; i++ {
			if (tick*3+i)%10 < 3 {
				submit(i)
			}
		}
		serve(l, 75)
	}
	for i := 1; i < 10; i++ {
		name := fmt.Sprint(i)
		assert.Assert(t, refused[name]*20 <= sent[name], "team %s: %d of %d refused, %d of %d of the team beyond its share", name, refused[name], sent[name], refused["0"], sent["0"])
	}
	assert.Assert(t, refused["0"] > sent["0"]/2, "%d of %d", refused["0"], sent["0"])
}

// serve starts an amount of core-seconds of priority 1, of all teams in proportion.
func serve(l *Load, amount float64) {
	total := l.Backlog[class(1)].Work.CoreSeconds
	if total <= 0 {
		return
	}
	share := min(1, amount/total)
	for name, team := range l.Teams {
		b := team.Backlog[class(1)]
		l.Remove(name, class(1), Waiting{b.Work.Scale(share), scale(b.Size, share)})
	}
}

// Load: more task starts than the leader can bear, with workers free. Guards against a leader
// that is busy with a backlog which it cannot start.
func TestStartsOfLeaderBoundBacklog(t *testing.T) {
	l := NewLoad()
	l.Capacity, l.Free = cores(100_000), cores(100_000)
	l.StartsPerSecond = 500
	l.Add("a", class(1), tasks(900))
	assert.Equal(t, l.Admit(newJob("b", 1), 0).Reason, None)
	l.Add("a", class(1), tasks(200))
	assert.Equal(t, l.Admit(newJob("b", 1), 0).Reason, NoRoom)
	assert.Equal(t, l.Admit(newJob("b", 0), 0).Reason, None, "more urgent work comes first")
}

// Load: a team at its limit in a cell with free workers. Guards against a backlog that the
// limit keeps from running in time.
func TestTeamLimitBoundsItsBacklog(t *testing.T) {
	l := NewLoad()
	l.Capacity, l.Free = cores(1000), cores(1000)
	l.Teams["a"] = &Team{Weight: 1, Limit: cores(20)}
	l.Add("a", class(1), tasks(45))
	assert.Equal(t, l.Admit(newJob("a", 1), 0).Reason, TeamLimit)
	assert.Equal(t, l.Admit(newJob("b", 1), 0).Reason, None)
}

// Guards against clients that come back together, sooner than there can be room, or never.
func TestRetryAfterFollowsWait(t *testing.T) {
	l := fullCell(1)
	l.Add("b", class(1), tasks(3000)) // 8 s
	early, late := l.Admit(newJob("a", 1), 0).RetryAfter, l.Admit(newJob("a", 1), 0.999).RetryAfter
	assert.Equal(t, early.Round(time.Second), 6*time.Second)
	assert.Assert(t, late > early*4/3, "%v and %v", early, late)
	l.Add("b", class(1), tasks(1_000_000))
	assert.Equal(t, l.Admit(newJob("a", 1), 0).RetryAfter, maxRetry)
}

// Load: a leader whose loop is late, and then no longer. Guards against a limit that stays
// after the load has passed, and against one that falls to nothing in a short stall.
func TestStartRateFollowsLateness(t *testing.T) {
	var r StartRate
	observe := func(n int, late time.Duration, starts int) {
		for range n {
			r.Observe(50*time.Millisecond, late, starts)
		}
	}
	observe(100, 5*time.Millisecond, 50)
	assert.Assert(t, math.IsInf(r.PerSecond(), 1))
	observe(20, 400*time.Millisecond, 200)
	assert.Assert(t, r.PerSecond() < 700, "%v", r.PerSecond())
	observe(100, time.Second, 0)
	assert.Assert(t, r.PerSecond() >= minStartsPerSecond, "%v", r.PerSecond())
	observe(200, 5*time.Millisecond, 20)
	assert.Assert(t, math.IsInf(r.PerSecond(), 1), "%v", r.PerSecond())
}

// Load: work that no worker can run, and work that has hours to spare, in a cell with free
// workers. Guards against one job that keeps all others out.
func TestWorkThatHoldsUpNothingRefusesNothing(t *testing.T) {
	accelerator := Waiting{Work: TaskWork(structs.Resources{Accelerators: 1}, time.Second, 1), Size: structs.Resources{Accelerators: 1}}
	long := Waiting{Work: TaskWork(cores(1), 2*time.Hour, 1000), Size: cores(1000)}
	for name, w := range map[string]Waiting{"accelerator": accelerator, "long": long} {
		l := fullCell(1)
		c := class(1)
		if name == "long" {
			c = ClassOf(1, time.Hour)
		}
		l.Add("a", c, w)
		assert.Assert(t, !l.Overloaded(false), name)
		assert.Equal(t, l.Admit(newJob("b", 1), 0).Reason, None, name)
	}
}

// Guards against a backlog below zero, which hides other work, when a start is counted in a load
// that was derived after it.
func TestStartIsNotRemovedTwice(t *testing.T) {
	l := fullCell(1)
	l.Add("a", class(1), tasks(10))
	for range 3 {
		l.Remove("a", class(1), tasks(10))
	}
	l.Add("b", class(1), tasks(12_000))
	assert.Assert(t, l.Wait(newJob("c", 1)) >= 30*time.Second)
	assert.Assert(t, l.Overloaded(true))
}
