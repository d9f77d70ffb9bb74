package dispatch

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// contendedShare is the size of the replayed cells against one of 350 workers.
	contendedShare = 0.25
	// overloadFrom and overloadUntil are when the load of a replay is not ordinary, and
	// recoveryTime is how long after it service must be as before it.
	overloadFrom, overloadUntil = 8 * time.Second, 14 * time.Second
	recoveryTime                = 5 * time.Second
	// maxShareLost is how much of a queue's share of jobs in time may be missing beside what
	// chance explains.
	maxShareLost = 0.05
)

// phases holds results of the jobs that were submitted before an overload, in it, in the
// recovery time after it and later, by class and added up over some seeds.
type phases struct{ before, during, recovery, after map[string]*replayResult }

// replayOverload replays contendedCell with a change for three seeds. Only selected jobs count.
func replayOverload(t *testing.T, change func(p *loadPattern), selected func(*replayedJob) bool) *phases {
	var mu sync.Mutex
	sums := &phases{map[string]*replayResult{}, map[string]*replayResult{}, map[string]*replayResult{}, map[string]*replayResult{}}
	used := time.Duration(0)
	complete := t.Run("replay", func(t *testing.T) {
		for seed := range 3 {
			t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
				t.Parallel()
				p := contendedCell(contendedShare, uint64(seed+1))
				change(p)
				r := newReplayRun(t, p)
				mu.Lock()
				defer mu.Unlock()
				used += r.processor.used / 3
				for _, phase := range []struct {
					sum         map[string]*replayResult
					from, until time.Duration
				}{
					{sums.before, 0, overloadFrom}, {sums.during, overloadFrom, overloadUntil},
					{sums.recovery, overloadUntil, overloadUntil + recoveryTime}, {sums.after, overloadUntil + recoveryTime, p.length},
				} {
					for name, result := range r.results(func(j *replayedJob) bool {
						return selected(j) && j.submitted >= phase.from && j.submitted < phase.until
					}) {
						if phase.sum[name] == nil {
							phase.sum[name] = &replayResult{}
						}
						phase.sum[name].addUp(result)
					}
				}
			})
		}
	})
	if !complete {
		t.FailNow()
	}
	t.Logf("processor used %v\nbefore:\n%s\nduring:\n%s\nrecovery:\n%s\nafter:\n%s", used, replayReport(sums.before), replayReport(sums.during), replayReport(sums.recovery), replayReport(sums.after))
	return sums
}

func allJobs(*replayedJob) bool { return true }

// checkRecovery fails the test if a queue has fewer jobs in time after an overload than before.
func (p *phases) checkRecovery(t *testing.T) {
	for name, before := range p.before {
		after := p.after[name]
		checkShareInTime(t, name+" after the overload", after, before)
	}
}

// checkUrgent fails the test if less than a share of the urgent jobs is in time in the overload.
func (p *phases) checkUrgent(t *testing.T, share float64) {
	urgent := p.during["urgent"]
	assert.Check(t, urgent.share(urgent.inTime) >= share, "urgent during the overload: %v", urgent)
}

// checkShareInTime fails the test if fewer jobs are in time than in another result: by more than
// maxShareLost and three standard errors of the difference, since a phase has only about thirty
// gangs. The estimate of the error adds two jobs to either outcome, so that it is not 0 if all
// jobs are in time.
func checkShareInTime(t *testing.T, what string, result, other *replayResult) {
	share := float64(result.inTime+other.inTime+2) / float64(result.jobs+other.jobs+4)
	deviation := math.Sqrt(share * (1 - share) * (1/float64(result.jobs) + 1/float64(other.jobs)))
	assert.Check(t, result.share(result.inTime) >= other.share(other.inTime)-max(maxShareLost, 3*deviation), "%s: %v, compared with: %v", what, result, other)
}

// surgeOf raises the arrivals of a class by a factor during the overload, with a change of the
// leader in the middle.
func surgeOf(name string, factor float64) func(p *loadPattern) {
	return func(p *loadPattern) {
		p.rate = func(class string, at time.Duration) float64 {
			if class == name && at >= overloadFrom && at < overloadUntil {
				return factor
			}
			return 1
		}
		p.events = []replayEvent{{(overloadFrom + overloadUntil) / 2, func(r *replayRun) { r.cell.changeLeader(2) }}}
	}
}

// Guards against urgent jobs that wait for the leader's processor while it starts tasks with
// time to spare, and against service that remains worse than before after a queue had 2.5 times
// its rate and the leader changed.
func TestReplayQueueSurges(t *testing.T) {
	for _, name := range []string{"urgent", "gangs", "batch"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := replayOverload(t, surgeOf(name, 2.5), allJobs)
			p.checkRecovery(t)
			p.checkUrgent(t, 0.65)
		})
	}
}

// teamSurge is the number of the team that has ten times its rate in TestReplayTeamSurge.
const teamSurge = 2

// Guards against the same when a team has ten times its rate. Without admission by the lateness
// of the leader the others' share in time still falls.
func TestReplayTeamSurge(t *testing.T) {
	t.Parallel()
	others := func(j *replayedJob) bool { return j.team != teamSurge }
	p := replayOverload(t, func(p *loadPattern) {
		p.addedJobs = func(team int, at time.Duration) int {
			if team == teamSurge && at >= overloadFrom && at < overloadUntil {
				return 9
			}
			return 0
		}
	}, others)
	p.checkRecovery(t)
	p.checkUrgent(t, 0.55)
}

// Guards against service that does not recover after a sixth of the workers is lost while
// there is a backlog of small tasks.
func TestReplayWorkersLost(t *testing.T) {
	t.Parallel()
	p := replayOverload(t, func(p *loadPattern) {
		surgeOf("batch", 1.5)(p)
		p.events = []replayEvent{{overloadFrom + time.Second, func(r *replayRun) { r.crashWorkers(r.pattern.workers / 6) }}}
	}, allJobs)
	p.checkRecovery(t)
}

// Guards against urgent jobs that are late because a new leader finds a thousand waiting steps
// of tasks that have time.
func TestReplayRestartWithBacklog(t *testing.T) {
	t.Parallel()
	p := replayOverload(t, func(p *loadPattern) {
		p.rate = func(class string, at time.Duration) float64 {
			if class == "batch" && at >= overloadFrom && at < overloadFrom+time.Second {
				return 40
			}
			return 1
		}
		p.events = []replayEvent{{overloadFrom + time.Second, func(r *replayRun) { r.cell.changeLeader(2) }}}
	}, allJobs)
	p.checkRecovery(t)
}
