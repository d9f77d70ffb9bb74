package control

import (
	"time"

	"laburnumgrade/internal/structs"
)

// admit returns why a job is refused, "" if it is admitted. The check counts
// nothing: waiting tasks are counted when the job is mirrored.
func (m *mirror) admit(spec *structs.WorkSpec, tasks int, deadline time.Duration) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.admission == nil {
		return ""
	}
	if refusal := m.admission.Admit(spec, tasks, deadline, m.clock()); refusal != nil {
		return refusal.Reason
	}
	m.admission.Left(spec, tasks)
	return ""
}

// countWaiting brings the count of a job's waiting tasks up to date.
func (m *mirror) countWaiting(j *structs.Job, waiting, running int, now time.Duration) {
	before := m.waiting[j.ID]
	more := waiting - before.waiting
	started := min(max(running-before.running, 0), max(-more, 0))
	m.admission.Returned(&j.Spec, max(more, 0))
	m.admission.Started(&j.Spec, started, now)
	m.admission.Left(&j.Spec, max(-more, 0)-started)
	if waiting == 0 && running == 0 {
		delete(m.waiting, j.ID)
		return
	}
	m.waiting[j.ID] = taskCounts{waiting, running}
}

// taskCounts are a job's tasks as counted by admission.
type taskCounts struct{ waiting, running int }
