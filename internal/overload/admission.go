package overload

import (
	"math"
	"time"

	"laburnumgrade/internal/structs"
)

const (
	// maxBacklog is the time for the whole backlog from which a cell counts as overloaded, and
	// calmBacklog that below which it no longer does. A shorter crest is left to the order of
	// the queues: clients rather have late work than none.
	maxBacklog  = 15 * time.Second
	calmBacklog = 5 * time.Second
	// usableShare is the share of the workers' capacity that can be used at a time: tasks do
	// not fill workers exactly.
	usableShare = 0.75
	// leastShare is the share of the usable capacity that a priority is assumed to be served
	// with: it may have had nothing to start lately.
	leastShare = 0.1
	// leastTotalShare is the same for all priorities together.
	leastTotalShare = 0.5
	// waitShare is the part of the time that a job has to spare in which it may be expected to
	// wait: the wait is a mean, and half of the jobs wait longer. excessWaitShare is that for
	// the jobs of a team beyond its share.
	waitShare       = 0.5
	excessWaitShare = 0.25
	// shareMargin is the factor on a team's share from which it counts as beyond it, because
	// jobs are large against what waits.
	shareMargin = 1.25
	// minRetry and maxRetry bound RetryAfter. A client that has waited longer has left.
	minRetry = time.Second
	maxRetry = 30 * time.Second
	// retrySpread is the factor up to which RetryAfter is lengthened at random.
	retrySpread = 1.5
)

// Job is a submission to decide on.
type Job struct {
	Team string
	// Priority is that of its queue; 0 comes first.
	Priority int
	Waiting  Waiting
	// Chain is the expected run time of its longest chain of steps, and Objective the time in
	// which it should be complete.
	Chain     time.Duration
	Objective time.Duration
}

// Team is what is known of a team.
type Team struct {
	// Weight is its share against other teams under contention.
	Weight float64
	// Limit is the most that it may have running; a dimension of 0 is unlimited.
	Limit structs.Resources
	// Backlog is its accepted work that has not started, by priority.
	Backlog map[int]Waiting
}

// Waiting is accepted work that has not started.
type Waiting struct {
	Work Work
	// Size is the sum of the sizes of the tasks.
	Size structs.Resources
}

// Add returns the sum of w and o.
func (w Waiting) Add(o Waiting) Waiting { return Waiting{w.Work.Add(o.Work), w.Size.Add(o.Size)} }

func (w Waiting) negative() Waiting { return Waiting{w.Work.Scale(-1), w.Size.Scale(-1)} }

// Load is what a cell bears and what it has accepted.
type Load struct {
	// Capacity is that of all usable workers, and Free the part that nothing runs on.
	Capacity, Free structs.Resources
	// StartsPerSecond is what the leader can bear, infinite if that is not known.
	StartsPerSecond float64
	// Backlog is the accepted work that has not started, and Served what has been started each
	// second lately, both by priority.
	Backlog map[int]Waiting
	Served  map[int]Work
	Teams   map[string]*Team
}

// NewLoad returns a load without capacity, backlog and teams.
func NewLoad() *Load {
	return &Load{StartsPerSecond: math.Inf(1), Backlog: map[int]Waiting{}, Served: map[int]Work{}, Teams: map[string]*Team{}}
}

// Add adds accepted work of a team.
func (l *Load) Add(team string, priority int, w Waiting) {
	l.Backlog[priority] = l.Backlog[priority].Add(w)
	t := l.Teams[team]
	if t == nil {
		t = &Team{}
		l.Teams[team] = t
	}
	if t.Backlog == nil {
		t.Backlog = map[int]Waiting{}
	}
	t.Backlog[priority] = t.Backlog[priority].Add(w)
}

// Remove removes work of a team that has started.
func (l *Load) Remove(team string, priority int, w Waiting) { l.Add(team, priority, w.negative()) }

// Reason is why a job is refused.
type Reason uint8

// Reasons. None stands for a job that is accepted.
const (
	None Reason = iota
	// NoRoom means that the job would not be complete in time.
	NoRoom
	// BeyondShare means the same of a job whose team has more than its share.
	BeyondShare
	// TeamLimit means that the team's limit leaves no room in time.
	TeamLimit
	Reasons
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "no room in time", "beyond share", "team limit"}[r]
}

// Decision is the decision on a job. RetryAfter is set if it is refused.
type Decision struct {
	Reason     Reason
	Wait       time.Duration
	RetryAfter time.Duration
}

// Overloaded reports whether the whole backlog takes too long. before is the last result.
func (l *Load) Overloaded(before bool) bool {
	var backlog, served Work
	for _, w := range l.Backlog {
		backlog = backlog.Add(w.Work)
	}
	for _, w := range l.Served {
		served = served.Add(w)
	}
	rate := resourceRate(l.Capacity).Scale(usableShare * leastTotalShare).Max(served)
	rate.Starts = l.StartsPerSecond
	limit := maxBacklog
	if before {
		limit = calmBacklog
	}
	return backlog.longest(rate) > limit
}

// Admit decides on a job while the cell is overloaded. random is in [0, 1) and spreads the clients that are refused.
func (l *Load) Admit(j *Job, random float64) Decision {
	slack := j.Objective - j.Chain
	if wait := l.limitWait(j); wait > slack {
		return refuse(TeamLimit, wait, slack, random)
	}
	wait, reason, share := l.Wait(j.Priority), NoRoom, waitShare
	if wait > 0 && l.beyondShare(j) {
		reason, share = BeyondShare, excessWaitShare
	}
	if most := time.Duration(share * float64(max(0, slack))); wait > most {
		return refuse(reason, wait, most, random)
	}
	return Decision{Wait: wait}
}

func refuse(reason Reason, wait, slack time.Duration, random float64) Decision {
	excess := min(max(wait-max(0, slack), minRetry), maxRetry)
	return Decision{Reason: reason, Wait: wait, RetryAfter: time.Duration(float64(excess) * (1 + (retrySpread-1)*random))}
}

// Wait returns how long work of a priority waits until it starts. Where the work that waits
// fits on what is free, it waits for nothing but its turn. Otherwise the wait is, by Little's
// law, what waits divided by what is started each second, whatever bounds the latter: room,
// advice, limits or higher priorities.
func (l *Load) Wait(priority int) time.Duration {
	var ahead Waiting
	for p, w := range l.Backlog {
		if p <= priority {
			ahead = ahead.Add(w)
		}
	}
	starts := Work{Starts: ahead.Work.Starts}.longest(Work{Starts: l.StartsPerSecond})
	if unusable := scale(l.Capacity, 1-usableShare); ahead.Size.Fits(l.Free.Sub(unusable)) {
		return starts
	}
	rate := resourceRate(l.Capacity).Scale(usableShare * leastShare).Max(l.Served[priority])
	own := l.Backlog[priority].Work
	own.Starts = 0
	return max(starts, own.longest(rate))
}

func scale(r structs.Resources, f float64) structs.Resources {
	return structs.Resources{MilliCPU: int64(f * float64(r.MilliCPU)), MemoryBytes: int64(f * float64(r.MemoryBytes)), Accelerators: int64(f * float64(r.Accelerators))}
}

// limitWait returns the time until the team's backlog, up to the priority of the job, should
// have started within the team's limit.
func (l *Load) limitWait(j *Job) time.Duration {
	t := l.Teams[j.Team]
	if t == nil || t.Limit.IsZero() {
		return 0
	}
	var ahead Work
	for p, w := range t.Backlog {
		if p <= j.Priority {
			ahead = ahead.Add(w.Work)
		}
	}
	rate := resourceRate(t.Limit)
	for _, d := range []*float64{&rate.CoreSeconds, &rate.GiBSeconds, &rate.AcceleratorSeconds} {
		if *d == 0 {
			*d = math.Inf(1)
		}
	}
	rate.Starts = math.Inf(1)
	return ahead.longest(rate)
}

// beyondShare reports whether the team has more than its share of the backlog of the job's
// priority, against the weights of the teams that have some. The job itself does not count:
// one wide job of a team that has none waiting may be more than a share.
func (l *Load) beyondShare(j *Job) bool {
	t := l.Teams[j.Team]
	if t == nil || t.Weight <= 0 {
		return false
	}
	weights := t.Weight
	for name, other := range l.Teams {
		if name != j.Team && other.Backlog[j.Priority] != (Waiting{}) {
			weights += other.Weight
		}
	}
	if weights == t.Weight {
		return false
	}
	fair := l.Backlog[j.Priority].Work.CoreSeconds * t.Weight / weights
	return t.Backlog[j.Priority].Work.CoreSeconds > shareMargin*fair
}
