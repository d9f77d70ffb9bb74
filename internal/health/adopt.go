package health

import "time"

// ResumeProbation enters a worker that an earlier monitor put on probation. Its first
// trial is due after the wait of a first failure.
func (m *Monitor) ResumeProbation(workerID string, now time.Duration) {
	w := m.worker(workerID)
	if w.probation {
		return
	}
	w.probation = true
	w.failed = 1
	w.trialAt = now + m.policy.TrialBackoff.Delay(w.failed, m.random())
	m.probation++
}

// IsOnProbation reports whether the worker is on probation.
func (m *Monitor) IsOnProbation(workerID string) bool {
	w, known := m.workers[workerID]
	return known && w.probation
}
