package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/internal/standin"
	"laburnumgrade/test/cluster"
)

// point is one combination of parameters to measure.
type point struct {
	workers int
	// tasks is the number of tasks that run on each worker throughout.
	tasks int
	// rate is the number of short tasks submitted per second; runTime is how long
	// each of them runs.
	rate    int
	runTime time.Duration
	// duration is the length of the measurement.
	duration time.Duration
}

// result holds the measurements of a point. sent and received (bytes), messages
// and placements are per second.
type result struct {
	point
	controlCPU, entryCPU       float64 // cores
	controlMemory, entryMemory int64   // bytes
	sent, received, messages   float64
	// maxWorkerBytesPerSecond is the highest traffic of a single worker, in both
	// directions together.
	maxWorkerBytesPerSecond float64
	placements              float64
	waits, urgent           []time.Duration
	refused, failed         int
}

const (
	document = `[service]
team = bench
name = step
command = step
class = batch
idempotent = yes
[size]
cpu = 1
memory = 1GB
[tasks]
count = 1
run_time = 20s
[limits]
share = 1
cpu = 1000000
memory = 1000000GB
queue = 1000000
`
	// longRun is longer than any measurement.
	longRun = 10 * time.Minute
	// settleTime is the pause between reaching a state and measuring it.
	settleTime = 3 * time.Second
	// tasksPerFillJob is the number of long tasks submitted in one job before the
	// measurement.
	tasksPerFillJob = 500
	// urgentInterval is the pause between urgent jobs.
	urgentInterval = time.Second
	// submitters bounds the submissions in flight and the idle connections.
	submitters = 64
)

// measure starts a cluster of one data centre, measures a point and stops it.
func measure(ctx context.Context, o *options, p point) (*result, error) {
	folder, err := os.MkdirTemp(o.Folder, "scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	bin, err := filepath.Abs(o.Bin)
	if err != nil {
		return nil, err
	}
	c, err := cluster.New(cluster.Spec{
		Bin: bin, Folder: folder, DataCentres: []string{"Balaju"}, VMsPerDataCentre: 1, DisksPerDataCentre: 1, Voters: 1, FleetVoters: 1,
		StandinArgs: []string{"--workers", fmt.Sprint(p.workers), "--memory-gb", "256"},
	})
	if err != nil {
		return nil, err
	}
	c.Client.Transport = &http.Transport{MaxIdleConnsPerHost: submitters}
	defer c.Stop()
	if err := c.StartAll(); err != nil {
		return nil, err
	}
	s := &measurement{cluster: c, result: &result{point: p}, submitted: map[string]time.Time{}}
	return s.result, s.run(ctx)
}

// measurement is the measurement of one point.
type measurement struct {
	cluster *cluster.Cluster
	caller  apiv1connect.CallerServiceClient
	result  *result

	mu        sync.Mutex
	submitted map[string]time.Time
	urgent    []string
}

func (s *measurement) run(ctx context.Context) error {
	if err := s.prepare(ctx); err != nil {
		return err
	}
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	if s.result.rate > 0 {
		wg.Go(func() { s.load(load) })
		// The number of running tasks is constant once the first ones end.
		time.Sleep(s.result.runTime)
	}
	time.Sleep(settleTime)
	if err := s.sample(ctx); err != nil {
		return err
	}
	stop()
	wg.Wait()
	return s.collectWaits(ctx)
}

func (s *measurement) prepare(ctx context.Context) error {
	c := s.cluster
	if _, err := c.PutDocument(ctx, c.Entries[0], document); err != nil {
		return err
	}
	key, err := c.GrantKey(ctx, c.Entries[0], "bench")
	if err != nil {
		return err
	}
	if err := c.AwaitInForce(ctx, c.Entries[0], key.Change.Index); err != nil {
		return err
	}
	s.caller = c.Caller(c.Entries[0], key.Key)
	total := s.result.workers * s.result.tasks
	for left := total; left > 0; left -= tasksPerFillJob {
		if err := s.submit(ctx, min(left, tasksPerFillJob), longRun, false); err != nil {
			return err
		}
	}
	return cluster.Retry(ctx, 30*time.Second, func(ctx context.Context) error {
		r, err := c.Report(ctx)
		if err == nil && len(r.Runs) < total {
			err = errors.Errorf("%d of %d tasks are running", len(r.Runs), total)
		}
		return err
	})
}

func (s *measurement) submit(ctx context.Context, tasks int, run time.Duration, urgent bool) error {
	id := cluster.NewID()
	began := time.Now()
	_, err := s.caller.SubmitJob(ctx, connect.NewRequest(&apiv1.SubmitJobRequest{
		JobId: id, Team: "bench", Service: "step", Payload: fmt.Appendf(nil, `{"run_ms":%d}`, run.Milliseconds()), Tasks: int32(tasks), Urgent: urgent,
	}))
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil && run != longRun:
		s.submitted[id] = began
	case connect.CodeOf(err) == connect.CodeFailedPrecondition:
		s.result.refused++
	case err != nil && ctx.Err() == nil:
		s.result.failed++
	}
	if urgent {
		s.urgent = append(s.urgent, id)
	}
	return err
}

// load submits jobs of one task at the given rate, independently of how long
// they take, until the context ends.
func (s *measurement) load(ctx context.Context) {
	slots := make(chan struct{}, submitters)
	began := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	lastUrgent := began
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(s.result.rate))))
		urgent := time.Since(lastUrgent) >= urgentInterval
		if urgent {
			lastUrgent = time.Now()
		}
		slots <- struct{}{}
		wg.Go(func() {
			_ = s.submit(ctx, 1, s.result.runTime, urgent)
			<-slots
		})
	}
}

// reading holds the counters that are read before and after a measurement.
type reading struct {
	at                   time.Time
	controlCPU, entryCPU time.Duration
	traffic              map[string]standin.TrafficReport
}

func (s *measurement) read(ctx context.Context) (r reading, err error) {
	c := s.cluster
	r.at = time.Now()
	if r.controlCPU, err = c.Controls[0].CPU(); err != nil {
		return r, err
	}
	if r.entryCPU, err = c.Entries[0].CPU(); err != nil {
		return r, err
	}
	r.traffic, err = c.Traffic(ctx)
	return r, err
}

func (s *measurement) sample(ctx context.Context) error {
	before, err := s.read(ctx)
	if err != nil {
		return err
	}
	time.Sleep(s.result.duration)
	after, err := s.read(ctx)
	if err != nil {
		return err
	}
	r := s.result
	seconds := after.at.Sub(before.at).Seconds()
	r.controlCPU = (after.controlCPU - before.controlCPU).Seconds() / seconds
	r.entryCPU = (after.entryCPU - before.entryCPU).Seconds() / seconds
	for id, a := range after.traffic {
		b := before.traffic[id]
		sent, received := float64(a.Sent-b.Sent)/seconds, float64(a.Received-b.Received)/seconds
		r.sent += sent
		r.received += received
		r.messages += float64(a.Requests-b.Requests) / seconds
		r.maxWorkerBytesPerSecond = max(r.maxWorkerBytesPerSecond, sent+received)
	}
	if r.controlMemory, err = s.cluster.Controls[0].Memory(); err != nil {
		return err
	}
	if r.entryMemory, err = s.cluster.Entries[0].Memory(); err != nil {
		return err
	}
	report, err := s.cluster.Report(ctx)
	if err != nil {
		return err
	}
	for i := range report.Runs {
		if at := report.BeganUnixMs + report.Runs[i].Start; at >= before.at.UnixMilli() && at < after.at.UnixMilli() {
			r.placements++
		}
	}
	r.placements /= seconds
	return nil
}

// collectWaits computes how long each job waited from its submission to its
// start on a target. Jobs that were not started are counted as failed.
func (s *measurement) collectWaits(ctx context.Context) error {
	time.Sleep(time.Second)
	report, err := s.cluster.Report(ctx)
	if err != nil {
		return err
	}
	if n := report.Summary.Overlapping + report.Summary.Overcommitted; n > 0 {
		return errors.Errorf("%d starts were overlapping or overcommitted", n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range report.Runs {
		run := &report.Runs[i]
		id := run.ID[:len(run.ID)-len("/0")]
		began, found := s.submitted[id]
		if !found {
			continue
		}
		wait := time.UnixMilli(report.BeganUnixMs + run.Start).Sub(began)
		s.result.waits = append(s.result.waits, wait)
		if slices.Contains(s.urgent, id) {
			s.result.urgent = append(s.result.urgent, wait)
		}
		delete(s.submitted, id)
	}
	slices.Sort(s.result.waits)
	slices.Sort(s.result.urgent)
	s.result.failed += len(s.submitted)
	return nil
}
