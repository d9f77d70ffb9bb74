package control

import (
	"context"
	"strings"
	"sync"
	"time"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// admit returns the reason for refusing a job, or "" if it is admitted or this process has
// not yet planned for the group. The counts of the admission controller are the same
// afterwards: the tasks are counted when the accepted job is mirrored.
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

// updateTaskCounts updates the counts that the admission controller has of a job's tasks. A task that is no
// longer waiting has either started or left the queue.
func (m *mirror) updateTaskCounts(j *structs.Job, waiting, running int, now time.Duration) {
	before := m.countsByJob[j.ID]
	more := waiting - before.waiting
	started := min(max(running-before.running, 0), max(-more, 0))
	m.admission.Requeued(&j.Spec, max(more, 0))
	m.admission.Started(&j.Spec, started, now)
	m.admission.Removed(&j.Spec, max(-more, 0)-started)
	if waiting == 0 && running == 0 {
		delete(m.countsByJob, j.ID)
		return
	}
	spec := before.spec
	if spec == nil {
		copied := j.Spec
		spec = &copied
	}
	m.countsByJob[j.ID] = taskCounts{waiting: waiting, running: running, spec: spec, tasks: len(j.Tasks), acceptedAt: j.AcceptedAt}
}

// taskCounts are the tasks of a job that the admission controller has counted.
type taskCounts struct {
	waiting, running int
	spec             *structs.WorkSpec
	tasks            int
	// acceptedAt is the log time at which the job was accepted, in Unix milliseconds. It
	// tells apart two jobs that had the same id one after the other, as the job of a service
	// that is removed and set again has.
	acceptedAt int64
}

// pendingSubmissions holds the jobs whose submission was proposed and whose outcome
// is unknown. Such a job must not be refused as "not run", since the submission may
// still be committed.
type pendingSubmissions struct {
	mu sync.Mutex
	// count is the number of pending submissions by job id.
	count map[string]int
}

func newPendingSubmissions() *pendingSubmissions { return &pendingSubmissions{count: map[string]int{}} }

// begin records a submission before it is proposed.
func (s *pendingSubmissions) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[id]++
}

// end records that the outcome of a submission is known.
func (s *pendingSubmissions) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[id]--
	if s.count[id] <= 0 {
		delete(s.count, id)
	}
}

// contains reports whether a submission of the job is pending.
func (s *pendingSubmissions) contains(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[id] > 0
}

// admissionRefusal returns the reason for refusing a job that the store does not
// contain, or "" if it is admitted or was accepted in the meantime. If an earlier
// submission of the job is pending, it first commits another command: once that is
// applied, the store shows whether the submission took effect.
func (g *DataCentreGroup) admissionRefusal(ctx context.Context, job *statev1.SubmitJob, refusal string) (string, error) {
	if refusal == "" {
		spec := structs.WorkSpecFromProto(job.Spec)
		refusal = g.mirror.admit(&spec, spec.Tasks, time.Duration(job.DeadlineMs)*time.Millisecond)
	}
	if refusal == "" {
		return "", nil
	}
	if g.submissions.contains(job.JobId) {
		if _, err := g.propose(ctx, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AdvanceTime{AdvanceTime: &statev1.AdvanceTime{}}}); err != nil {
			return "", err
		}
	}
	if _, known := g.Store.Job(job.JobId); known {
		return "", nil
	}
	return strings.TrimPrefix(refusal, "not run: "), nil
}
