package dispatch_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/dispatch"
	"laburnumgrade/internal/gateway"
	"laburnumgrade/internal/pause"
	"laburnumgrade/platform"
)

var (
	lateSeed  = flag.Uint64("late.seed", 1, "first seed of TestNoTaskStartsAfterCancellation")
	lateSeeds = flag.Int("late.seeds", 3, "number of seeds of TestNoTaskStartsAfterCancellation")
)

const (
	// cancelTime is the platform's cancel_ms: how long after the acknowledgement of its
	// cancellation a job may still start a task.
	cancelTime = 3 * time.Second
	// lateRetention is how long withdrawals and ended jobs are kept in the simulation: shorter
	// than longPause, so that withdrawals alone do not stop all late submissions, and longer
	// than patience, so that a job does not run again because its client repeats it.
	lateRetention = 10 * time.Second
	// patience is how long a client that does not disconnect early repeats a submission.
	patience = 6 * time.Second
	// Most pauses of a gateway are shorter than shortPause, all are shorter than longPause.
	shortPause = 4 * time.Second
	longPause  = 18 * time.Second
	// lateWorkers can run a little more than the clients submit, so that accepted jobs wait
	// for seconds after each disturbance.
	lateWorkers  = 2
	lateGateways = 2
	// burst is how many clients come at once at times.
	burst = 40
	// clientTimeout is how long a client waits for a response.
	clientTimeout = 3 * time.Second
	// cancelRetryTime is how long a client repeats a cancellation: both gateways may be paused.
	cancelRetryTime = 40 * time.Second
)

// Guards against a task that starts although the cancellation of its job was acknowledged: its
// submission waited in a paused gateway, for a commit or in a lost attempt, and is carried out
// later. Also guards against a refused submission that runs and an accepted job that is lost.
func TestNoTaskStartsAfterCancellation(t *testing.T) {
	for i := range *lateSeeds {
		seed := *lateSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			dispatch.RunSimulatedCell(t, lateWorkers, lateRetention, rand.New(rand.NewPCG(seed, 2)), func(c *dispatch.SimulatedCell) {
				runLateSubmissions(c, seed)
			})
		})
	}
}

// lateJob is what the client of a job has seen.
type lateJob struct {
	// answers are the responses to submissions; 0 is a request without a response.
	answers []int
	// cancelSent is set once a cancellation was sent, cancelledAt is when it was acknowledged.
	cancelSent  bool
	cancelledAt time.Duration
	starts      []time.Duration
	history     []string
}

// refused reports whether all submissions were answered with 503.
func (j *lateJob) refused() bool {
	for _, status := range j.answers {
		if status != http.StatusServiceUnavailable {
			return false
		}
	}
	return len(j.answers) > 0
}

// accepted reports whether a submission was answered with 200.
func (j *lateJob) accepted() bool {
	for _, status := range j.answers {
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

// lateSubmissions is a run of the simulation.
type lateSubmissions struct {
	cell     *dispatch.SimulatedCell
	began    time.Time
	gateways []*simulatedGateway
	clients  sync.WaitGroup

	// orders is drawn from by the main goroutine only, so that the seed determines it. messages
	// is drawn from by all; the scheduling of goroutines has an influence on it.
	orders, messages *lateRandom

	mu      sync.Mutex
	jobs    map[string]*lateJob
	history []string
}

// lateRandom draws times and chances.
type lateRandom struct {
	mu sync.Mutex
	*rand.Rand
}

func newLateRandom(seed, stream uint64) *lateRandom {
	return &lateRandom{Rand: rand.New(rand.NewPCG(seed, stream))}
}

// between returns a random time.
func (r *lateRandom) between(from, to time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return from + time.Duration(r.Int64N(int64(to-from)))
}

func (r *lateRandom) chance(percent int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.IntN(100) < percent
}

// messageTime returns how long a message takes.
func (s *lateSubmissions) messageTime() time.Duration {
	if s.messages.chance(2) {
		return s.messages.between(0, 400*time.Millisecond)
	}
	return s.messages.between(200*time.Microsecond, 3*time.Millisecond)
}

// note adds an event to the history of the run.
func (s *lateSubmissions) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, fmt.Sprintf("%v ", time.Since(s.began))+fmt.Sprintf(format, args...))
}

// change modifies a job and adds an event to its history.
func (s *lateSubmissions) change(id string, change func(j *lateJob), format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil {
		j = &lateJob{}
		s.jobs[id] = j
	}
	change(j)
	j.history = append(j.history, fmt.Sprintf("%v ", time.Since(s.began))+fmt.Sprintf(format, args...))
}

// simulatedGateway is a gateway process that can be paused: it receives and sends nothing, and
// its clock is not read.
type simulatedGateway struct {
	run     *lateSubmissions
	handler http.Handler
	leader  http.Handler

	mu                    sync.Mutex
	pausedAt, pausedUntil time.Time
}

// Now implements port.Clock. During a pause it returns when the pause began, since a paused
// process reads no clock.
func (g *simulatedGateway) Now() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().Before(g.pausedUntil) {
		return g.pausedAt.Sub(g.run.began)
	}
	return time.Since(g.run.began)
}

// pause pauses the process, unless it is paused already.
func (g *simulatedGateway) pause(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().Before(g.pausedUntil) {
		return false
	}
	g.pausedAt, g.pausedUntil = time.Now(), time.Now().Add(d)
	return true
}

// awaitResume waits until the process is not paused.
func (g *simulatedGateway) awaitResume() {
	for {
		g.mu.Lock()
		paused := time.Until(g.pausedUntil)
		g.mu.Unlock()
		if paused <= 0 {
			return
		}
		time.Sleep(paused)
	}
}

// RoundTrip sends a request of the gateway to the leader. The leader learns a little later
// than the gateway that an attempt is given up.
func (g *simulatedGateway) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	g.awaitResume()
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	answered := make(chan *http.Response, 1)
	go func() {
		time.Sleep(g.run.messageTime())
		served, cancel := context.WithCancel(context.Background())
		defer cancel()
		defer g.cancelAfter(r.Context(), cancel)()
		w := httptest.NewRecorder()
		g.leader.ServeHTTP(w, httptest.NewRequestWithContext(served, r.Method, r.URL.String(), bytes.NewReader(body)))
		time.Sleep(g.run.messageTime())
		answered <- w.Result()
	}()
	select {
	case response := <-answered:
		g.awaitResume()
		return response, nil
	case <-r.Context().Done():
		g.awaitResume()
		return nil, r.Context().Err()
	}
}

// cancelAfter calls cancel a message's time after ctx has ended and the gateway runs. The
// result ends this.
func (g *simulatedGateway) cancelAfter(ctx context.Context, cancel context.CancelFunc) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		g.awaitResume()
		time.Sleep(g.run.messageTime())
		cancel()
	})
}

// send sends a request of a client and returns the status, 0 without a response. While the
// gateway is paused the request waits in its socket; the gateway learns that the client has
// disconnected only once it serves the request.
func (g *simulatedGateway) send(ctx context.Context, method, id string) int {
	const body = `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":300}]}`
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	answered := make(chan int, 1)
	go func() {
		time.Sleep(g.run.messageTime())
		g.awaitResume()
		time.Sleep(g.run.messages.between(0, 20*time.Millisecond)) // until its goroutine runs
		g.awaitResume()
		served, cancel := context.WithCancel(context.Background())
		defer cancel()
		defer g.cancelAfter(ctx, cancel)()
		r := httptest.NewRequestWithContext(served, method, "http://h"+g.run.cell.QueuePath()+id, strings.NewReader(body))
		r.Header.Set("Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
		w := httptest.NewRecorder()
		g.handler.ServeHTTP(w, r)
		g.awaitResume()
		time.Sleep(g.run.messageTime())
		answered <- w.Code
	}()
	select {
	case status := <-answered:
		return status
	case <-ctx.Done():
		return 0
	}
}

// submit submits a job until it is accepted, the job is being cancelled, or the client
// disconnects.
func (s *lateSubmissions) submit(id string, gateway int, connected time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), connected)
	defer cancel()
	for {
		s.change(id, func(*lateJob) {}, "submit through gateway %d", gateway)
		status := s.gateways[gateway].send(ctx, http.MethodPost, id)
		stop := false
		s.change(id, func(j *lateJob) {
			j.answers = append(j.answers, status)
			stop = j.cancelSent
		}, "submission answered with %d", status)
		if status == http.StatusOK || stop || !cellapi.Pause(ctx, s.messages.between(20*time.Millisecond, 300*time.Millisecond)) {
			return
		}
		s.mu.Lock()
		stop = s.jobs[id].cancelSent
		s.mu.Unlock()
		if stop {
			return
		}
		gateway = (gateway + 1) % lateGateways
	}
}

// cancelJob cancels a job until it is acknowledged, for cancelRetryTime at most.
func (s *lateSubmissions) cancelJob(id string, gateway int) {
	s.change(id, func(j *lateJob) { j.cancelSent = true }, "cancel")
	for end := time.Now().Add(cancelRetryTime); time.Now().Before(end); gateway = (gateway + 1) % lateGateways {
		status := s.gateways[gateway].send(context.Background(), http.MethodDelete, id)
		acknowledged := status == http.StatusOK || status == http.StatusGone
		s.change(id, func(j *lateJob) {
			if acknowledged {
				j.cancelledAt = time.Since(s.began)
			}
		}, "cancellation through gateway %d answered with %d", gateway, status)
		if acknowledged {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// startClient submits a job and may disconnect early and cancel it through the other gateway,
// before or after the submission has ended.
func (s *lateSubmissions) startClient(id string) {
	gateway, connected := 0, patience
	if s.orders.chance(50) {
		gateway = 1
	}
	if s.orders.chance(50) {
		connected = s.orders.between(5*time.Millisecond, 1500*time.Millisecond)
	}
	cancelled, early, after := s.orders.chance(60), s.orders.chance(50), s.orders.between(0, 1500*time.Millisecond)
	submitted := make(chan struct{})
	s.clients.Go(func() {
		s.submit(id, gateway, connected)
		close(submitted)
	})
	if !cancelled {
		return
	}
	s.clients.Go(func() {
		if !early {
			<-submitted
		}
		time.Sleep(after)
		s.cancelJob(id, 1-gateway)
	})
}

// startGateways starts the gateways. Their goroutines end with ctx.
func (s *lateSubmissions) startGateways(ctx context.Context, background *sync.WaitGroup) {
	logger := slog.New(slog.DiscardHandler)
	for i := range lateGateways {
		g := &simulatedGateway{run: s, leader: cellapi.Handler(s.cell.Leader(), nil)}
		detector := pause.New(g)
		name := fmt.Sprintf("g%d", i)
		process := gateway.New(cellapi.NewClientOver(g, []string{"self"}, logger), name, detector, logger)
		g.handler = platform.ClientHandler(process, logger, tally.NoopScope)
		background.Go(func() { detector.Run(ctx) })
		background.Go(func() { process.Run(ctx) })
		s.gateways = append(s.gateways, g)
	}
}

// disturb makes something happen to the processes. draw is a number below 1000; most numbers
// mean that nothing happens.
func (s *lateSubmissions) disturb(draw int) {
	switch {
	case draw < 12:
		g, d := 0, s.orders.between(50*time.Millisecond, shortPause)
		if s.orders.chance(40) {
			d = s.orders.between(shortPause, longPause)
		}
		if s.orders.chance(50) {
			g = 1
		}
		if s.gateways[g].pause(d) {
			s.note("gateway %d pauses for %v", g, d)
		}
	case draw < 17:
		d := s.orders.between(50*time.Millisecond, time.Second)
		s.note("commits are held up for %v", d)
		s.cell.HoldCommits(d)
	case draw < 22:
		s.note("snapshot")
		s.cell.TakeSnapshot()
	case draw < 23:
		restore, after := s.orders.chance(50), s.orders.between(50*time.Millisecond, 1500*time.Millisecond)
		s.note("the leader changes after %v, from a snapshot: %v", after, restore)
		s.cell.Restart(after, restore)
		s.note("the next leader leads")
	case draw < 28:
		worker, d := fmt.Sprintf("w%d", s.orders.between(0, lateWorkers)), s.orders.between(0, 1500*time.Millisecond)
		s.note("worker %s starts late by %v for a second", worker, d)
		s.cell.SetStartDelay(worker, d)
		time.AfterFunc(time.Second, func() { s.cell.SetStartDelay(worker, 0) })
	}
}

func runLateSubmissions(c *dispatch.SimulatedCell, seed uint64) {
	const troubleTime, settleTime, step = 90 * time.Second, 40 * time.Second, 25 * time.Millisecond
	t := c.T()
	s := &lateSubmissions{cell: c, began: time.Now(), orders: newLateRandom(seed, 1), messages: newLateRandom(seed, 3), jobs: map[string]*lateJob{}}
	ctx, cancel := context.WithCancel(t.Context())
	var background sync.WaitGroup
	defer func() {
		cancel()
		background.Wait()
	}()
	s.startGateways(ctx, &background)
	complete := map[string]bool{}
	background.Go(func() {
		for cellapi.Pause(ctx, 100*time.Millisecond) {
			c.ReportAll()
			c.CompletedJobs(complete)
		}
	})
	c.SetDuration(func(task cell.TaskKey) time.Duration {
		s.change(task.Job, func(j *lateJob) { j.starts = append(j.starts, time.Since(s.began)) }, "a task starts")
		return s.messages.between(200*time.Millisecond, 2200*time.Millisecond)
	})
	for number := 0; time.Since(s.began) < troubleTime; time.Sleep(step) {
		clients := 0
		switch draw := s.orders.between(0, 1000); {
		case draw < 5:
			clients = burst
		case draw < 400:
			clients = 1
		}
		for range clients {
			number++
			s.startClient(fmt.Sprintf("%016x", number))
		}
		s.disturb(int(s.orders.between(0, 1000)))
	}
	s.clients.Wait()
	time.Sleep(settleTime)
	cancel()
	background.Wait()
	s.check(t, seed, complete)
}

// check checks what the clients have seen against the starts and ends of tasks.
func (s *lateSubmissions) check(t *testing.T, seed uint64, complete map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled, refused, accepted := 0, 0, 0
	fail := func(id, what string) {
		t.Errorf("seed %d: job %s %s\n%s", seed, id, what, strings.Join(s.jobs[id].history, "\n"))
	}
	for id, j := range s.jobs {
		if j.cancelledAt > 0 {
			cancelled++
			for _, at := range j.starts {
				if at > j.cancelledAt+cancelTime {
					fail(id, fmt.Sprintf("starts %v after its cancellation was acknowledged", at-j.cancelledAt))
				}
			}
		}
		switch {
		case j.refused():
			refused++
			if len(j.starts) > 0 {
				fail(id, "starts although each submission was refused")
			}
		case j.accepted() && !j.cancelSent:
			accepted++
			if !complete[id] {
				fail(id, "was accepted and does not complete")
			}
		}
	}
	t.Logf("seed %d: %d jobs, %d cancelled, %d refused, %d accepted and not cancelled", seed, len(s.jobs), cancelled, refused, accepted)
	if t.Failed() {
		t.Logf("seed %d:\n%s", seed, strings.Join(s.history, "\n"))
	}
	assert.Assert(t, cancelled > 0 && refused > 0 && accepted > 0)
}
