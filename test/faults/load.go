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
	// resolveLimit bounds how long a caller keeps asking for its answer.
	resolveLimit = 25 * time.Second
	tryTimeout   = 2 * time.Second
)

// operation is one job or call as its caller sees it.
type operation struct {
	id   string
	call bool
	dc   string
	// accepted is when the submission was acknowledged; zero if it was not.
	accepted time.Time
	// outcome is unspecified while the caller has no answer.
	outcome apiv1.Outcome
	wrong   string
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
		go l.every(ctx, jobInterval, func(n int) { l.job(ctx, l.add(dc, false), n) })
		go l.every(ctx, callInterval, func(n int) { l.call(ctx, l.add(dc, true), n) })
	}
	return l
}

// every starts fn at fixed times, however long earlier ones take.
func (l *load) every(ctx context.Context, interval time.Duration, fn func(n int)) {
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

// finish stops new work and waits for the answers.
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

// try asks the entries of the operation's data centre in turn until fn succeeds.
func (l *load) try(ctx context.Context, o *operation, n int, fn func(ctx context.Context, entry *cluster.Process) error) error {
	var entries []*cluster.Process
	for _, e := range l.c.Entries {
		if e.DataCentre == o.dc {
			entries = append(entries, e)
		}
	}
	return cluster.Retry(ctx, resolveLimit, func(ctx context.Context) error {
		n++
		ctx, cancel := context.WithTimeout(ctx, tryTimeout)
		defer cancel()
		return fn(ctx, entries[n%len(entries)])
	})
}

func (l *load) job(ctx context.Context, o *operation, n int) {
	err := l.try(ctx, o, n, func(ctx context.Context, entry *cluster.Process) error {
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
	_ = l.try(ctx, o, n, func(ctx context.Context, entry *cluster.Process) error {
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
	_ = l.try(ctx, o, n, func(ctx context.Context, entry *cluster.Process) error {
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
