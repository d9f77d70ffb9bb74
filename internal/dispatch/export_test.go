package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"laburnumgrade/internal/cell"
)

// SimulatedCell is a leader with a recordedLog and fake workers in simulated time, for tests
// that import packages which import this one.
type SimulatedCell struct {
	cell *testCell
	log  *recordedLog
	term uint64
}

// RunSimulatedCell runs a test of a leader in simulated time. random decides what becomes of
// commands that are not committed when a term ends.
func RunSimulatedCell(t *testing.T, workers int, retention time.Duration, random *rand.Rand, test func(c *SimulatedCell)) {
	var log *recordedLog
	runCellWith(t, workers, func(c *Config) {
		log = &recordedLog{fakeLog: c.Log.(*fakeLog), random: random}
		c.Log, c.Bounds.EndedJobRetention = log, retention
	}, func(b *testCell) { test(&SimulatedCell{cell: b, log: log, term: 1}) })
}

// T returns the test in the bubble of the simulation.
func (c *SimulatedCell) T() *testing.T { return c.cell.t }

// Leader returns the leader.
func (c *SimulatedCell) Leader() *Leader { return c.cell.leader }

// QueuePath returns the path prefix of a public queue at host h.
func (c *SimulatedCell) QueuePath() string { return queuePath }

// ReportAll sends a report of each worker.
func (c *SimulatedCell) ReportAll() { c.cell.reportAll() }

// SetDuration sets the function that returns how long a task takes. It is called when a worker
// starts the task.
func (c *SimulatedCell) SetDuration(duration func(task cell.TaskKey) time.Duration) {
	c.cell.fleet.mu.Lock()
	defer c.cell.fleet.mu.Unlock()
	c.cell.fleet.durationOf = func(_ string, task cell.TaskKey) time.Duration { return duration(task) }
}

// SetStartDelay makes a worker carry out start orders late, 0 ends this.
func (c *SimulatedCell) SetStartDelay(worker string, d time.Duration) {
	c.cell.fleet.change(worker, func(w *fakeWorker) { w.startDelay = d })
}

// HoldCommits holds up commits.
func (c *SimulatedCell) HoldCommits(d time.Duration) { c.log.hold(d) }

// TakeSnapshot keeps a snapshot of the state for a later restart.
func (c *SimulatedCell) TakeSnapshot() { c.log.takeSnapshot(c.cell) }

// Restart ends the term and starts another one after a while, with restore from the last
// snapshot.
func (c *SimulatedCell) Restart(after time.Duration, restore bool) {
	c.term++
	c.log.restart(c.cell, c.term, after, restore)
}

// CompletedJobs adds the jobs of the state that are complete to a set.
func (c *SimulatedCell) CompletedJobs(complete map[string]bool) { c.cell.completedJobs(complete) }
