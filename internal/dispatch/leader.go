package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/overload"
	"laburnumgrade/internal/port"
)

const (
	// leadershipPollInterval is how often a process checks whether it is the
	// leader.
	leadershipPollInterval = 20 * time.Millisecond
	// maxPlanInterval is the longest time between two plans; changes of the state
	// start one earlier.
	maxPlanInterval = 50 * time.Millisecond
	// proposeTimeout bounds a commit. An election, which may delay the commit,
	// takes up to 2 s.
	proposeTimeout = 3 * time.Second
)

// Config holds the dependencies and the identity of a Leader.
type Config struct {
	Log          Log
	Store        *cell.Store
	Clock        port.Clock
	Workers      Workers
	AdviceClient AdviceClient
	// Machines is the platform's machine service, nil if the site has none.
	Machines Machines
	// Name is the name of this process and PeerAddress its address for other
	// control processes.
	Name        string
	PeerAddress string
	// PublicAddress is where this process accepts reports of workers.
	PublicAddress string
	// Members returns the peer addresses of the control processes.
	Members func() []string
	// GroupFormat returns the newest format of the state that all replicas of the group are
	// known to apply.
	GroupFormat func() uint32
	// OnJoin is called for each replica that announces itself.
	OnJoin func(*cellapi.AnnounceReplica)
	// OnLeader is called for each announcement of a leader, and AnnouncedLeader returns the
	// peer address of the leader that announced itself or answered this process last, empty if
	// none did recently.
	OnLeader        func(*cellapi.AnnounceLeader)
	AnnouncedLeader func() string
	Bounds          Bounds
	// MaxAdviceRequests bounds the requests for advice in flight, 0 for no bound. Each takes a
	// connection to another process.
	MaxAdviceRequests int
	// AdmitAll accepts every job that is allowed, whatever the load of the cell is.
	AdmitAll bool
	// simulateUse is processorUse.simulate of the planner; nil outside tests.
	simulateUse func(u *processorUse, timed int, decided *readyStep)
	Logger      *slog.Logger
	Scope       tally.Scope
}

// Bounds are the time limits and factors from the settings of the site.
type Bounds struct {
	// MaxLease is the longest lease that a worker may be given.
	MaxLease time.Duration
	// EndedJobRetention is how long an ended job stays in the replicated state.
	EndedJobRetention time.Duration
	// HolderLease is how long a new leader waits before it orders machine upkeep,
	// so that the orders of two leaders cannot overlap.
	HolderLease time.Duration
	// MinServingTime is how long a daemon task must have served without a break
	// to count as available.
	MinServingTime time.Duration
	// RemoteFactor is the ratio of the run time of a task outside the rack of its
	// data to its run time inside.
	RemoteFactor float64
}

// Leader answers calls and runs the cell while its process holds the leadership.
// Every control process has one.
type Leader struct {
	Config
	wake    chan struct{}
	metrics leaderMetrics

	mu sync.Mutex
	// term is the current term, nil while the process does not lead.
	term *term
	// callers are the peers that the current leader uses for advice; a new term of
	// this process starts with them.
	callers []string
	// followedAt is when this process last knew another one as the leader; it is valid if
	// hasFollowed is set. Only the goroutine of Run uses them.
	followedAt  time.Duration
	hasFollowed bool
}

// SetAdviceCallers sets the peer addresses of the processes through which the
// current leader can request advice. A new term starts with them, before the
// processes have announced themselves to this one.
func (l *Leader) SetAdviceCallers(callers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callers = callers
}

// New returns a Leader. The caller starts its Run method and calls Applied with
// each command that the store has applied.
func New(c Config) *Leader {
	return &Leader{Config: c, wake: make(chan struct{}, 1), metrics: newLeaderMetrics(c.Scope)}
}

// leaderMetrics holds the metrics of a leader.
type leaderMetrics struct {
	planned, refused, moved, done, failed, early, unstarted, lapses, crashes, advice, adviceErrors, truncatedListings, withdrawnSubmissions tally.Counter
	// unknownAttempts counts listed attempts that are not committed to their worker,
	// missingAttempts those that a worker has started and no longer lists, and
	// answersOfSuccessors the orders that a later incarnation with the same ID answered.
	unknownAttempts, missingAttempts, answersOfSuccessors tally.Counter
	// unansweredStarts counts the tries of start orders without an answer, and unrecordedEnds the
	// listed ends as done of attempts that were given up.
	unansweredStarts, unrecordedEnds tally.Counter
	// adviceWait is the time until an answer, and adviceDelay what it exceeds the expected
	// time by.
	commit, wait, adviceWait, adviceDelay tally.Histogram
	// plan is the duration of planning, without the commit of the plan, and planLock the
	// time for which it holds the read lock of the state.
	plan, planLock tally.Histogram
	// waiting holds the ready steps after the last plan by what they wait for, and
	// adviceDeferred the requests for advice that it could not give to any process.
	waiting        [waitReasons]tally.Gauge
	adviceDeferred tally.Gauge
	// refusedSubmissions counts the submissions that the load does not allow, by reason.
	refusedSubmissions [overload.Reasons]tally.Counter
	// overloaded is 1 while submissions are judged.
	overloaded tally.Gauge
	// delayedPriorities is the number of priorities in which jobs wait beyond their time.
	delayedPriorities tally.Gauge
	// withdrawals is the number of jobs that were cancelled before they were submitted.
	withdrawals tally.Gauge
	// evacuatedDataCentres is the number of evacuated data centres in the state of this
	// process.
	evacuatedDataCentres tally.Gauge
	// formerTeams is the number of former teams in the state of this process.
	formerTeams tally.Gauge
}

// recordWaiting updates the numbers of ready steps by what they wait for.
func (m *leaderMetrics) recordWaiting(waiting *[waitReasons]int) {
	for reason, steps := range waiting {
		m.waiting[reason].Update(float64(steps))
	}
}

func newLeaderMetrics(scope tally.Scope) leaderMetrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	m := leaderMetrics{
		planned: scope.Counter("cell_placements"), refused: scope.Counter("cell_placement_refusals"), moved: scope.Counter("cell_moved_tasks"),
		done: scope.Counter("cell_ends_done"), failed: scope.Counter("cell_ends_failed"),
		early: scope.Counter("cell_ends_early"), unstarted: scope.Counter("cell_ends_unstarted"),
		lapses: scope.Counter("cell_lapses"), crashes: scope.Counter("cell_crashes"), advice: scope.Counter("cell_advice_calls"), adviceErrors: scope.Counter("cell_advice_errors"),
		truncatedListings: scope.Counter("cell_truncated_listings"), withdrawnSubmissions: scope.Counter("cell_withdrawn_submissions"),
		unknownAttempts: scope.Counter("cell_unknown_attempts"), missingAttempts: scope.Counter("cell_missing_attempts"), answersOfSuccessors: scope.Counter("cell_answers_of_successors"),
		unansweredStarts: scope.Counter("cell_unanswered_starts"), unrecordedEnds: scope.Counter("cell_unrecorded_ends"),
		withdrawals: scope.Gauge("cell_withdrawals"), evacuatedDataCentres: scope.Gauge("cell_evacuated_data_centres"), formerTeams: scope.Gauge("cell_former_teams"),
		commit: scope.Histogram("cell_commit", buckets), wait: scope.Histogram("cell_wait", buckets),
		adviceWait: scope.Histogram("cell_advice_wait", buckets), adviceDelay: scope.Histogram("cell_advice_delay", buckets),
		plan: scope.Histogram("cell_plan", buckets), planLock: scope.Histogram("cell_plan_lock", buckets),
		adviceDeferred:    scope.Gauge("cell_advice_deferred"),
		overloaded:        scope.Gauge("cell_overloaded"),
		delayedPriorities: scope.Gauge("cell_delayed_priorities"),
	}
	for reason := range overload.Reasons {
		m.refusedSubmissions[reason] = scope.Tagged(map[string]string{"reason": reason.String()}).Counter("cell_refused_submissions")
	}
	for reason := range waitReasons {
		m.waiting[reason] = scope.Tagged(map[string]string{"reason": reason.String()}).Gauge("cell_waiting_steps")
	}
	return m
}

// countEnd counts the end of an attempt by its outcome.
func (m *leaderMetrics) countEnd(outcome cell.Outcome) {
	switch outcome {
	case cell.EndedDone:
		m.done.Inc(1)
	case cell.EndedFailed:
		m.failed.Inc(1)
	case cell.EndedUnstarted:
		m.unstarted.Inc(1)
	default:
		m.early.Inc(1)
	}
}

// Applied reacts to a command that the store has applied: it starts a new plan
// and, after a registration, makes the worker's session check its record.
func (l *Leader) Applied(c *cell.Command) {
	isRestore := *c == (cell.Command{})
	if c.Configure != nil {
		l.Logger.Info("configuration applied", logging.Step("apply"), "version", c.Configure.Version, "in_force", l.configurationVersion())
	}
	if isRestore || c.Configure != nil || c.AdoptFormat != nil {
		l.Store.View(func(v *cell.View) { l.metrics.formerTeams.Update(float64(v.FormerTeams())) })
	}
	if isRestore || c.Evacuate != nil {
		l.Store.View(func(v *cell.View) { l.metrics.evacuatedDataCentres.Update(float64(len(v.Evacuated()))) })
	}
	if t := l.currentTerm(); t != nil && c.Register != nil {
		if s := t.session(c.Register.ID, c.Register.Born); s != nil {
			s.recordChanged(c.Register)
			s.wakeUp()
		} else if s := t.sessionOf(c.Register.ID); s != nil && s.born < c.Register.Born {
			t.successorRegistered.Store(true)
		}
	}
	l.wakePlanner()
}

// wakePlanner makes the planner run without waiting for its interval.
func (l *Leader) wakePlanner() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// currentTerm returns the term in progress, nil if the process does not lead.
func (l *Leader) currentTerm() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// Run leads the cell whenever the process holds the leader's lease, until ctx
// ends.
func (l *Leader) Run(ctx context.Context) {
	ticker := time.NewTicker(leadershipPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if since, leads := l.Log.Lease(); leads {
			l.lead(ctx, since)
			continue
		}
		if _, address := l.Log.Leader(); address != "" && address != l.PeerAddress {
			l.followedAt, l.hasFollowed = l.Clock.Now(), true
		}
	}
}

// lead runs a term until the leadership ends. since is when the lease began; if it
// has changed, the leadership was lost in between and lead does nothing.
func (l *Leader) lead(ctx context.Context, since time.Duration) {
	number, _ := l.Log.Term()
	if s, leads := l.Log.Lease(); !leads || s != since {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	t := newTerm(ctx, l, number, l.Clock.Now())
	t.inheritRecords(l.followedAt, l.hasFollowed)
	l.mu.Lock()
	l.term = t
	for _, peer := range append([]string{l.PeerAddress}, l.callers...) {
		t.advice.announce(peer, t.began)
	}
	l.mu.Unlock()
	l.Logger.Info("leading the cell", logging.Step("lead"), "term", number)
	t.run()
	l.mu.Lock()
	l.term = nil
	l.mu.Unlock()
	cancel()
	t.wait()
	l.Logger.Info("no longer leading the cell", logging.Step("lead"), "term", number)
}

// propose commits a command and returns the result of applying it.
func (l *Leader) propose(ctx context.Context, c *cell.Command) (any, error) {
	data, err := cell.Encode(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return l.proposeEncoded(ctx, data)
}

// proposeEncoded is propose for an encoded command, without a time limit of its own.
func (l *Leader) proposeEncoded(ctx context.Context, data []byte) (any, error) {
	began := l.Clock.Now()
	result, err := l.Log.Propose(ctx, data)
	l.metrics.commit.RecordDuration(l.Clock.Now() - began)
	if err != nil {
		return nil, err
	}
	if failed, ok := result.(error); ok {
		return nil, errors.Wrap(failed, "apply command")
	}
	return result, nil
}
