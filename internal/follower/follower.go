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
	// renewInterval is how often the lease is renewed, several times in
	// lease.ConfigDuration.
	renewInterval = 400 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = time.Second
)

// Follower keeps the copy of the configuration and the configuration lease of one process.
type Follower struct {
	holder     string
	dataCentre string
	group      *peer.GroupClient
	clock      port.Clock
	logger     *slog.Logger
	store      *fleet.Store
	demand     func() []*peerv1.TeamDemand
	applied    func(index uint64)
	member     *apiv1.Member
	controls   func([]*apiv1.Member)

	mu sync.Mutex
	// expires is when the lease expires by the local clock; 0 before the first renewal.
	expires time.Duration
}

// Config configures a Follower.
type Config struct {
	// Holder is the name of the process with its incarnation.
	Holder     string
	DataCentre string
	// FleetPeers sends calls to the fleet group's leader.
	FleetPeers *peer.GroupClient
	Clock      port.Clock
	Logger     *slog.Logger
	// Demand returns the teams' demand to report with each renewal; may be nil.
	Demand func() []*peerv1.TeamDemand
	// OnApplied is called after changes up to the index were applied to the copy; may be
	// nil.
	OnApplied func(index uint64)
	// Member is the entry of the process in the list of members; may be nil.
	Member *apiv1.Member
	// OnControls is called with the control processes that are not dead, at each renewal; may
	// be nil.
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

// LeaseValid reports whether the process may serve under its copy of the configuration:
// its lease has not expired, or expired less than grace ago. grace is what the document of
// the team allows.
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

// renew requests a renewal from the fleet group's leader and applies the changes in the
// reply. The lease counts from before the request was sent.
func (f *Follower) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	request := &peerv1.RenewConfigRequest{Holder: f.holder, DataCentre: f.dataCentre, AppliedIndex: f.store.Index(), Member: f.member}
	if f.demand != nil {
		request.Demand = f.demand()
	}
	var requested time.Duration
	reply, err := peer.Call(ctx, f.group, func(ctx context.Context, c *http.Client, url string) (*peerv1.RenewConfigResponse, error) {
		requested = f.clock.Now()
		return peerv1.NewFleetServiceProtobufClient(url, c).RenewConfig(ctx, request)
	})
	if err != nil {
		f.logger.Warn("failed to renew the configuration lease", "step", "renew configuration lease", "error", err)
		return
	}
	if reply.Index < request.AppliedIndex {
		f.logger.Error("ignored a configuration reply with an index below the applied one", "step", "renew configuration lease", "index", reply.Index, "applied", request.AppliedIndex)
		return
	}
	if f.controls != nil {
		f.controls(reply.Controls)
	}
	before := f.store.Index()
	f.store.ApplyChanges(reply.Index, reply.Changes, reply.Full)
	f.mu.Lock()
	f.expires = max(f.expires, requested+min(time.Duration(reply.LeaseMs)*time.Millisecond, lease.ConfigDuration))
	f.mu.Unlock()
	if f.applied != nil && f.store.Index() != before {
		f.applied(f.store.Index())
	}
}
