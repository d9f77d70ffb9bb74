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

// point is one combination to measure.
type point struct {
	workers int
	// tasks that run on each worker throughout.
	tasks int
	// rate of starts of short tasks, per second, and how long each runs.
	rate int
	run  time.Duration
	// measured is the length of the measurement.
	measured time.Duration
}

// result is what was measured at a point. Rates are per second.
type result struct {
	point
	controlCPU, entryCPU       float64 // cores
	controlMemory, entryMemory int64   // bytes
	sent, received, messages   float64
	// largest is that of the worker with the most bytes in both directions.
	largest         float64
	placements      float64
	waits, urgent   []time.Duration
	refused, failed int
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
	// settle is the time between reaching a state and measuring it.
	settle = 3 * time.Second
	// fillJob is the number of long tasks submitted in one job.
	fillJob = 500
	// urgentEvery is the interval between urgent jobs.
	urgentEvery = time.Second
	submitters  = 64
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
	s := &session{cluster: c, result: &result{point: p}, submitted: map[string]time.Time{}}
	return s.result, s.run(ctx)
}

// session is the measurement of one point.
type session struct {
	cluster *cluster.Cluster
	caller  apiv1connect.CallerServiceClient
	result  *result

	mu        sync.Mutex
	submitted map[string]time.Time
	urgent    []string
}

func (s *session) run(ctx context.Context) error {
	if err := s.prepare(ctx); err != nil {
		return err
	}
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	if s.result.rate > 0 {
		wg.Go(func() { s.load(load) })
		// The number of running tasks is steady once the first ones end.
		time.Sleep(s.result.run)
	}
	time.Sleep(settle)
	if err := s.sample(ctx); err != nil {
		return err
	}
	stop()
	wg.Wait()
	return s.waits(ctx)
}

func (s *session) prepare(ctx context.Context) error {
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
	for left := total; left > 0; left -= fillJob {
		if err := s.submit(ctx, min(left, fillJob), longRun, false); err != nil {
			return err
		}
	}
	return cluster.Retry(ctx, 30*time.Second, func(ctx context.Context) error {
		r, err := c.Report(ctx)
		if err == nil && len(r.Runs) < total {
			err = errors.Errorf("%d of %d tasks run", len(r.Runs), total)
		}
		return err
	})
}

func (s *session) submit(ctx context.Context, tasks int, run time.Duration, urgent bool) error {
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

// load submits jobs of one task in an open loop.
func (s *session) load(ctx context.Context) {
	slots := make(chan struct{}, submitters)
	began := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	lastUrgent := began
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(s.result.rate))))
		urgent := time.Since(lastUrgent) >= urgentEvery
		if urgent {
			lastUrgent = time.Now()
		}
		slots <- struct{}{}
		wg.Go(func() {
			_ = s.submit(ctx, 1, s.result.run, urgent)
			<-slots
		})
	}
}

// reading is what is read before and after a measurement.
type reading struct {
	at                   time.Time
	controlCPU, entryCPU time.Duration
	traffic              map[string]standin.TrafficReport
}

func (s *session) read(ctx context.Context) (r reading, err error) {
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

func (s *session) sample(ctx context.Context) error {
	before, err := s.read(ctx)
	if err != nil {
		return err
	}
	time.Sleep(s.result.measured)
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
		r.largest = max(r.largest, sent+received)
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

// waits compares when jobs were submitted with when their targets started them.
func (s *session) waits(ctx context.Context) error {
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
		began, known := s.submitted[id]
		if !known {
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
