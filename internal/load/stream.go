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
	// maxLatency is the largest latency that histograms record; larger ones are
	// recorded as maxLatency.
	maxLatency = 10 * time.Minute
	// significantDigits is the number of decimal digits that histograms preserve.
	significantDigits = 3
)

// SendFunc sends one call or job and waits for its outcome. It returns the reason
// with an outcome other than OK, and an error if there was no valid answer.
type SendFunc func(ctx context.Context) (outcome apiv1.Outcome, reason string, err error)

// Stream is a kind of work with exponentially distributed times between arrivals.
type Stream struct {
	Name string
	// Rate is the mean number of arrivals a second.
	Rate float64
	Send SendFunc
}

// recorder collects the results of one stream.
type recorder struct {
	mu sync.Mutex
	// latencies holds the times from the planned time to an outcome OK, sendDelays
	// those from the planned time to the sending, both in microseconds.
	latencies  *hdrhistogram.Histogram
	sendDelays *hdrhistogram.Histogram
	outcomes   map[apiv1.Outcome]int64
	errors     int64
	lastFault  string
	sent       int64
}

// newRecorder returns an empty recorder.
func newRecorder() *recorder {
	return &recorder{
		latencies:  hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		sendDelays: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		outcomes:   map[apiv1.Outcome]int64{},
	}
}

// record records one result. latency and sendDelay count from the planned time.
func (r *recorder) record(latency, sendDelay time.Duration, outcome apiv1.Outcome, reason string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	_ = r.sendDelays.RecordValue(max(sendDelay.Microseconds(), 1))
	if err != nil {
		r.errors++
		r.lastFault = err.Error()
		return
	}
	r.outcomes[outcome]++
	if outcome != apiv1.Outcome_OUTCOME_OK {
		r.lastFault = reason
	}
	if outcome == apiv1.Outcome_OUTCOME_OK {
		_ = r.latencies.RecordValue(min(max(latency.Microseconds(), 1), maxLatency.Microseconds()))
	}
}

// Plan says for how long, and in how many rounds, streams run.
type Plan struct {
	// Warmup is the time at the start of each round in which work is sent but not
	// measured.
	Warmup time.Duration
	// Duration is the measured time of each group of streams, summed over all rounds.
	Duration time.Duration
	// Rounds is how often the groups alternate, so that other load on the machine
	// affects all groups alike. It must be at least 1.
	Rounds int
	// Seed is the seed of the arrival times.
	Seed uint64
}

// Run sends the groups of streams in turn and returns the reports of each group's
// streams once all answers have arrived. It stops sending when the context ends.
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

// run sends one group of streams for one round and waits for the answers.
func (plan Plan) run(ctx context.Context, round uint64, group []Stream, recorders []*recorder) {
	var wg sync.WaitGroup
	for i := range group {
		wg.Go(func() {
			group[i].run(ctx, plan, rand.New(rand.NewPCG(plan.Seed+round, uint64(i))), recorders[i])
		})
	}
	wg.Wait()
}

// run sends a stream for one round and waits for the answers. An arrival whose
// planned time has passed is sent at once and measured from its planned time.
func (s *Stream) run(ctx context.Context, plan Plan, random *rand.Rand, r *recorder) {
	var wg sync.WaitGroup
	start := time.Now()
	end := plan.Warmup + plan.Duration/time.Duration(plan.Rounds)
	for offset := time.Duration(0); ; {
		offset += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if offset >= end || !sleepUntil(ctx, start.Add(offset)) {
			break
		}
		planned := start.Add(offset)
		measured := offset >= plan.Warmup
		wg.Go(func() {
			sendDelay := time.Since(planned)
			outcome, reason, err := s.Send(ctx)
			if measured {
				r.record(time.Since(planned), sendDelay, outcome, reason, err)
			}
		})
	}
	wg.Wait()
}

// sleepUntil sleeps until t and reports whether the context is still valid.
func sleepUntil(ctx context.Context, t time.Time) bool {
	if d := time.Until(t); d > 0 {
		time.Sleep(d)
	}
	return ctx.Err() == nil
}
