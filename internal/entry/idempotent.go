package entry

import (
	"context"
	"time"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/routing"
)

const (
	// maxRetries limits the attempts of one call that follow a lost or late answer.
	maxRetries = 2
	// maxReroutes limits the attempts of one call that follow one that sent nothing.
	maxReroutes = 3
	// reroutePause is the pause after an attempt that sent nothing.
	reroutePause = 5 * time.Millisecond
)

// idempotentCall is the state of an idempotent call and its attempts.
type idempotentCall struct {
	server   *Server
	request  *apiv1.CallRequest
	active   *activeCall
	deadline time.Duration
	results  chan attemptResult

	number   int32
	inFlight int
	tried    []string
	retries  int
	reroutes int
	// possiblyRun is the answer of the last attempt that may have run the call;
	// notRun that of an attempt that has not.
	possiblyRun, notRun *apiv1.CallResponse
}

// callIdempotent sends the call to an instance. If the answer is lost, or has not
// arrived after half the time budget, it sends the call to another instance, within
// the deadline and the retry budget. It returns the first valid answer.
func (s *Server) callIdempotent(ctx context.Context, m *apiv1.CallRequest, p *activeCall) *apiv1.CallResponse {
	attemptContext, cancel := context.WithCancel(ctx)
	defer cancel()
	left := time.Duration(m.DeadlineMs) * time.Millisecond
	c := &idempotentCall{
		server: s, request: m, active: p, deadline: s.clock.Now() + left, results: make(chan attemptResult, 1+maxRetries+maxReroutes),
	}
	c.start(attemptContext)
	halfTime := time.NewTimer(left / 2)
	defer halfTime.Stop()
	for {
		select {
		case r := <-c.results:
			if result := c.handleResult(attemptContext, r); result != nil {
				return result
			}
		case <-halfTime.C:
			c.retry(attemptContext)
		case <-ctx.Done():
			return c.abandonedAnswer(contextEndReason(ctx))
		case <-s.abandoned:
			return c.abandonedAnswer(reasonAbandoned)
		}
	}
}

// start starts an attempt, which sends its result to c.results.
func (c *idempotentCall) start(ctx context.Context) {
	c.number++
	c.inFlight++
	a := attempt{number: c.number, tried: c.tried, deadline: c.deadline, active: c.active}
	s := c.server
	go func() { c.results <- s.attempt(ctx, c.request, a) }()
}

// handleResult processes the result of an attempt and may start another one. It
// returns the answer to the caller, or nil if an attempt is still in flight.
func (c *idempotentCall) handleResult(ctx context.Context, r attemptResult) *apiv1.CallResponse {
	c.inFlight--
	if r.final() {
		if r.answer.Outcome == apiv1.Outcome_OUTCOME_OK {
			c.server.routes.RecordSuccess(serviceID(c.request))
		}
		return r.answer
	}
	if r.instance != "" {
		c.tried = append(c.tried[:len(c.tried):len(c.tried)], r.instance)
	}
	if r.sent() {
		c.possiblyRun = r.answer
		c.retry(ctx)
	} else {
		if !r.refused || c.notRun == nil {
			c.notRun = r.answer
		}
		c.reroute(ctx, r)
	}
	switch {
	case c.inFlight > 0:
		return nil
	case c.possiblyRun != nil:
		return c.possiblyRun
	default:
		return c.notRun
	}
}

// retry starts another attempt if the retry budget allows it.
func (c *idempotentCall) retry(ctx context.Context) {
	if c.retries >= maxRetries || ctx.Err() != nil || !c.server.routes.TakeRetry(serviceID(c.request)) {
		return
	}
	c.retries++
	c.start(ctx)
}

// reroute starts another attempt after one that sent nothing. It needs no retry
// budget, since the failed attempt caused no load on an instance.
func (c *idempotentCall) reroute(ctx context.Context, r attemptResult) {
	if r.refused || c.reroutes >= maxReroutes || !sleep(ctx, reroutePause) {
		return
	}
	c.reroutes++
	c.start(ctx)
}

// abandonedAnswer returns the answer for a call that is no longer waited for, and
// prevents a call that was not sent yet from being sent.
func (c *idempotentCall) abandonedAnswer(reason string) *apiv1.CallResponse {
	if c.active.preventSend() {
		return notRunAnswer(c.request, routing.Refusal(reason+" while the call waited for a slot"))
	}
	return unknownAnswer(c.request, reason)
}

// sleep waits for a duration. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
