package overload

import (
	"math"
	"time"

	"laburnumgrade/internal/structs"
)

const (
	// maxBacklog is the time for the whole backlog from which a cell counts as overloaded, and
	// calmBacklog that below which it no longer does. A shorter peak is left to the order of
	// the queues: clients prefer late work to none.
	maxBacklog  = 30 * time.Second
	calmBacklog = 10 * time.Second
	// maxJudgedSpare is the class of time to spare, 16 s, up to which a backlog makes a cell
	// overloaded.
	maxJudgedSpare = 4
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

// Class is work that competes for the same turn: the same priority, where 0 comes first, and
// about the same time to spare. Within a priority the work with less time to spare starts first.
type Class struct {
	Priority int
	// Spare is the binary logarithm of the seconds to spare, rounded.
	Spare int
}

// Overdue is the class of work that has missed its objective by so much that it is served after
// everything else.
var Overdue = Class{Priority: math.MaxInt, Spare: math.MaxInt}

// ClassOf returns the class of work of a priority with a time to spare.
func ClassOf(priority int, spare time.Duration) Class {
	const shortest = 0.125 // seconds
	return Class{priority, int(math.Round(math.Log2(max(shortest, spare.Seconds()))))}
}

// spare returns the time to spare of the class.
func (c Class) spare() time.Duration {
	return time.Duration(math.Exp2(float64(c.Spare)) * float64(time.Second))
}

// before reports whether work of the class c starts before that of o, or at the same time.
func (c Class) before(o Class) bool {
	return c.Priority < o.Priority || c.Priority == o.Priority && c.Spare <= o.Spare
}

// Job is a submission to decide on.
type Job struct {
	Team    string
	Class   Class
	Waiting Waiting
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
	// Backlog is its accepted work that has not started.
	Backlog map[Class]Waiting
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
	// second lately.
	Backlog map[Class]Waiting
	Served  map[Class]Work
	Teams   map[string]*Team
	// Waits holds how long the jobs of a class have waited of which nothing has started.
	Waits map[Class]Wait
	// Delayed holds the priorities in which jobs wait beyond their time, whatever the cause.
	Delayed map[int]bool
}

// Wait is how long a number of jobs have waited, added up.
type Wait struct {
	Jobs int
	Sum  time.Duration
}

// AddWait adds a job of which nothing has started.
func (l *Load) AddWait(c Class, waited time.Duration) {
	w := l.Waits[c]
	l.Waits[c] = Wait{w.Jobs + 1, w.Sum + waited}
}

// NewLoad returns a load without capacity, backlog and teams.
func NewLoad() *Load {
	return &Load{StartsPerSecond: math.Inf(1), Backlog: map[Class]Waiting{}, Served: map[Class]Work{}, Teams: map[string]*Team{}, Waits: map[Class]Wait{}, Delayed: map[int]bool{}}
}

// Add adds accepted work of a team.
func (l *Load) Add(team string, c Class, w Waiting) { l.change(team, c, w) }

// Remove removes work of a team that has started. No more than there is is removed: the load
// may have been derived after the start.
func (l *Load) Remove(team string, c Class, w Waiting) { l.change(team, c, w.negative()) }

func (l *Load) change(team string, c Class, w Waiting) {
	l.Backlog[c] = l.Backlog[c].Add(w).atLeastNone()
	t := l.Teams[team]
	if t == nil {
		t = &Team{}
		l.Teams[team] = t
	}
	if t.Backlog == nil {
		t.Backlog = map[Class]Waiting{}
	}
	t.Backlog[c] = t.Backlog[c].Add(w).atLeastNone()
}

// atLeastNone returns w without negative amounts, and none if no start is left of it.
func (w Waiting) atLeastNone() Waiting {
	if w.Work.Starts < 0.5 {
		return Waiting{}
	}
	return Waiting{w.Work.Max(Work{}), w.Size.Max(structs.Resources{})}
}

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

// Overloaded reports whether the work that starts before that of some class, and the class
// itself, takes too long. before is the last result.
func (l *Load) Overloaded(before bool) bool {
	limit := maxBacklog
	if before {
		limit = calmBacklog
	}
	for c, w := range l.Backlog {
		// Work that has more time to spare than the limit is not held up by a backlog of that
		// length, whatever there is of it. Overdue work holds up nothing, but has to be completed
		// all the same.
		if w.Work.Starts > 0 && (c.Spare <= maxJudgedSpare || c == Overdue) && l.backlogTime(c) > limit {
			return true
		}
	}
	return false
}

// backlogTime returns the time that the work up to a class takes at the rate at which work was
// started lately, at least half of the usable capacity.
func (l *Load) backlogTime(c Class) time.Duration {
	var backlog, served Work
	for o, w := range l.Backlog {
		if o == c || c != Overdue && o.before(c) {
			backlog = backlog.Add(w.Work)
		}
	}
	for _, w := range l.Served {
		served = served.Add(w)
	}
	rate := resourceRate(l.Capacity).Scale(usableShare * leastTotalShare).Max(served)
	rate.Starts = l.StartsPerSecond
	return backlog.longest(rate)
}

// Admit decides on a job while the cell is overloaded. random is in [0, 1) and spreads the
// clients that are refused.
func (l *Load) Admit(j *Job, random float64) Decision {
	slack := max(0, j.Objective-j.Chain)
	if wait := l.limitWait(j); wait > slack {
		return refuse(TeamLimit, wait, slack, random)
	}
	wait, reason, share := l.Wait(j), NoRoom, waitShare
	if wait > 0 && l.beyondShare(j) {
		reason, share = BeyondShare, excessWaitShare
	}
	if most := time.Duration(share * float64(slack)); wait > most {
		return refuse(reason, wait, most, random)
	}
	return Decision{Wait: wait}
}

func refuse(reason Reason, wait, slack time.Duration, random float64) Decision {
	after := time.Duration(float64(max(wait-slack, minRetry)) * (1 + (retrySpread-1)*random))
	if after > maxRetry {
		after = time.Duration(float64(maxRetry) * (1 - (1-1/retrySpread)*random))
	}
	return Decision{Reason: reason, Wait: wait, RetryAfter: after}
}

// Wait returns how long a job waits until it starts. Where the work that starts before it fits
// on what is free, and the jobs of its priority are not delayed by something else, it waits for nothing but its turn. Otherwise the wait is, by Little's law,
// what waits of its priority before it divided by what is started of the priority each second,
// whatever bounds the latter: room, advice, limits or other priorities. Only what the job itself
// needs counts.
func (l *Load) Wait(j *Job) time.Duration {
	var ahead Waiting
	var own, served Work
	for c, w := range l.Backlog {
		if !c.before(j.Class) {
			continue
		}
		ahead = ahead.Add(w)
		if c.Priority == j.Class.Priority {
			own = own.Add(w.Work)
		}
	}
	for c, w := range l.Served {
		if c.Priority == j.Class.Priority {
			served = served.Add(w)
		}
	}
	starts := Work{Starts: ahead.Work.Starts}.longest(Work{Starts: l.StartsPerSecond})
	unusable := scale(l.Capacity, 1-usableShare)
	if !l.Delayed[j.Class.Priority] && j.Waiting.only(ahead.Size).Fits(l.Free.Sub(unusable)) {
		return starts
	}
	rate := resourceRate(l.Capacity).Scale(usableShare * leastShare).Max(served)
	own = j.Waiting.onlyWork(own)
	own.Starts = 0
	return max(starts, own.longest(rate))
}

// only returns the dimensions of a size that w needs.
func (w Waiting) only(size structs.Resources) structs.Resources {
	if w.Size.MilliCPU == 0 {
		size.MilliCPU = 0
	}
	if w.Size.MemoryBytes == 0 {
		size.MemoryBytes = 0
	}
	if w.Size.Accelerators == 0 {
		size.Accelerators = 0
	}
	return size
}

// onlyWork is only for work.
func (w Waiting) onlyWork(work Work) Work {
	if w.Size.MilliCPU == 0 {
		work.CoreSeconds = 0
	}
	if w.Size.MemoryBytes == 0 {
		work.GiBSeconds = 0
	}
	if w.Size.Accelerators == 0 {
		work.AcceleratorSeconds = 0
	}
	return work
}

func scale(r structs.Resources, f float64) structs.Resources {
	return structs.Resources{MilliCPU: int64(f * float64(r.MilliCPU)), MemoryBytes: int64(f * float64(r.MemoryBytes)), Accelerators: int64(f * float64(r.Accelerators))}
}

// limitWait returns the time until the team's backlog, up to the class of the job, should have
// started within the team's limit.
func (l *Load) limitWait(j *Job) time.Duration {
	t := l.Teams[j.Team]
	if t == nil || t.Limit.IsZero() {
		return 0
	}
	var ahead Work
	for c, w := range t.Backlog {
		if c.before(j.Class) {
			ahead = ahead.Add(w.Work)
		}
	}
	ahead = j.Waiting.onlyWork(ahead)
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
// priority, against the weights of the teams that have some. The job itself does not count: one
// wide job of a team that has none waiting may be more than a share.
func (l *Load) beyondShare(j *Job) bool {
	t := l.Teams[j.Team]
	if t == nil || t.Weight <= 0 {
		return false
	}
	own := t.waiting(j.Class.Priority)
	if own.Starts == 0 {
		return false
	}
	weights, all := t.Weight, own.CoreSeconds
	for name, other := range l.Teams {
		if name == j.Team || other.Weight <= 0 {
			continue
		}
		if w := other.waiting(j.Class.Priority); w.Starts > 0 {
			weights += other.Weight
			all += w.CoreSeconds
		}
	}
	return weights > t.Weight && own.CoreSeconds > shareMargin*all*t.Weight/weights
}

// waiting returns the team's backlog of a priority.
func (t *Team) waiting(priority int) Work {
	var sum Work
	for c, w := range t.Backlog {
		if c.Priority == priority {
			sum = sum.Add(w.Work)
		}
	}
	return sum
}
