package routing

import (
	"fmt"
	"sync"
)

// reservePart is the part of the entry's calls that is kept for teams within
// their share: one in reservePart.
const reservePart = 8

// Admission bounds the calls in progress in an entry. A team may use what others
// leave free, but once only the reserve is left, a team beyond its share is
// refused, so that the others' calls are still admitted.
type Admission struct {
	limit int

	mu    sync.Mutex
	total int
	teams map[string]*teamCalls
}

type teamCalls struct {
	calls int
	share int64
}

// NewAdmission returns an admission of at most limit calls at a time.
func NewAdmission(limit int) *Admission {
	return &Admission{limit: limit, teams: map[string]*teamCalls{}}
}

// Enter admits a call of a team with a share, or returns a Refusal. Each
// admitted call must Leave.
func (a *Admission) Enter(team string, share int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.teams[team]
	if t == nil {
		t = &teamCalls{}
		a.teams[team] = t
	}
	t.share = max(share, 1)
	if err := a.check(team, t); err != nil {
		if t.calls == 0 {
			delete(a.teams, team)
		}
		return err
	}
	t.calls++
	a.total++
	return nil
}

func (a *Admission) check(team string, t *teamCalls) error {
	if a.total >= a.limit {
		return Refusal(fmt.Sprintf("this entry has %d calls in progress, its limit; try another entry", a.total))
	}
	if a.total < a.limit-a.limit/reservePart {
		return nil
	}
	var shares int64
	for _, other := range a.teams {
		shares += other.share
	}
	part := int64(a.limit) * t.share / shares
	if int64(t.calls) >= part {
		return Refusal(fmt.Sprintf("this entry is overloaded and team %s has %d calls in progress, its share is %d; try another entry", team, t.calls, part))
	}
	return nil
}

// Leave ends an admitted call.
func (a *Admission) Leave(team string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.teams[team]
	t.calls--
	a.total--
	if t.calls == 0 {
		delete(a.teams, team)
	}
}
