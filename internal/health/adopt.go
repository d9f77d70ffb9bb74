package health

import "time"

// Adopt enters a worker that an earlier monitor put on probation. Its first
// trial is due after the wait of a first failure.
func (m *Monitor) Adopt(workerID string, now time.Duration) {
	w := m.worker(workerID)
	if w.probation {
		return
	}
	w.probation = true
	w.failed = 1
	w.trialAt = now + m.policy.TrialWait.Delay(w.failed, m.random())
	m.probation++
}

// Suspected reports whether the worker is on probation.
func (m *Monitor) Suspected(workerID string) bool {
	w, known := m.workers[workerID]
	return known && w.probation
}
