package entry

import (
	"context"
	"time"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/routing"
)

const (
	// maxRetries bounds the retries of one call after something was sent.
	maxRetries = 2
	// maxReroutes bounds how often one call is sent elsewhere because nothing
	// could be sent.
	maxReroutes = 3
	// reroutePause is the pause after a refusal by another entry.
	reroutePause = 5 * time.Millisecond
)

// attempts is the state of an idempotent call.
type attempts struct {
	server   *Server
	m        *apiv1.CallRequest
	progress *progress
	deadline time.Duration
	results  chan attemptResult

	number   int32
	open     int
	tried    []string
	retries  int
	reroutes int
	// doubt is the last answer after which the call may have run; notRun the
	// last one after which it has not.
	doubt, notRun *apiv1.CallResponse
}

// callIdempotent sends the call and, within the deadline and the retry budget,
// sends it to another instance if the answer is lost or has not come in half the
// time. The first valid answer counts.
func (s *Server) callIdempotent(ctx context.Context, m *apiv1.CallRequest, p *progress) *apiv1.CallResponse {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	left := time.Duration(m.DeadlineMs) * time.Millisecond
	c := &attempts{
		server: s, m: m, progress: p, deadline: s.clock.Now() + left, results: make(chan attemptResult, 1+maxRetries+maxReroutes),
	}
	c.start(wait)
	slow := time.NewTimer(left / 2)
	defer slow.Stop()
	for {
		select {
		case r := <-c.results:
			if result := c.ended(wait, r); result != nil {
				return result
			}
		case <-slow.C:
			c.retry(wait)
		case <-ctx.Done():
			return c.outOfTime(reasonOf(ctx))
		case <-s.abandoned:
			return c.outOfTime(reasonAbandoned)
		}
	}
}

func (c *attempts) start(ctx context.Context) {
	c.number++
	c.open++
	a := attempt{number: c.number, tried: c.tried, deadline: c.deadline, progress: c.progress}
	s := c.server
	go func() { c.results <- s.attempt(ctx, c.m, a) }()
}

// ended takes the result of an attempt and returns the answer to the caller, or
// nil if another attempt is open.
func (c *attempts) ended(ctx context.Context, r attemptResult) *apiv1.CallResponse {
	c.open--
	if r.final() {
		if r.answer.Outcome == apiv1.Outcome_OUTCOME_OK {
			c.server.routes.RecordSuccess(serviceOf(c.m))
		}
		return r.answer
	}
	if r.instance != "" {
		c.tried = append(c.tried[:len(c.tried):len(c.tried)], r.instance)
	}
	if r.sent() {
		c.doubt = r.answer
		c.retry(ctx)
	} else {
		if !r.refused || c.notRun == nil {
			c.notRun = r.answer
		}
		c.reroute(ctx, r)
	}
	switch {
	case c.open > 0:
		return nil
	case c.doubt != nil:
		return c.doubt
	default:
		return c.notRun
	}
}

// retry starts another attempt if the budget allows it.
func (c *attempts) retry(ctx context.Context) {
	if c.retries >= maxRetries || ctx.Err() != nil || !c.server.routes.TakeRetry(serviceOf(c.m)) {
		return
	}
	c.retries++
	c.start(ctx)
}

// reroute starts another attempt after one that sent nothing. It needs no
// budget: no instance has had work from it.
func (c *attempts) reroute(ctx context.Context, r attemptResult) {
	if r.refused || c.reroutes >= maxReroutes || !pause(ctx, reroutePause) {
		return
	}
	c.reroutes++
	c.start(ctx)
}

func (c *attempts) outOfTime(reason string) *apiv1.CallResponse {
	if c.progress.closeUnsent() {
		return notRunAnswer(c.m, routing.Refusal(reason+" while the call waited for a slot"))
	}
	return unknownAnswer(c.m, reason)
}

// pause waits and reports whether the context lasted.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
