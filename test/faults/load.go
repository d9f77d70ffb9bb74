package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/test/cluster"
)

const (
	jobInterval  = 40 * time.Millisecond
	callInterval = 100 * time.Millisecond
	// outcomeTimeout bounds how long a caller retries until it has its answer.
	outcomeTimeout = 25 * time.Second
	attemptTimeout = 2 * time.Second
)

// operation is one job or call, with what its caller has received.
type operation struct {
	id   string
	call bool
	dc   string
	// accepted is when the submission was acknowledged or the call answered; zero
	// if it was not.
	accepted time.Time
	// outcome is unspecified until the caller has an answer.
	outcome apiv1.Outcome
	// wrong is the received answer if it is not the expected one.
	wrong string
}

// load submits jobs and calls in every data centre until it is stopped.
type load struct {
	c    *cluster.Cluster
	keys map[string]string
	wg   sync.WaitGroup
	stop chan struct{}

	mu         sync.Mutex
	operations []*operation
}

func startLoad(ctx context.Context, c *cluster.Cluster, keys map[string]string) *load {
	l := &load{c: c, keys: keys, stop: make(chan struct{})}
	for _, dc := range c.Spec.DataCentres {
		l.wg.Add(2)
		go l.startPeriodically(ctx, jobInterval, func(n int) { l.job(ctx, l.add(dc, false), n) })
		go l.startPeriodically(ctx, callInterval, func(n int) { l.call(ctx, l.add(dc, true), n) })
	}
	return l
}

// startPeriodically starts fn in a new goroutine at each interval, even while
// earlier ones still run.
func (l *load) startPeriodically(ctx context.Context, interval time.Duration, fn func(n int)) {
	defer l.wg.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			fn(n)
		}()
	}
}

// finish stops submitting, waits for the outstanding answers and returns all
// operations.
func (l *load) finish() []*operation {
	close(l.stop)
	l.wg.Wait()
	return l.operations
}

func (l *load) add(dc string, call bool) *operation {
	o := &operation{id: cluster.NewID() + "." + dc, dc: dc, call: call}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations = append(l.operations, o)
	return o
}

// tryEntries calls fn with the entries of the operation's data centre in turn
// until fn succeeds.
func (l *load) tryEntries(ctx context.Context, o *operation, n int, fn func(ctx context.Context, entry *cluster.Process) error) error {
	var entries []*cluster.Process
	for _, e := range l.c.Entries {
		if e.DataCentre == o.dc {
			entries = append(entries, e)
		}
	}
	return cluster.Retry(ctx, outcomeTimeout, func(ctx context.Context) error {
		n++
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		return fn(ctx, entries[n%len(entries)])
	})
}

func (l *load) job(ctx context.Context, o *operation, n int) {
	err := l.tryEntries(ctx, o, n, func(ctx context.Context, entry *cluster.Process) error {
		_, err := l.c.Caller(entry, l.keys["refit"]).SubmitJob(ctx, connect.NewRequest(&apiv1.SubmitJobRequest{
			JobId: o.id, Team: "refit", Service: "foam-order", Payload: []byte(`{"run_ms":60}`),
		}))
		return err
	})
	if err != nil {
		return
	}
	l.mu.Lock()
	o.accepted = time.Now()
	l.mu.Unlock()
	_ = l.tryEntries(ctx, o, n, func(ctx context.Context, entry *cluster.Process) error {
		r, err := l.c.Caller(entry, l.keys["refit"]).WaitJob(ctx, connect.NewRequest(&apiv1.WaitJobRequest{JobId: o.id, WaitMs: 1500}))
		if err != nil {
			return err
		}
		if r.Msg.State != apiv1.JobState_JOB_STATE_ENDED {
			return errors.New("not ended")
		}
		o.outcome = r.Msg.Outcome
		if want := "done " + o.id + "/0"; o.outcome == apiv1.Outcome_OUTCOME_OK && string(r.Msg.Results[0].Answer) != want {
			o.wrong = string(r.Msg.Results[0].Answer)
		}
		return nil
	})
}

func (l *load) call(ctx context.Context, o *operation, n int) {
	body := fmt.Sprintf(`{"run_ms":20,"slip":%q}`, o.id)
	_ = l.tryEntries(ctx, o, n, func(ctx context.Context, entry *cluster.Process) error {
		r, err := l.c.Caller(entry, l.keys["audit"]).Call(ctx, connect.NewRequest(&apiv1.CallRequest{
			RequestId: o.id, Team: "audit", Service: "visit-slip", Body: []byte(body), DeadlineMs: 1500,
		}))
		if err != nil {
			return err
		}
		o.outcome = r.Msg.Outcome
		if o.outcome != apiv1.Outcome_OUTCOME_OK {
			return errors.Errorf("%v: %s", o.outcome, r.Msg.Detail)
		}
		if string(r.Msg.Body) != body {
			o.wrong = string(r.Msg.Body)
		}
		l.mu.Lock()
		o.accepted = time.Now()
		l.mu.Unlock()
		return nil
	})
}
