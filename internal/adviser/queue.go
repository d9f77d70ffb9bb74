package adviser

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
)

// Service is the advice service.
type Service interface {
	// Ask makes one call. It returns an error if the service gives no advice.
	Ask(ctx context.Context, q *cellapi.AdviceRequest) (*cellapi.AdviceReply, error)
}

// Queue passes requests on to the service, one at a time. It implements cellapi.Adviser.
type Queue struct {
	service Service
	logger  *slog.Logger
	metrics queueMetrics
	// slot has the capacity 1 and holds an element while a call is in progress.
	slot chan struct{}
}

var _ cellapi.Adviser = (*Queue)(nil)

// callSlack is what a call may take beyond twice its stated cost before its connection is
// given up.
const callSlack = 500 * time.Millisecond

// queueMetrics counts calls that were answered and that failed, requests that were not
// sent because earlier calls took too long, and requests whose time limit came during
// their call. wait is the time before a call is sent, call the time until its answer.
type queueMetrics struct {
	answered, failed, unsent, abandoned tally.Counter
	wait, call                          tally.Histogram
}

// NewQueue returns a queue for a service.
func NewQueue(service Service, logger *slog.Logger, scope tally.Scope) *Queue {
	buckets := tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 12)
	return &Queue{
		service: service, logger: logger, slot: make(chan struct{}, 1),
		metrics: queueMetrics{
			answered: scope.Counter("adviser_answered"), failed: scope.Counter("adviser_failed"),
			unsent: scope.Counter("adviser_unsent"), abandoned: scope.Counter("adviser_abandoned"),
			wait: scope.Histogram("adviser_wait", buckets), call: scope.Histogram("adviser_service", buckets),
		},
	}
}

// errUnsent is the reason of requests whose time limit is too near for a call.
var errUnsent = errors.New("the time limit is too near for a call")

// Advise implements cellapi.Adviser. The request's timeout includes the time in which it
// waits for earlier requests. A request that cannot be answered in time is not sent, and a
// call that was sent keeps later ones back until it ends, even if its request has timed
// out: the service works on it all the same.
func (a *Queue) Advise(ctx context.Context, q *cellapi.AdviceRequest) *cellapi.AdviceReply {
	received := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.TimeoutMS)*time.Millisecond)
	defer cancel()
	select {
	case a.slot <- struct{}{}:
	case <-ctx.Done():
		return a.refuse(q, received, ctx.Err())
	}
	cost := time.Duration(q.CostMS) * time.Millisecond
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < cost || ctx.Err() != nil {
		<-a.slot
		return a.refuse(q, received, errUnsent)
	}
	limit := 2*cost + callSlack
	if cost == 0 {
		limit = time.Duration(q.TimeoutMS) * time.Millisecond // the leader does not state costs
	}
	a.metrics.wait.RecordDuration(time.Since(received))
	reply := make(chan *cellapi.AdviceReply, 1)
	go func() { reply <- a.call(context.WithoutCancel(ctx), q, limit) }()
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		a.metrics.abandoned.Inc(1)
		a.log(q, "advice request abandoned", received, ctx.Err())
		return &cellapi.AdviceReply{Error: ctx.Err().Error()}
	}
}

// call makes a call to the service within the time limit and frees the slot.
func (a *Queue) call(ctx context.Context, q *cellapi.AdviceRequest, limit time.Duration) *cellapi.AdviceReply {
	defer func() { <-a.slot }()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := time.Now()
	answer, err := a.service.Ask(ctx, q)
	a.metrics.call.RecordDuration(time.Since(sent))
	if err != nil {
		a.metrics.failed.Inc(1)
		a.log(q, "advice request failed", sent, err)
		return &cellapi.AdviceReply{Error: err.Error()}
	}
	a.metrics.answered.Inc(1)
	return answer
}

// refuse returns the reply to a request that was not sent.
func (a *Queue) refuse(q *cellapi.AdviceRequest, received time.Time, err error) *cellapi.AdviceReply {
	a.metrics.unsent.Inc(1)
	a.log(q, "advice request not sent", received, err)
	return &cellapi.AdviceReply{Error: "earlier requests took too long"}
}

// log logs a request without an answer and the time since it was received or sent.
func (a *Queue) log(q *cellapi.AdviceRequest, message string, since time.Time, err error) {
	a.logger.Warn(message, logging.Step("advise"), logging.Job(q.Step.Job), "workers", len(q.Workers), "waited_ms", time.Since(since).Milliseconds(),
		"timeout_ms", q.TimeoutMS, "cost_ms", q.CostMS, logging.Error(err))
}
