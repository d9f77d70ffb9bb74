package adviser

import (
	"context"
	"log/slog"
	"time"

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

// queueMetrics counts requests by their outcome: answered, not sent because earlier calls
// took too long, and failed after they were sent. wait is the time before a call is sent,
// call the time until its answer.
type queueMetrics struct {
	answered, unsent, failed tally.Counter
	wait, call               tally.Histogram
}

// NewQueue returns a queue for a service.
func NewQueue(service Service, logger *slog.Logger, scope tally.Scope) *Queue {
	buckets := tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 12)
	return &Queue{
		service: service, logger: logger, slot: make(chan struct{}, 1),
		metrics: queueMetrics{
			answered: scope.Counter("adviser_answered"), unsent: scope.Counter("adviser_unsent"), failed: scope.Counter("adviser_failed"),
			wait: scope.Histogram("adviser_wait", buckets), call: scope.Histogram("adviser_service", buckets),
		},
	}
}

// Advise implements cellapi.Adviser. The request's timeout includes the time in which it
// waits for earlier requests.
func (a *Queue) Advise(ctx context.Context, q *cellapi.AdviceRequest) *cellapi.AdviceReply {
	received := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.TimeoutMS)*time.Millisecond)
	defer cancel()
	select {
	case a.slot <- struct{}{}:
		defer func() { <-a.slot }()
	case <-ctx.Done():
		a.metrics.unsent.Inc(1)
		a.log(q, "advice request not sent", received, time.Time{}, ctx.Err())
		return &cellapi.AdviceReply{Error: "earlier requests took too long"}
	}
	sent := time.Now()
	a.metrics.wait.RecordDuration(sent.Sub(received))
	answer, err := a.service.Ask(ctx, q)
	a.metrics.call.RecordDuration(time.Since(sent))
	if err != nil {
		a.metrics.failed.Inc(1)
		a.log(q, "advice request failed", received, sent, err)
		return &cellapi.AdviceReply{Error: err.Error()}
	}
	a.metrics.answered.Inc(1)
	return answer
}

// log logs a request without an answer. sent is zero if the request was not sent.
func (a *Queue) log(q *cellapi.AdviceRequest, message string, received, sent time.Time, err error) {
	waited, inService := time.Since(received), time.Duration(0)
	if !sent.IsZero() {
		waited, inService = sent.Sub(received), time.Since(sent)
	}
	a.logger.Warn(message, logging.Step("advise"), logging.Job(q.Step.Job), "workers", len(q.Workers),
		"waited_ms", waited.Milliseconds(), "in_service_ms", inService.Milliseconds(), "timeout_ms", q.TimeoutMS, logging.Error(err))
}
