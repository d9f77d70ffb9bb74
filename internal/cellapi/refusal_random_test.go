package cellapi_test

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
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/dispatch"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/replica"
)

var (
	refusalSeed  = flag.Uint64("refusal.seed", 1, "first seed of TestNoRefusedJobStarts")
	refusalSeeds = flag.Int("refusal.seeds", 4, "number of seeds of TestNoRefusedJobStarts")
)

const (
	// controlProcesses is the number of control processes in the simulation.
	controlProcesses = 3
	// electionTime is how long a leader may be paused before another one is elected.
	electionTime = 500 * time.Millisecond
	groupTick    = 5 * time.Millisecond
)

// entry is a proposed command that is not committed yet.
type entry struct {
	command []byte
	// settled receives the result or, with a nil result, that the outcome is unknown.
	settled chan any
}

// group is a model of the replicated log of the control processes. Entries are committed in
// order, unless commits are held up. A new leader has the entries of the earlier one that are
// not committed, and then commits them before it holds a lease, or drops them.
type group struct {
	mu     sync.Mutex
	random *rand.Rand
	// leader is the number of the leading process, -1 if there is none.
	leader      int
	term        uint64
	index       uint64
	since       time.Duration
	pending     []*entry
	heldUntil   time.Time
	pausedUntil [controlProcesses]time.Time
	electionAt  time.Time
	stores      [controlProcesses]*cell.Store
	// stored holds the jobs that were ever part of the state. A job of the state is started
	// as soon as a worker has room.
	stored map[string]bool
}

// groupLog is the log as one process has it.
type groupLog struct {
	*group
	process int
}

// leads reports whether a process leads. The caller holds mu.
func (g *group) leads(process int) bool {
	return g.leader == process && !time.Now().Before(g.pausedUntil[process])
}

func (l groupLog) Propose(ctx context.Context, command []byte) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	if !l.leads(l.process) {
		l.mu.Unlock()
		return nil, &port.NotLeaderError{Group: "cell"}
	}
	e := &entry{command, make(chan any, 1)}
	l.pending = append(l.pending, e)
	l.mu.Unlock()
	select {
	case result := <-e.settled:
		if result == nil {
			return nil, &replica.OutcomeUnknownError{Group: "cell", Err: context.Canceled}
		}
		return result, nil
	case <-ctx.Done():
		return nil, &replica.OutcomeUnknownError{Group: "cell", Err: ctx.Err()}
	}
}

func (l groupLog) Lease() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since, l.leads(l.process)
}

func (l groupLog) Leader() (id, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader < 0 {
		return "", ""
	}
	return processAddress(l.leader), processAddress(l.leader)
}

func (l groupLog) Term() (term, commit uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.index
}

func processAddress(process int) string { return fmt.Sprintf("c%d", process) }

// pause pauses a process.
func (g *group) pause(process int, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pausedUntil[process] = time.Now().Add(d)
	if g.leader == process && d > electionTime {
		g.electionAt = time.Now().Add(electionTime)
	}
}

// resign makes the leader lose its leadership; another one is elected after d.
func (g *group) resign(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader, g.electionAt = -1, time.Now().Add(d)
}

// hold holds up commits.
func (g *group) hold(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heldUntil = time.Now().Add(d)
}

// elect elects another leader if it is time to. It returns the entries that the new leader
// commits. The caller holds mu.
func (g *group) elect() (inherited []*entry) {
	if g.electionAt.IsZero() || time.Now().Before(g.electionAt) {
		return nil
	}
	var candidates []int
	for i := range g.pausedUntil {
		if i != g.leader && !time.Now().Before(g.pausedUntil[i]) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	g.electionAt = time.Time{}
	if g.random.IntN(2) == 0 {
		inherited = g.pending
	}
	for _, e := range g.pending {
		e.settled <- nil
	}
	g.pending = nil
	g.leader = candidates[g.random.IntN(len(candidates))]
	g.term, g.since = g.term+1, g.since+1
	return inherited
}

// run commits entries and elects leaders until ctx ends.
func (g *group) run(ctx context.Context) {
	for cellapi.Pause(ctx, groupTick) {
		g.mu.Lock()
		inherited := g.elect()
		// No process leads with a lease until the inherited entries are applied: nothing else
		// runs in this model before that, since the lock is held.
		for _, e := range inherited {
			g.apply(e)
		}
		if g.leader >= 0 && g.leads(g.leader) && !time.Now().Before(g.heldUntil) {
			for _, e := range g.pending {
				e.settled <- g.apply(e)
			}
			g.pending = nil
		}
		g.mu.Unlock()
	}
}

// apply applies an entry at all processes and returns the result. The caller holds mu.
func (g *group) apply(e *entry) (result any) {
	g.index++
	for _, s := range g.stores {
		result = s.Apply(g.index, e.command)
	}
	g.stores[0].View(func(v *cell.View) {
		for id := range v.Jobs() {
			g.stored[id] = true
		}
	})
	return result
}

// simulatedNetwork delivers calls to the processes. It delays some of them: one may arrive
// after its caller has given it up.
type simulatedNetwork struct {
	group    *group
	handlers map[string]http.Handler
	mu       sync.Mutex
	random   *rand.Rand
}

// delay returns how long a message takes.
func (n *simulatedNetwork) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.random.IntN(100) < 3 {
		return time.Duration(n.random.Int64N(int64(1500 * time.Millisecond)))
	}
	return time.Millisecond + time.Duration(n.random.Int64N(int64(3*time.Millisecond)))
}

// awaitWake waits until a process is not paused.
func (n *simulatedNetwork) awaitWake(process int) {
	for {
		n.group.mu.Lock()
		paused := time.Until(n.group.pausedUntil[process])
		n.group.mu.Unlock()
		if paused <= 0 {
			return
		}
		time.Sleep(paused)
	}
}

func (n *simulatedNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	if t := httptrace.ContextClientTrace(r.Context()); t != nil && t.GotConn != nil {
		t.GotConn(httptrace.GotConnInfo{})
	}
	var process int
	if _, err := fmt.Sscanf(r.URL.Host, "c%d", &process); err != nil {
		return nil, err
	}
	answered := make(chan *http.Response, 1)
	go func() {
		time.Sleep(n.delay())
		n.awaitWake(process)
		// The server learns a little later than the client that the call is given up.
		served, cancel := context.WithCancel(context.Background())
		defer cancel()
		lag := n.delay()
		stop := context.AfterFunc(r.Context(), func() { time.AfterFunc(lag, cancel) })
		defer stop()
		w := httptest.NewRecorder()
		n.handlers[r.URL.Host].ServeHTTP(w, httptest.NewRequestWithContext(served, r.Method, r.URL.String(), bytes.NewReader(body)))
		n.awaitWake(process)
		time.Sleep(n.delay())
		answered <- w.Result()
	}()
	select {
	case response := <-answered:
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// configurationOf returns one of several configurations: 0 has queue and key, 1 lacks the
// queue, 2 has another key, 3 has the queue under another name.
func configurationOf(version int64, kind int) *cell.Configuration {
	queue := cell.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", TimeoutMS: 1000, MaxFailures: 2, ObjectiveMS: 20_000}
	key := "key"
	switch kind {
	case 1:
		queue.Host = "other"
	case 2:
		key = "other"
	case 3:
		queue.Name = "renamed"
	}
	return &cell.Configuration{
		Version: version, Services: []cell.Service{{Name: "s"}}, Queues: []cell.Queue{queue},
		Teams: []cell.Team{{Name: "t", Keys: []string{key}}},
	}
}

// isRejection reports whether a reply tells the caller that its job was not accepted.
func isRejection(r *cellapi.Reply) bool {
	return r.Unknown == "" && (r.Refused != "" || r.NotLeader || r.Verdict != cell.Accepted)
}

// Guards against a job that starts although each request that handed it in was rejected. An
// earlier attempt of such a request may have been carried out: it waits for a commit, in a
// paused process or on its way, while a configuration or a cancellation changes the answer.
func TestNoRefusedJobStarts(t *testing.T) {
	for i := range *refusalSeeds {
		seed := *refusalSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRefusals(t, seed) })
		})
	}
}

// refusals hands in jobs and records the replies.
type refusals struct {
	gateways []*cellapi.Client
	calls    sync.WaitGroup
	mu       sync.Mutex
	replies  map[string][]*cellapi.Reply
}

// call makes a call through a gateway with the patience of the gateway.
func (f *refusals) call(gateway int, c *cellapi.Call) *cellapi.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
	defer cancel()
	return f.gateways[gateway].Do(ctx, c)
}

// submit hands in a job, with another request after each rejection, maxRequests at most.
func (f *refusals) submit(id string, gateway, maxRequests int) {
	request := cell.Request{Host: "h", Path: "/q/" + id, Key: "key"}
	c := &cellapi.Call{Submit: &cell.Submit{Request: request, Job: cell.Submission{Spec: "s", Steps: []cell.Step{{Count: 1, EstimateMS: 1000}}}}}
	for i := range maxRequests {
		r := f.call((gateway+i)%len(f.gateways), c)
		f.mu.Lock()
		f.replies[id] = append(f.replies[id], r)
		f.mu.Unlock()
		if !isRejection(r) {
			return
		}
	}
}

func runRefusals(t *testing.T, seed uint64) {
	const troubleTime, settleTime, step = 40 * time.Second, 10 * time.Second, 20 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 1))
	g := &group{random: rand.New(rand.NewPCG(seed, 2)), term: 1, stored: map[string]bool{}}
	n := &simulatedNetwork{group: g, handlers: map[string]http.Handler{}, random: rand.New(rand.NewPCG(seed, 3))}
	logger := slog.New(slog.DiscardHandler)
	ctx, cancel := context.WithCancel(t.Context())
	var background sync.WaitGroup
	// Goroutines must end with the test, also with one that fails.
	defer func() {
		cancel()
		background.Wait()
		time.Sleep(time.Minute)
	}()
	var addresses []string
	for i := range controlProcesses {
		g.stores[i] = cell.NewStore(nil)
		leader := dispatch.New(dispatch.Config{
			Log: groupLog{g, i}, Store: g.stores[i], Clock: port.NewSystemClock(), PeerAddress: processAddress(i),
			Members: func() []string { return nil }, OnJoin: func(*cellapi.AnnounceReplica) {}, GroupFormat: func() uint32 { return cell.NewestFormat },
			OnLeader: func(*cellapi.AnnounceLeader) {}, AnnouncedLeader: func() string { return "" },
			Bounds: dispatch.Bounds{EndedJobRetention: 2 * time.Second, MaxLease: 6 * time.Second, RemoteFactor: 2},
			Logger: logger, Scope: tally.NoopScope,
		})
		background.Go(func() { leader.Run(ctx) })
		n.handlers[processAddress(i)] = cellapi.Handler(leader, nil)
		addresses = append(addresses, processAddress(i))
	}
	background.Go(func() { g.run(ctx) })
	f := &refusals{replies: map[string][]*cellapi.Reply{}}
	for range 2 {
		f.gateways = append(f.gateways, cellapi.NewClientOver(n, addresses, logger))
	}
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(random.Int64N(int64(to-from)))
	}
	chance := func(percent int) bool { return random.IntN(100) < percent }
	version, jobs := int64(0), 0
	for now := time.Duration(0); now < troubleTime; now += step {
		if chance(60) {
			jobs++
			id, gateway, maxRequests, cancelled, after := fmt.Sprintf("%016x", jobs), random.IntN(2), 1+random.IntN(2), chance(20), between(0, 1500*time.Millisecond)
			f.calls.Go(func() { f.submit(id, gateway, maxRequests) })
			if cancelled {
				f.calls.Go(func() {
					time.Sleep(after)
					f.call(1-gateway, &cellapi.Call{Cancel: &cell.Request{Host: "h", Path: "/q/" + id, Key: "key"}})
				})
			}
		}
		if now > 2*time.Second && chance(5) { // there is no configuration at first
			version++
			kind := 0
			if chance(50) {
				kind = 1 + random.IntN(3)
			}
			c := &cellapi.Call{Configure: configurationOf(version, kind)}
			f.calls.Go(func() { f.call(0, c) })
		}
		switch random.IntN(100) {
		case 0, 1:
			g.hold(between(300*time.Millisecond, time.Second))
		case 2:
			g.pause(random.IntN(controlProcesses), between(100*time.Millisecond, 2*time.Second))
		case 3:
			g.resign(between(20*time.Millisecond, 700*time.Millisecond))
		}
		time.Sleep(step)
	}
	f.calls.Wait()
	time.Sleep(settleTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	rejected := 0
	for id, replies := range f.replies {
		last := replies[len(replies)-1]
		if !isRejection(last) {
			continue
		}
		rejected++
		if g.stored[id] {
			t.Errorf("seed %d: job %s starts, and its last of %d requests was rejected: refused %q, verdict %v, %d attempts", seed, id, len(replies), last.Refused, last.Verdict, last.Tries)
		}
	}
	t.Logf("seed %d: %d jobs, %d rejected, %d stored, %d configurations, term %d", seed, len(f.replies), rejected, len(g.stored), version, g.term)
	assert.Assert(t, rejected > 0 && len(g.stored) > 0)
}
