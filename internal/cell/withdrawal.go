package cell

import "slices"

// maxWithdrawals is the maximum number of withdrawals that are kept for a team, and for the
// public queues together; the oldest ones are dropped.
const maxWithdrawals = 4096

// Withdrawal records that a job was cancelled which the state did not have. Its submission may
// still be under way; one that arrives later must not create the job.
type Withdrawal struct {
	Job   string `cbor:"1,keyasint,omitempty"`
	Queue string `cbor:"2,keyasint,omitempty"`
	// Index is the log index of the cancellation.
	Index uint64 `cbor:"3,keyasint,omitempty"`
	// Host and Prefix are those of the queue at the cancellation. Earlier releases leave
	// them empty.
	Host   string `cbor:"4,keyasint,omitempty"`
	Prefix string `cbor:"5,keyasint,omitempty"`
	// Key is the key of the cancellation, empty as that of a job.
	Key string `cbor:"6,keyasint,omitempty"`
}

// ForgetWithdrawals drops the withdrawals up to a log index.
type ForgetWithdrawals struct {
	LastIndex uint64 `cbor:"1,keyasint,omitempty"`
}

// withdrawalKey identifies a withdrawal by the queue's present name. Team is empty if the queue
// was public, where each client may cancel each job.
type withdrawalKey struct{ team, queue, job string }

func newWithdrawalKey(q *Queue, team, job string) withdrawalKey {
	if q.Public {
		team = ""
	}
	return withdrawalKey{team, q.Name, job}
}

// withdraw records the cancellation of a job that the state does not have.
func (s *Store) withdraw(index uint64, q *Queue, team, teamKey, job string) {
	key := newWithdrawalKey(q, team, job)
	if !idPattern.MatchString(job) || s.withdrawn[key] {
		return
	}
	if s.Withdrawals == nil {
		s.Withdrawals = map[string][]Withdrawal{}
	}
	w := Withdrawal{Job: job, Queue: q.Name, Index: index, Host: q.Host, Prefix: q.Prefix}
	if key.team != "" && s.Format >= FormatOwners {
		w.Key = teamKey
	}
	list := append(s.Withdrawals[key.team], w)
	for len(list) > maxWithdrawals {
		s.unindexWithdrawal(key.team, &list[0])
		list = list[1:]
	}
	s.Withdrawals[key.team] = list
	s.withdrawn[key] = true
}

// forgetWithdrawals drops the withdrawals up to a log index.
func (s *Store) forgetWithdrawals(c *ForgetWithdrawals) any {
	for team, list := range s.Withdrawals {
		s.Withdrawals[team] = slices.DeleteFunc(list, func(w Withdrawal) bool {
			forgotten := w.Index <= c.LastIndex
			if forgotten {
				s.unindexWithdrawal(team, &w)
			}
			return forgotten
		})
		if len(s.Withdrawals[team]) == 0 {
			delete(s.Withdrawals, team)
		}
	}
	return nil
}

// unindexWithdrawal removes a withdrawal from withdrawn.
func (s *Store) unindexWithdrawal(team string, w *Withdrawal) {
	if q := s.configIndex.find(queuePath{w.Host, w.Prefix}, w.Queue); q != nil {
		delete(s.withdrawn, withdrawalKey{team, q.Name, w.Job})
	}
}

// indexWithdrawals rebuilds withdrawn. Withdrawals of queues that are not configured are left
// out.
func (s *Store) indexWithdrawals() {
	s.withdrawn = map[withdrawalKey]bool{}
	for team, list := range s.Withdrawals {
		for _, w := range list {
			if q := s.configIndex.find(queuePath{w.Host, w.Prefix}, w.Queue); q != nil {
				s.withdrawn[withdrawalKey{team, q.Name, w.Job}] = true
			}
		}
	}
}

// Withdrawn reports whether the job that an authorized request identifies was cancelled
// before it was submitted. It is decided by the leader and not when a submission is applied,
// so that replicas of earlier releases, which keep no withdrawals, apply it alike.
func (v *View) Withdrawn(r *Request) bool {
	q, id, team, verdict := v.s.authorize(r)
	if verdict != Accepted {
		return false
	}
	// The queue may have been public or not at the cancellation.
	return v.s.withdrawn[withdrawalKey{team, q.Name, id}] || v.s.withdrawn[withdrawalKey{"", q.Name, id}]
}

// Withdrawals returns the number of withdrawals and the log index of the newest one, 0 if
// there is none.
func (v *View) Withdrawals() (count int, newest uint64) {
	for _, list := range v.s.Withdrawals {
		count += len(list)
		for _, w := range list {
			newest = max(newest, w.Index)
		}
	}
	return count, newest
}
