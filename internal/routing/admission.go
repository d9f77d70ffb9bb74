package routing

import (
	"fmt"
	"sync"
)

// reserveDivisor gives the reserve: one in reserveDivisor of the entry's calls is
// kept for teams within their share.
const reserveDivisor = 8

// Admission limits the calls in progress in an entry. A team may exceed its share
// while other teams leave capacity unused. Once only the reserve is left, calls of
// teams that have used up their share are refused, so that calls of the other
// teams are still admitted.
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

// NewAdmission returns an Admission for at most limit calls in progress.
func NewAdmission(limit int) *Admission {
	return &Admission{limit: limit, teams: map[string]*teamCalls{}}
}

// Enter admits a call of a team, or returns a Refusal. Share is the weight of the
// team against the other teams with calls in progress. Leave must be called when
// an admitted call ends.
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

// check returns a Refusal if a call of the team exceeds the limit or the team's
// share.
func (a *Admission) check(team string, t *teamCalls) error {
	if a.total >= a.limit {
		return Refusal(fmt.Sprintf("this entry has %d calls in progress, its limit; try another entry", a.total))
	}
	if a.total < a.limit-a.limit/reserveDivisor {
		return nil
	}
	var shares int64
	for _, other := range a.teams {
		shares += other.share
	}
	maxCalls := int64(a.limit) * t.share / shares
	if int64(t.calls) >= maxCalls {
		return Refusal(fmt.Sprintf("this entry is overloaded and team %s has %d calls in progress, its share is %d; try another entry", team, t.calls, maxCalls))
	}
	return nil
}

// Leave records the end of an admitted call.
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
