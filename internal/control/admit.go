package control

import (
	"context"
	"strings"
	"sync"
	"time"

	"laburnumgrade/gen/statev1"
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
	m.admission.Removed(spec, tasks)
	return ""
}

// countWaiting brings the count of a job's waiting tasks up to date.
func (m *mirror) countWaiting(j *structs.Job, waiting, running int, now time.Duration) {
	before := m.waiting[j.ID]
	more := waiting - before.waiting
	started := min(max(running-before.running, 0), max(-more, 0))
	m.admission.Requeued(&j.Spec, max(more, 0))
	m.admission.Started(&j.Spec, started, now)
	m.admission.Removed(&j.Spec, max(-more, 0)-started)
	if waiting == 0 && running == 0 {
		delete(m.waiting, j.ID)
		return
	}
	spec := before.spec
	if spec == nil {
		copied := j.Spec
		spec = &copied
	}
	m.waiting[j.ID] = taskCounts{waiting: waiting, running: running, spec: spec, tasks: len(j.Tasks)}
}

// taskCounts are a job's tasks as counted by admission.
type taskCounts struct {
	waiting, running int
	spec             *structs.WorkSpec
	tasks            int
}

// submissions holds the jobs whose submission was proposed and whose outcome
// is not known. Such a job must not be refused as "not run".
type submissions struct {
	mu   sync.Mutex
	open map[string]int
}

func newSubmissions() *submissions { return &submissions{open: map[string]int{}} }

func (s *submissions) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[id]++
}

func (s *submissions) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[id]--
	if s.open[id] <= 0 {
		delete(s.open, id)
	}
}

func (s *submissions) includes(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[id] > 0
}

// refuse returns why a job that is not known is refused, "" if it is admitted
// or was accepted in the meantime. A command committed after an earlier
// submission shows whether that one took effect.
func (g *DataCentreGroup) refuse(ctx context.Context, job *statev1.SubmitJob, refusal string) (string, error) {
	if refusal == "" {
		spec := structs.WorkSpecFromProto(job.Spec)
		refusal = g.mirror.admit(&spec, spec.Tasks, time.Duration(job.DeadlineMs)*time.Millisecond)
	}
	if refusal == "" {
		return "", nil
	}
	if g.submissions.includes(job.JobId) {
		if _, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AdvanceTime{AdvanceTime: &statev1.AdvanceTime{}}}); err != nil {
			return "", err
		}
	}
	if _, known := g.Store.Job(job.JobId); known {
		return "", nil
	}
	return strings.TrimPrefix(refusal, "not run: "), nil
}
