package control

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics holds the metrics of a control process.
type metrics struct {
	heartbeats          tally.Counter
	placements          tally.Counter
	placementRejections tally.Counter
	jobRejections       tally.Counter
	workersLost         tally.Counter
	proposalErrors      tally.Counter
	proposal            tally.Histogram
	plan                tally.Histogram
	scope               tally.Scope
}

// latencyBuckets are the upper bounds of histogram buckets, from 0.5 ms to 4 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 14)

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &metrics{
		heartbeats:          scope.Counter("heartbeats"),
		placements:          scope.Counter("placements"),
		placementRejections: scope.Counter("placement_rejections"),
		jobRejections:       scope.Counter("job_rejections"),
		workersLost:         scope.Counter("workers_lost"),
		proposalErrors:      scope.Counter("proposal_errors"),
		proposal:            scope.Histogram("proposal_seconds", latencyBuckets),
		plan:                scope.Histogram("plan_seconds", latencyBuckets),
		scope:               scope,
	}
}

// gaugeInterval is how often the gauges are updated.
const gaugeInterval = time.Second

// updateGauges updates the gauges at each interval until the context ends.
func (s *Server) updateGauges(ctx context.Context) {
	every(ctx, gaugeInterval, func() {
		for _, g := range s.groups {
			s.updateGroupGauges(g)
		}
		s.metrics.scope.Gauge("config_index").Update(float64(s.follower.Store().Index()))
	})
}

// updateGroupGauges updates the gauges of a group. Only the process that leads the group
// updates those of waiting and running tasks.
func (s *Server) updateGroupGauges(g *DataCentreGroup) {
	scope := s.metrics.scope.Tagged(map[string]string{"group": g.Name})
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

// oneIf returns 1 if b is true, else 0.
func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
