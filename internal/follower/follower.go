package follower

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/fleet"
	"laburnumgrade/internal/lease"
	"laburnumgrade/internal/port"
)

const (
	renewInterval = 400 * time.Millisecond
	renewTimeout  = time.Second
)

// Follower renews the configuration lease of one process.
type Follower struct {
	holder     string
	dataCentre string
	group      *peer.Group
	clock      port.Clock
	logger     *slog.Logger
	store      *fleet.Store
	demand     func() []*peerv1.TeamDemand
	applied    func(index uint64)
	member     *apiv1.Member
	controls   func([]*apiv1.Member)

	mu      sync.Mutex
	expires time.Duration
}

// Config configures a Follower.
type Config struct {
	// Holder names the process and its incarnation.
	Holder     string
	DataCentre string
	FleetPeers *peer.Group
	Clock      port.Clock
	Logger     *slog.Logger
	// Demand returns what to report with each renewal; may be nil.
	Demand func() []*peerv1.TeamDemand
	// OnApplied is called after the copy was brought to the index; may be nil.
	OnApplied func(index uint64)
	// Member is what the process states of itself; may be nil.
	Member *apiv1.Member
	// OnControls is called with the live control processes; may be nil.
	OnControls func([]*apiv1.Member)
}

// New returns a follower with an empty copy and no lease.
func New(c Config) *Follower {
	return &Follower{
		holder: c.Holder, dataCentre: c.DataCentre, group: c.FleetPeers, clock: c.Clock,
		logger: c.Logger, store: fleet.New(), demand: c.Demand, applied: c.OnApplied,
		member: c.Member, controls: c.OnControls,
	}
}

// Store returns the copy of the configuration.
func (f *Follower) Store() *fleet.Store { return f.store }

// LeaseValid reports whether the process holds a configuration lease, extended by
// the grace that a team's document allows.
func (f *Follower) LeaseValid(grace time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.expires > 0 && f.clock.Now() < f.expires+grace
}

// Run renews the lease until the context ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		f.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renew asks the fleet leader; the lease counts from before the question.
func (f *Follower) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	request := &peerv1.RenewConfigRequest{Holder: f.holder, DataCentre: f.dataCentre, AppliedIndex: f.store.Index(), Member: f.member}
	if f.demand != nil {
		request.Demand = f.demand()
	}
	var asked time.Duration
	reply, err := peer.Call(ctx, f.group, func(ctx context.Context, c *http.Client, url string) (*peerv1.RenewConfigResponse, error) {
		asked = f.clock.Now()
		return peerv1.NewFleetServiceProtobufClient(url, c).RenewConfig(ctx, request)
	})
	if err != nil {
		f.logger.Warn("configuration lease not renewed", "step", "renew configuration lease", "error", err)
		return
	}
	if reply.Index < request.AppliedIndex {
		f.logger.Error("configuration of an older index refused", "step", "renew configuration lease", "index", reply.Index, "applied", request.AppliedIndex)
		return
	}
	if f.controls != nil {
		f.controls(reply.Controls)
	}
	before := f.store.Index()
	f.store.ApplyChanges(reply.Index, reply.Changes, reply.Full)
	f.mu.Lock()
	f.expires = max(f.expires, asked+min(time.Duration(reply.LeaseMs)*time.Millisecond, lease.ConfigDuration))
	f.mu.Unlock()
	if f.applied != nil && f.store.Index() != before {
		f.applied(f.store.Index())
	}
}
