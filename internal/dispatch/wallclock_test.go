package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
)

// Guards against occurrences that become due early or late because the wall clocks
// of some processes were stepped.
func TestWallClockIgnoresSteps(t *testing.T) {
	w := newWallClock()
	now := 10 * time.Second
	for peer, ms := range map[string]int64{"a": 1_000_000, "b": 1_000_004, "c": 1_009_000, "d": 999_997} {
		w.observe(peer, ms, now)
	}
	assert.Equal(t, w.unixMS(now+time.Second), int64(1_001_000))
	w.observe("a", 991_000, now)
	assert.Equal(t, w.unixMS(now), int64(999_997))
	w.observe("e", 0, now)
	assert.Equal(t, w.samples(now), 4)
	assert.Equal(t, w.samples(now+wallSampleTTL+time.Second), 0)
}

// Guards against later occurrences of a job whose objective counts from the first
// occurrence, so that they are served after all other work.
func TestOccurrencesHaveOwnTiming(t *testing.T) {
	runCell(t, 1, func(b *testCell) {
		began := time.Now()
		interval := 30 * time.Second
		b.do(&cellapi.Call{Submit: &cell.Submit{Request: jobRequest(jobID1), Job: cell.Submission{
			Spec: "s", Steps: []cell.Step{taskStep(1, 1)},
			Schedule: cell.Schedule{Times: 2, StartMS: began.UnixMilli() + 2000, IntervalMS: interval.Milliseconds()},
		}}})
		for time.Since(began) < interval+2500*time.Millisecond {
			b.reportAll()
			time.Sleep(500 * time.Millisecond)
		}
		t := b.leader.currentTerm()
		t.mu.Lock()
		first, second := t.times[cell.OccurrenceKey{Job: jobID1}], t.times[cell.OccurrenceKey{Job: jobID1, Number: 1}]
		t.mu.Unlock()
		assert.Assert(b.t, second.firstSeen-first.firstSeen >= interval-time.Second, "%v", second.firstSeen-first.firstSeen)
		b.waitForState(jobID1, cell.Complete, 5*time.Second)
		assert.Equal(b.t, b.startCount(jobID1, 0), 1)
	})
}
