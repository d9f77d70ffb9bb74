package adviser

import (
	"context"
	"log/slog"
	"slices"
	"sync"
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

	mu sync.Mutex
	// busy is set while a call is in progress, and waiting holds the requests behind it.
	busy    bool
	waiting []*waiter
}

// waiter is a request that waits for its turn.
type waiter struct {
	deadline time.Time
	// turn is closed when the request may make its call.
	turn chan struct{}
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
		service: service, logger: logger,
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
	if err := a.acquire(ctx); err != nil {
		return a.refuse(q, received, err)
	}
	cost := time.Duration(q.CostMS) * time.Millisecond
	if deadline, _ := ctx.Deadline(); time.Until(deadline) < cost || ctx.Err() != nil {
		a.release()
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

// acquire waits for the turn of a request. Requests with the nearest deadline come first:
// those of the leader follow the order in which it gave them to this process, which they
// may have lost on different connections.
func (a *Queue) acquire(ctx context.Context) error {
	a.mu.Lock()
	if !a.busy {
		a.busy = true
		a.mu.Unlock()
		return nil
	}
	w := &waiter{turn: make(chan struct{})}
	w.deadline, _ = ctx.Deadline()
	a.waiting = append(a.waiting, w)
	a.mu.Unlock()
	select {
	case <-w.turn:
		return nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	i := slices.Index(a.waiting, w)
	if i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
	}
	a.mu.Unlock()
	if i < 0 {
		a.release() // the turn came in the meantime
	}
	return ctx.Err()
}

// release gives the turn to the next request.
func (a *Queue) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == 0 {
		a.busy = false
		return
	}
	next := slices.MinFunc(a.waiting, func(x, y *waiter) int { return x.deadline.Compare(y.deadline) })
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool { return w == next })
	close(next.turn)
}

// call makes a call to the service within the time limit and gives the turn on.
func (a *Queue) call(ctx context.Context, q *cellapi.AdviceRequest, limit time.Duration) *cellapi.AdviceReply {
	defer a.release()
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
