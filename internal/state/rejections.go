package state

import "laburnumgrade/gen/statev1"

// rejectJobs rejects the jobs that can still be rejected.
func (s *Store) rejectJobs(c *statev1.RejectJobs) *Result {
	for _, r := range c.Jobs {
		s.rejectJob(r)
	}
	return &Result{}
}
