package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumgrade/gen/apiv1"
)

const (
	// longest is the longest time that is told apart; precision is the number of
	// decimal digits kept.
	longest   = 10 * time.Minute
	precision = 3
)

// SendFunc sends one piece of work and returns its outcome, with the reason if it is
// not OK.
type SendFunc func(ctx context.Context) (outcome apiv1.Outcome, reason string, err error)

// Stream is a kind of work that arrives at random times with a mean rate.
type Stream struct {
	Name string
	// Rate is the number of arrivals in a second.
	Rate float64
	Send SendFunc
}

// recorder collects the results of one stream.
type recorder struct {
	mu       sync.Mutex
	times    *hdrhistogram.Histogram
	late     *hdrhistogram.Histogram
	outcomes map[apiv1.Outcome]int64
	errors   int64
	last     string
	sent     int64
}

func newRecorder() *recorder {
	return &recorder{
		times:    hdrhistogram.New(1, longest.Microseconds(), precision),
		late:     hdrhistogram.New(1, longest.Microseconds(), precision),
		outcomes: map[apiv1.Outcome]int64{},
	}
}

func (r *recorder) record(took, late time.Duration, o apiv1.Outcome, reason string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	_ = r.late.RecordValue(max(late.Microseconds(), 1))
	if err != nil {
		r.errors++
		r.last = err.Error()
		return
	}
	r.outcomes[o]++
	if o != apiv1.Outcome_OUTCOME_OK {
		r.last = reason
	}
	if o == apiv1.Outcome_OUTCOME_OK {
		_ = r.times.RecordValue(min(max(took.Microseconds(), 1), longest.Microseconds()))
	}
}

// Plan is how long streams run.
type Plan struct {
	// Warmup is sent but not measured, before each round.
	Warmup time.Duration
	// Duration is the measured time of each group of streams over all rounds.
	Duration time.Duration
	// Rounds is how often the groups take turns, so that what else the machine
	// does falls on all groups alike.
	Rounds int
	Seed   uint64
}

// Run sends the groups of streams in turn and returns the report of each stream
// after all answers came.
func Run(ctx context.Context, plan Plan, groups ...[]Stream) [][]Report {
	recorders := make([][]*recorder, len(groups))
	for i, group := range groups {
		for range group {
			recorders[i] = append(recorders[i], newRecorder())
		}
	}
	for round := range plan.Rounds {
		for i, group := range groups {
			plan.run(ctx, uint64(round), group, recorders[i])
		}
	}
	reports := make([][]Report, len(groups))
	for i, group := range groups {
		for j := range group {
			reports[i] = append(reports[i], recorders[i][j].report(group[j].Name, plan.Duration))
		}
	}
	return reports
}

func (plan Plan) run(ctx context.Context, round uint64, group []Stream, recorders []*recorder) {
	var wg sync.WaitGroup
	for i := range group {
		wg.Go(func() {
			group[i].run(ctx, plan, rand.New(rand.NewPCG(plan.Seed+round, uint64(i))), recorders[i])
		})
	}
	wg.Wait()
}

// run sends at planned times for one round. Arrivals are exponential; one that
// is late is sent at once and measured from its planned time.
func (s *Stream) run(ctx context.Context, plan Plan, random *rand.Rand, r *recorder) {
	var wg sync.WaitGroup
	start := time.Now()
	end := plan.Warmup + plan.Duration/time.Duration(plan.Rounds)
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= end || !sleepUntil(ctx, start.Add(at)) {
			break
		}
		planned := start.Add(at)
		measured := at >= plan.Warmup
		wg.Go(func() {
			late := time.Since(planned)
			o, reason, err := s.Send(ctx)
			if measured {
				r.record(time.Since(planned), late, o, reason, err)
			}
		})
	}
	wg.Wait()
}

// sleepUntil reports whether the context lasted.
func sleepUntil(ctx context.Context, t time.Time) bool {
	if d := time.Until(t); d > 0 {
		time.Sleep(d)
	}
	return ctx.Err() == nil
}
