package dispatch

import (
	"context"
	"sync"
	"time"
)

// processorCosts are the amounts of time that the leader's operations take of its processor.
type processorCosts struct {
	// timing is that for each ready step of a plan, decision that for each step that the plan
	// ranks workers for, and look that for each of the others.
	timing, decision, look time.Duration
	// commit is that for a command, and commitByte that for each byte of it.
	commit, commitByte time.Duration
	// call is that for a call to a worker or for advice, and submission that for a submission
	// beside its commit.
	call, submission time.Duration
}

// leaderCosts are the costs on a processor of which the leader has 0.64, so that the ordinary
// load of contendedCell, 900 starts a second, uses 0.83 to 0.9 of it.
var leaderCosts = processorCosts{
	timing: 2 * time.Microsecond, decision: 80 * time.Microsecond, look: 2 * time.Microsecond, commit: 150 * time.Microsecond, commitByte: 300 * time.Nanosecond,
	call: 190 * time.Microsecond, submission: 230 * time.Microsecond,
}

// scale returns the costs on a processor that is slower by a factor.
func (c processorCosts) scale(factor float64) processorCosts {
	for _, d := range []*time.Duration{&c.timing, &c.decision, &c.look, &c.commit, &c.commitByte, &c.call, &c.submission} {
		*d = time.Duration(factor * float64(*d))
	}
	return c
}

// simulatedProcessor is one processor that serves computations in the order in which they
// begin.
type simulatedProcessor struct {
	costs processorCosts

	mu     sync.Mutex
	idleAt time.Time
	// used is the sum of all computations.
	used time.Duration
}

// compute returns when a computation that takes d is done. The caller holds no lock: simulated
// time does not pass while a goroutine waits for one.
func (p *simulatedProcessor) compute(d time.Duration) {
	if d <= 0 {
		return
	}
	p.mu.Lock()
	if now := time.Now(); p.idleAt.Before(now) {
		p.idleAt = now
	}
	p.idleAt = p.idleAt.Add(d)
	p.used += d
	done := p.idleAt
	p.mu.Unlock()
	time.Sleep(time.Until(done))
}

// plannerUse returns processorUse.simulate of a planner that lets others compute as often as
// the real one.
func (p *simulatedProcessor) plannerUse() func(u *processorUse, timed int, decided *readyStep) {
	if p.costs == (processorCosts{}) {
		return nil
	}
	var pending time.Duration
	return func(u *processorUse, timed int, decided *readyStep) {
		pending += time.Duration(timed) * p.costs.timing
		switch {
		case decided == nil:
		case !decided.step.Gang && (decided.waitsFor == waitsForRoom || decided.advice != nil && decided.advice.inFlight > 0):
			pending += p.costs.look
		default:
			pending += p.costs.decision
		}
		if pending < u.yieldAfter() && (timed > 0 || decided != nil) {
			return
		}
		u.stop()
		began := time.Now()
		p.compute(max(pending, time.Nanosecond))
		u.delay = max(u.delay, time.Since(began)-pending)
		u.used, pending = u.used+pending, 0
		u.resume()
	}
}

// costlyWorkers are workers whose calls take time of the leader's processor.
type costlyWorkers struct {
	Workers
	processor *simulatedProcessor
}

func (w *costlyWorkers) Start(ctx context.Context, t Target, o *StartOrder) (OrderReply, error) {
	w.processor.compute(w.processor.costs.call)
	return w.Workers.Start(ctx, t, o)
}

func (w *costlyWorkers) RenewLease(ctx context.Context, t Target, o *RenewLeaseOrder) (*AttemptListing, error) {
	listing, err := w.Workers.RenewLease(ctx, t, o)
	w.processor.compute(w.processor.costs.call)
	return listing, err
}
