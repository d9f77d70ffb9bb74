package control

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// meter holds the metrics of a control process.
type meter struct {
	heartbeats      tally.Counter
	placements      tally.Counter
	placeRejections tally.Counter
	jobRejections   tally.Counter
	workersLost     tally.Counter
	proposalErrors  tally.Counter
	proposal        tally.Histogram
	plan            tally.Histogram
	scope           tally.Scope
}

// latencyBuckets are upper bounds of durations from 0.5 ms to 4 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 14)

func newMeter(scope tally.Scope) *meter {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &meter{
		heartbeats:      scope.Counter("heartbeats"),
		placements:      scope.Counter("placements"),
		placeRejections: scope.Counter("placement_rejections"),
		jobRejections:   scope.Counter("job_rejections"),
		workersLost:     scope.Counter("workers_lost"),
		proposalErrors:  scope.Counter("proposal_errors"),
		proposal:        scope.Histogram("proposal_seconds", latencyBuckets),
		plan:            scope.Histogram("plan_seconds", latencyBuckets),
		scope:           scope,
	}
}

// gaugeInterval is how often the gauges of the groups are set.
const gaugeInterval = time.Second

// gauges shows the state of the groups that this process leads.
func (s *Server) gauges(ctx context.Context) {
	every(ctx, gaugeInterval, func() {
		for _, g := range s.groups {
			s.groupGauges(g)
		}
		s.meter.scope.Gauge("config_index").Update(float64(s.follower.Store().Index()))
	})
}

func (s *Server) groupGauges(g *DataCentreGroup) {
	scope := s.meter.scope.Tagged(map[string]string{"group": g.Name})
	_, leads := g.Log.Lease()
	scope.Gauge("leads").Update(oneIf(leads))
	if !leads {
		return
	}
	waiting, running := 0, 0
	for _, t := range g.Store.Teams() {
		waiting += t.WaitingTasks
		running += t.RunningTasks
	}
	scope.Gauge("tasks_waiting").Update(float64(waiting))
	scope.Gauge("tasks_running").Update(float64(running))
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
