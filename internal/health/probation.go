package health

import "time"

// ResumeProbation adds a worker that an earlier monitor, as that of a previous
// leader, put on probation. Its first trial is due after the delay that follows
// one failure. It does nothing if the worker is on probation here already.
func (m *Monitor) ResumeProbation(workerID string, now time.Duration) {
	w := m.worker(workerID)
	if w.onProbation {
		return
	}
	w.onProbation = true
	w.trialFailures = 1
	w.nextTrial = now + m.policy.TrialBackoff.Delay(w.trialFailures, m.random())
	m.onProbation++
}

// IsOnProbation reports whether the worker is on probation.
func (m *Monitor) IsOnProbation(workerID string) bool {
	w, known := m.workers[workerID]
	return known && w.onProbation
}
