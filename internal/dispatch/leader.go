package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/port"
)

const (
	// leadInterval is how often a process looks whether it leads.
	leadInterval = 20 * time.Millisecond
	// planInterval is how often the leader plans without an event.
	planInterval = 50 * time.Millisecond
	// proposeTimeout bounds a commit; an election takes up to 2 s.
	proposeTimeout = 3 * time.Second
)

// Config states what a Leader works with.
type Config struct {
	Log          Log
	Store        *cell.Store
	Clock        port.Clock
	Workers      Workers
	AdviceClient AdviceClient
	// Machines takes machines down for upkeep, nil if there is no such service.
	Machines Machines
	// Name is the name of this process, Self its peer address.
	Name        string
	PeerAddress string
	// PublicAddress is where this process takes reports of workers.
	PublicAddress string
	// Members returns the peer addresses of the control processes.
	Members func() []string
	// OnJoin is told of each replica that announces itself.
	OnJoin func(replica, peer string)
	Bounds Bounds
	Logger *slog.Logger
	Scope  tally.Scope
}

// Bounds are the limits in time that the site states.
type Bounds struct {
	// MaxLease bounds a worker's lease.
	MaxLease time.Duration
	// EndedJobRetention is how long the state of an ended job can be asked for.
	EndedJobRetention time.Duration
	// HolderLease is how long after another process it may order machines.
	HolderLease time.Duration
	// MinServingTime is for how long a task that serves must be at work to count as such.
	MinServingTime time.Duration
	// RemoteFactor is how much longer work takes off its rack.
	RemoteFactor float64
}

// Leader runs on every control process and acts while the process leads.
type Leader struct {
	Config
	wake    chan struct{}
	metrics leaderMetrics

	mu   sync.Mutex
	term *term
	// callers are the processes that an earlier leader could ask for advice.
	callers []string
}

// SetAdviceCallers notes the processes that the present leader can ask for advice.
func (l *Leader) SetAdviceCallers(callers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callers = callers
}

// New returns a leader that is to be run. Its Applied method must be called with
// each command that the store has applied.
func New(c Config) *Leader {
	return &Leader{Config: c, wake: make(chan struct{}, 1), metrics: newLeaderMetrics(c.Scope)}
}

// leaderMetrics are the counters and histograms of a leader.
type leaderMetrics struct {
	planned, refused, done, failed, early, unstarted, lapses, advice, adviceErrors tally.Counter
	commit, wait                                                                   tally.Histogram
}

func newLeaderMetrics(scope tally.Scope) leaderMetrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	return leaderMetrics{
		planned: scope.Counter("cell_placements"), refused: scope.Counter("cell_placement_refusals"),
		done: scope.Counter("cell_ends_done"), failed: scope.Counter("cell_ends_failed"),
		early: scope.Counter("cell_ends_early"), unstarted: scope.Counter("cell_ends_unstarted"),
		lapses: scope.Counter("cell_lapses"), advice: scope.Counter("cell_advice_calls"), adviceErrors: scope.Counter("cell_advice_errors"),
		commit: scope.Histogram("cell_commit", buckets), wait: scope.Histogram("cell_wait", buckets),
	}
}

// ended counts an end.
func (m *leaderMetrics) ended(how cell.Outcome) {
	switch how {
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

// Applied notes that the state has changed.
func (l *Leader) Applied(c *cell.Command) {
	if c.Configure != nil {
		l.Logger.Info("configuration applied", logging.Step("apply"), "version", c.Configure.Version, "in_force", l.version())
	}
	if t := l.current(); t != nil && c.Register != nil {
		if s := t.session(c.Register.ID, c.Register.Born); s != nil {
			s.poke()
		}
	}
	l.signal()
}

func (l *Leader) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Leader) current() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// Run acts while the process leads, until the context ends.
func (l *Leader) Run(ctx context.Context) {
	ticker := time.NewTicker(leadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if since, leads := l.Log.Lease(); leads {
			l.lead(ctx, since)
		}
	}
}

// lead acts as the leader until the lease is lost.
func (l *Leader) lead(ctx context.Context, since time.Duration) {
	number, _ := l.Log.Term()
	if s, leads := l.Log.Lease(); !leads || s != since {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	t := newTerm(ctx, l, number, l.Clock.Now())
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
