package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replayGangs replays a load in which large gangs arrive faster than the fleet can run them
// while small tasks of lower priority fill it, and returns the results by queue, added up over
// some seeds.
func replayGangs(t *testing.T) map[string]*replayResult {
	var mu sync.Mutex
	sums := map[string]*replayResult{"gangs": {}, "batch": {}, "urgent": {}}
	t.Run("replay", func(t *testing.T) {
		for seed := range 3 {
			t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
				t.Parallel()
				results := replay(t, fullFleet(270, uint64(seed+1)).surge())
				t.Log("\n" + replayReport(results))
				mu.Lock()
				defer mu.Unlock()
				for name, r := range results {
					sums[name].addUp(r)
				}
			})
		}
	})
	return sums
}

// Guards against gangs that start too late because the room for them is lost to small
// tasks, and against callers of the advice service that are kept busy by gangs which ask
// about ever more workers: the first request names three times what a gang needs, in
// three calls, and its tickets are renewed once.
func TestReplayGangsAmongSmallTasks(t *testing.T) {
	results := replayGangs(t)
	gangs, small, urgent := results["gangs"], results["batch"], results["urgent"]
	t.Logf("gangs in time %.3f, advice %v for each step; small served %.3f; urgent in time %.3f", gangs.share(gangs.inTime), gangs.adviceCost/time.Duration(gangs.gangSteps), small.share(small.inTime+small.late), urgent.share(urgent.inTime))
	assert.Check(t, gangs.share(gangs.inTime) >= 0.67)
	assert.Check(t, small.share(small.inTime+small.late) >= 0.8)
	assert.Check(t, urgent.share(urgent.inTime) >= 0.9)
	const askedOnce = (3*545 + 490) * time.Millisecond
	assert.Check(t, gangs.adviceCost <= time.Duration(gangs.gangSteps)*askedOnce, "advice cost %v for %d steps of gangs", gangs.adviceCost, gangs.gangSteps)
}

// Guards against the largest gangs being served less often than the others. A job is judged
// three times its objective after its submission, up to two minutes for the largest, and other
// jobs arrive for half a minute after the last one that counts. Jobs that exceed the limit of
// their team do not count.
func TestReplayLargestGangs(t *testing.T) {
	var mu sync.Mutex
	gangs := &replayResult{}
	t.Run("replay", func(t *testing.T) {
		for seed := range 3 {
			t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
				t.Parallel()
				pattern := fullFleet(270, uint64(seed+1)).surge()
				counted := pattern.length
				pattern.length, pattern.finish = 60*time.Second, 100*time.Second
				r := newReplayRun(t, pattern)
				result := r.results(func(j *replayedJob) bool { return j.submitted < counted && !j.exceedsLimit })["gangs"]
				t.Log(result)
				mu.Lock()
				defer mu.Unlock()
				gangs.addUp(result)
			})
		}
	})
	largest := float64(gangs.largestServed) / float64(gangs.largest)
	t.Logf("%.3f of the largest tenth are served, %.3f of all", largest, gangs.share(gangs.inTime+gangs.late))
	assert.Check(t, largest >= 0.8*gangs.share(gangs.inTime+gangs.late), "%.3f of the largest tenth are served, %.3f of all", largest, gangs.share(gangs.inTime+gangs.late))
}
