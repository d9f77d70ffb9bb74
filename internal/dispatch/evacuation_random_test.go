package dispatch

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/replica"
	"laburnumgrade/internal/structs"
)

var (
	evacuationSeed  = flag.Uint64("evacuation.seed", 1, "first seed of TestNoTaskStartsInEvacuatedDataCentre")
	evacuationSeeds = flag.Int("evacuation.seeds", 12, "number of seeds of TestNoTaskStartsInEvacuatedDataCentre")
)

// longEstimate is the run time of some tasks, which is longer than a move costs.
const longEstimate = 8 * time.Second

// maxStartDelay is how long after the acknowledgement of an evacuation tasks may start there:
// the validity of a start order. The platform allows 5 s.
const maxStartDelay = startValidity

// Guards against a task that starts in an evacuated data centre, against one that moves out of it
// and runs twice at the same time or not at all, against a burst of starts on workers that are cold
// after their return, and against a data centre that
// gets no work after its evacuation was stopped, through changes of the leader, lost responses,
// start orders that are carried out late, commits that take long, restarts with a snapshot,
// gangs, daemons and plans of many slices.
func TestNoTaskStartsInEvacuatedDataCentre(t *testing.T) {
	moves, limited := 0, 0
	for i := range *evacuationSeeds {
		seed := *evacuationSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var log *lossyLog
			m := &evacuationModel{dataCentre: map[string]string{}, since: map[string]time.Time{}, starts: map[string]int{}, coldUntil: map[string]time.Time{}, coldSeen: map[string]coldSince{}, coldStarts: map[string][]time.Time{}, orders: map[attemptKey]bool{}}
			runCellWith(t, 0, func(c *Config) {
				log = newLossyLog(c.Log.(*fakeLog), seed, m)
				c.Log, c.Workers, c.Clock = log, &checkedWorkers{c.Workers, m}, &busyPlannerClock{Clock: c.Clock}
				m.metrics = tally.NewTestScope("", nil)
				c.Scope = m.metrics
			}, func(b *testCell) { runEvacuations(b, seed, log, m) })
			moves, limited = moves+m.moved(), limited+m.limited
		})
	}
	assert.Assert(t, moves > 0 || *evacuationSeeds < 2, "no task has moved")
	assert.Assert(t, limited > 0 || *evacuationSeeds < 2, "no start was limited")
}

// busyPlannerClock makes plans take several slices although no time passes while they are
// computed: each reading that measures the planner's processor time shows a millisecond more.
// All others show the time.
type busyPlannerClock struct {
	port.Clock
	used atomic.Int64
}

// Now implements port.Clock.
func (c *busyPlannerClock) Now() time.Duration {
	var callers [1]uintptr
	runtime.Callers(2, callers[:])
	frame, _ := runtime.CallersFrames(callers[:]).Next()
	if strings.HasSuffix(frame.Function, ".newProcessorUse") || strings.Contains(frame.Function, ".(*processorUse).") {
		return c.Clock.Now() + time.Duration(c.used.Add(1))*time.Millisecond
	}
	return c.Clock.Now()
}

// lossyLog commits one command after the other with random delays, loses some results, and
// drops what is not committed when the term ends.
type lossyLog struct {
	*fakeLog
	model     *evacuationModel
	mu        sync.Mutex
	random    *rand.Rand
	busyUntil time.Time
	calm      bool
}

func newLossyLog(l *fakeLog, seed uint64, m *evacuationModel) *lossyLog {
	return &lossyLog{fakeLog: l, model: m, random: rand.New(rand.NewPCG(seed, 6))}
}

// delay returns when a command is committed, and whether its result is lost.
func (l *lossyLog) delay(c *cell.Command) (due time.Duration, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busyUntil.Before(time.Now()) {
		l.busyUntil = time.Now()
	}
	l.busyUntil = l.busyUntil.Add(time.Millisecond)
	if !l.calm && (l.random.IntN(200) == 0 || c.Start != nil && l.random.IntN(10) == 0) {
		l.busyUntil = l.busyUntil.Add(time.Duration(l.random.Int64N(int64(time.Second))))
	}
	return time.Until(l.busyUntil), !l.calm && l.random.IntN(20) == 0
}

func (l *lossyLog) Propose(ctx context.Context, command []byte) (any, error) {
	var c cell.Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		return nil, err
	}
	if c.Start != nil {
		l.model.proposed(c.Start.Placements)
	}
	number, _ := l.Term()
	due, lost := l.delay(&c)
	type outcome struct {
		result any
		err    error
	}
	committed := make(chan outcome, 1)
	time.AfterFunc(due, func() {
		if now, _ := l.Term(); now != number {
			committed <- outcome{nil, &replica.OutcomeUnknownError{Group: "cell", Err: errors.New("leadership lost")}}
			return
		}
		result, err := l.fakeLog.Propose(context.Background(), command)
		if lost && c.Evacuate != nil {
			err = &replica.OutcomeUnknownError{Group: "cell", Err: errors.New("result lost")}
		}
		committed <- outcome{result, err}
	})
	select {
	case o := <-committed:
		return o.result, o.err
	case <-ctx.Done():
		return nil, &replica.OutcomeUnknownError{Group: "cell", Err: ctx.Err()}
	}
}

// evacuationModel follows the acknowledged evacuations and checks each start against them,
// independently of the replicated state. The fleet's mutex guards it.
type evacuationModel struct {
	b *testCell
	// dataCentre is that of each worker, and since when each evacuated data centre's
	// evacuation was acknowledged; it is absent once a stop was sent.
	dataCentre map[string]string
	since      map[string]time.Time
	// latest is the longest time after an acknowledgement at which a task has started, starts
	// counts all starts by data centre, and evacuations the acknowledged ones.
	latest      time.Duration
	starts      map[string]int
	evacuations int
	// coldUntil is until when the workers of a data centre are cold after its evacuation, and
	// coldSeen since when the present term knows that a worker is. coldStarts holds when starts
	// on workers were decided on since then, without those of gangs.
	coldUntil  map[string]time.Time
	coldSeen   map[string]coldSince
	coldStarts map[string][]time.Time
	// orders holds the attempts whose start was ordered; an order may be repeated.
	orders map[attemptKey]bool
	// limited counts the starts that were checked against the limit.
	limited int
	// metrics are those of the leader.
	metrics tally.TestScope
}

// coldSince is since when a term knows that a worker is cold.
type coldSince struct {
	term *term
	at   time.Time
}

// coldAfterReturn is how long workers are cold after the evacuation of their data centre, and
// coldSettleTime how long after the first report of it the limit on starts is checked: placements
// that were planned before are committed by then.
const coldAfterReturn, coldSettleTime = 9 * time.Second, 3 * time.Second

// clockError is the maximum error of the time of a decision as its deadline shows it: clocks of
// workers are in milliseconds.
const clockError = 10 * time.Millisecond

// reportCold reports which workers are cold to the leader.
func (m *evacuationModel) reportCold() {
	t := m.b.leader.currentTerm()
	if t == nil {
		return
	}
	m.b.fleet.mu.Lock()
	defer m.b.fleet.mu.Unlock()
	for id, dc := range m.dataCentre {
		left := time.Until(m.coldUntil[dc])
		t.cold.observe(incarnation{id, 1}, max(0, left), m.b.leader.Clock.Now())
		if left <= 0 {
			delete(m.coldSeen, id)
		} else if m.coldSeen[id].term != t {
			m.coldSeen[id] = coldSince{t, time.Now()}
			delete(m.coldStarts, id)
		}
	}
}

// coldStart checks a start that was decided on against the limit for cold workers. The caller
// holds the fleet's mutex.
func (m *evacuationModel) coldStart(id string, k attemptKey, decided time.Time) {
	seen, cold := m.coldSeen[id]
	gang := false
	m.b.store.View(func(v *cell.View) {
		j := v.Job(k.task.Job)
		gang = j != nil && j.Steps[k.task.Step].Gang
	})
	repeated := m.orders[k]
	m.orders[k] = true
	if repeated || !cold || gang || seen.term != m.b.leader.currentTerm() || decided.Sub(seen.at) < coldSettleTime || decided.After(m.coldUntil[m.dataCentre[id]].Add(-clockError)) {
		return
	}
	recent := slices.DeleteFunc(m.coldStarts[id], func(at time.Time) bool { return decided.Sub(at) >= coldStartWindow-clockError })
	m.coldStarts[id] = append(recent, decided)
	m.limited++
	if len(m.coldStarts[id]) > maxColdStarts {
		m.b.t.Errorf("%d tasks start on %s, which is cold, within %v", len(m.coldStarts[id]), id, coldStartWindow)
	}
}

// moved returns how many tasks were stopped in order to move.
func (m *evacuationModel) moved() int {
	for _, c := range m.metrics.Snapshot().Counters() {
		if c.Name() == "cell_moved_tasks" {
			return int(c.Value())
		}
	}
	return 0
}

// proposed checks placements that are proposed now: none is for an evacuated data centre once
// the evacuation is acknowledged.
func (m *evacuationModel) proposed(placements []cell.Placement) {
	m.b.fleet.mu.Lock()
	defer m.b.fleet.mu.Unlock()
	for _, p := range placements {
		if since, evacuated := m.since[m.dataCentre[p.Worker]]; evacuated && time.Since(since) > 0 {
			m.b.t.Errorf("a placement on %s is proposed %v after the evacuation was acknowledged", p.Worker, time.Since(since))
		}
	}
}

// checkedWorkers checks start orders: their deadlines show that none was decided on after the
// evacuation of the worker's data centre was acknowledged.
type checkedWorkers struct {
	Workers
	m *evacuationModel
}

// Start implements Workers.
func (w *checkedWorkers) Start(ctx context.Context, t Target, o *StartOrder) (OrderReply, error) {
	w.m.ordered(t.ID, attemptKey{o.Task, o.Run}, o.DeadlineMS)
	return w.Workers.Start(ctx, t, o)
}

func (m *evacuationModel) ordered(id string, k attemptKey, deadlineMS int64) {
	m.b.fleet.mu.Lock()
	defer m.b.fleet.mu.Unlock()
	decided := m.b.fleet.workers[id].clockAt.Add(time.Duration(deadlineMS)*time.Millisecond - startValidity)
	if since, evacuated := m.since[m.dataCentre[id]]; evacuated && decided.After(since) {
		m.b.t.Errorf("a start on %s is ordered that was decided on %v after the evacuation was acknowledged", id, decided.Sub(since))
	}
	m.coldStart(id, k, decided)
}

// started checks a start.
func (m *evacuationModel) started(id string, _ *fakeWorker) {
	dc := m.dataCentre[id]
	m.starts[dc]++
	since, evacuated := m.since[dc]
	if !evacuated {
		return
	}
	after := time.Since(since)
	if m.latest = max(m.latest, after); after > maxStartDelay {
		m.b.t.Errorf("a task starts on %s %v after the evacuation of %s was acknowledged, at %v", id, after, dc, time.Since(m.b.fleet.began))
	}
}

// command sends a command as an operator does, through a process that may lose the response,
// until it is acknowledged.
func (m *evacuationModel) command(random *rand.Rand, dataCentre string, active bool) {
	if !active {
		m.b.fleet.mu.Lock()
		delete(m.since, dataCentre) // from now on the stop may be in force
		m.b.fleet.mu.Unlock()
	}
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 450*time.Millisecond)
		r := m.b.leader.Do(ctx, evacuation(dataCentre, active))
		cancel()
		if r.Verdict == cell.Accepted && random.IntN(4) > 0 {
			break
		}
		if r.Verdict != 0 && r.Verdict != cell.Accepted {
			m.b.t.Errorf("verdict %v", r.Verdict)
		}
		time.Sleep(time.Duration(random.Int64N(int64(500 * time.Millisecond))))
	}
	m.b.fleet.mu.Lock()
	defer m.b.fleet.mu.Unlock()
	if active {
		m.since[dataCentre] = time.Now()
		m.evacuations++
	} else if random.IntN(2) == 0 {
		m.coldUntil[dataCentre] = time.Now().Add(coldAfterReturn)
	}
}

// operate starts and stops the evacuation of a data centre at random until a time, and leaves
// it stopped.
func (m *evacuationModel) operate(random *rand.Rand, dataCentre string, until time.Time) {
	between := func(from, to time.Duration) { time.Sleep(from + time.Duration(random.Int64N(int64(to-from)))) }
	for time.Now().Before(until) {
		between(100*time.Millisecond, 6*time.Second)
		m.command(random, dataCentre, true)
		if random.IntN(3) == 0 {
			m.command(random, dataCentre, true)
		}
		between(100*time.Millisecond, 12*time.Second)
		m.command(random, dataCentre, false)
	}
}

// hasRoom reports whether a seed is one with a low load.
func hasRoom(seed uint64) bool { return seed%2 == 1 }

// randomStep returns a task step, a gang or a daemon.
func randomStep(random *rand.Rand) cell.Step {
	step := cell.Step{Count: 1 + random.IntN(12), Size: structs.Resources{MilliCPU: 200 + random.Int64N(800)}, EstimateMS: 1000}
	switch random.IntN(4) {
	case 0:
		step.Gang, step.Count = true, 2+random.IntN(6)
	case 1:
		step.Checkpointable = true
	}
	if random.IntN(6) == 0 {
		step.Checkpointable, step.EstimateMS = true, longEstimate.Milliseconds()
	}
	return step
}

func runEvacuations(b *testCell, seed uint64, log *lossyLog, m *evacuationModel) {
	// The backlog of an overloaded seed takes up to a minute after the trouble, since late gangs
	// start after other jobs.
	const troubleTime, settleTime, step = time.Minute, 100 * time.Second, 100 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 5))
	chance := func(percent int) bool { return random.IntN(100) < percent }
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	dataCentres := []string{"a", "b", "c"}
	const workers = 9
	// With every other seed there is room for moved tasks: the load is low, and one data centre is
	// not evacuated.
	arrivals := 25
	if hasRoom(seed) {
		arrivals = 5
	}
	m.b = b
	for i := range workers {
		m.dataCentre[fmt.Sprintf("w%d", i)] = dataCentres[i%len(dataCentres)]
	}
	b.fleet.started = m.started
	// A leader counts the time of a job from its acceptance by an earlier one. With this objective
	// no job is overdue before the end.
	configuration := &cell.Configuration{Version: 2, Services: []cell.Service{{Name: service}}, Queues: []cell.Queue{
		{Name: "q", Host: "h", Prefix: queuePath, Service: service, TimeoutMS: 1000, MaxFailures: 2, ObjectiveMS: 60_000, Public: true},
	}}
	assert.Assert(b.t, b.repeatUntilAccepted(&cellapi.Call{Configure: configuration}, time.Minute))
	b.placeWorkersUntilAccepted(workers, dataCentres...)
	for i := range workers {
		b.fleet.change(fmt.Sprintf("w%d", i), func(w *fakeWorker) { w.taskDuration = between(300*time.Millisecond, 4*time.Second) })
	}
	var operators sync.WaitGroup
	began := time.Now()
	for i, dc := range dataCentres {
		if hasRoom(seed) && i == 0 {
			continue
		}
		source := rand.New(rand.NewPCG(seed, 10+uint64(i)))
		operators.Go(func() { m.operate(source, dc, began.Add(troubleTime)) })
	}
	term, leadsAt, jobs := uint64(1), time.Duration(0), []string{}
	// Tasks with a long estimate run as long, unlike the others.
	long := map[string]bool{}
	b.fleet.durationOf = func(id string, task cell.TaskKey) time.Duration {
		if long[task.Job] {
			return longEstimate
		}
		return b.fleet.workers[id].taskDuration
	}
	// All jobs are of the queue whose jobs are not overdue before the end: steps that join a
	// plan in progress before overdue ones would fill each slice of it, as short as these are.
	submit := func(s cell.Step) {
		id := fmt.Sprintf("%016x", len(jobs)+1)
		jobs = append(jobs, id)
		if s.EstimateMS == longEstimate.Milliseconds() {
			b.fleet.mu.Lock()
			long[id] = true
			b.fleet.mu.Unlock()
		}
		c := &cellapi.Call{Submit: &cell.Submit{Request: cell.Request{Host: "h", Path: queuePath + id}, Job: cell.Submission{Spec: "s", Steps: []cell.Step{s}}}}
		go b.repeatUntilAccepted(c, time.Minute)
	}
	// The attempts of daemons are stopped again and again, so that they have to start anew.
	const daemons = 2
	b.fleet.outcomeOf = func(k attemptKey) cell.Outcome {
		if k.task.Job <= fmt.Sprintf("%016x", daemons) {
			return cell.EndedEarly
		}
		return cell.EndedDone
	}
	for range daemons {
		submit(cell.Step{Count: 2, Daemon: true, Size: structs.Resources{MilliCPU: 200}})
	}
	for now := time.Duration(0); now < troubleTime+settleTime; now += step {
		calm := now >= troubleTime
		if chance(arrivals) && now < troubleTime-10*time.Second {
			submit(randomStep(random))
		}
		if id := fmt.Sprintf("w%d", random.IntN(workers)); chance(10) && !calm {
			delay := time.Duration(0)
			if chance(40) {
				delay = between(2*time.Second, 12*time.Second)
			}
			b.fleet.change(id, func(w *fakeWorker) { w.startDelay = delay })
		}
		switch {
		case leadsAt == 0 && chance(2) && !calm:
			b.log.setTerm(0)
			leadsAt = now + between(100*time.Millisecond, 3*time.Second)
		case leadsAt != 0 && now >= leadsAt:
			if chance(50) {
				data, err := b.store.Snapshot()
				assert.NilError(b.t, err)
				assert.NilError(b.t, b.store.Restore(0, data))
			}
			term++
			leadsAt = 0
			b.log.setTerm(term)
		}
		if calm {
			log.mu.Lock()
			log.calm = true
			log.mu.Unlock()
			for i := range workers {
				b.fleet.change(fmt.Sprintf("w%d", i), func(w *fakeWorker) { w.startDelay = 0 })
			}
		}
		b.reportAll()
		m.reportCold()
		time.Sleep(step)
	}
	operators.Wait()
	b.store.View(func(v *cell.View) {
		assert.Equal(b.t, len(v.Evacuated()), 0)
		for _, id := range jobs[daemons:] {
			assert.Equal(b.t, v.Job(id).State, cell.Complete, "job %s", id)
		}
	})
	b.fleet.mu.Lock()
	before := map[string]int{}
	for dc, n := range m.starts {
		before[dc] = n
	}
	b.t.Logf("%d evacuations, %d jobs, %v starts, the last one %v after an acknowledgement, %d moves, %d limited starts", m.evacuations, len(jobs), m.starts, m.latest, m.moved(), m.limited)
	b.fleet.mu.Unlock()
	// All data centres get work again.
	for range 10 {
		submit(cell.Step{Count: 12, Size: structs.Resources{MilliCPU: 1000}, EstimateMS: 1000})
	}
	for range 100 {
		b.reportAll()
		time.Sleep(step)
	}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	for _, dc := range dataCentres {
		assert.Assert(b.t, m.starts[dc] > before[dc], "no work returns to %s", dc)
	}
	assert.Assert(b.t, m.evacuations > 0)
}

// placeWorkersUntilAccepted is placeWorkers for a log that may lose results.
func (b *testCell) placeWorkersUntilAccepted(workers int, dataCentres ...string) {
	b.t.Helper()
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		b.fleet.add(id, 1)
		report := firstReport(id, 1, i)
		report.Report.DataCentre = dataCentres[i%len(dataCentres)]
		assert.Assert(b.t, b.repeatUntilAccepted(report, time.Minute))
	}
}

// repeatUntilAccepted makes a call until it is accepted, for some time at most.
func (b *testCell) repeatUntilAccepted(c *cellapi.Call, patience time.Duration) bool {
	for began := time.Now(); time.Since(began) < patience; time.Sleep(200 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 450*time.Millisecond)
		r := b.leader.Do(ctx, c)
		cancel()
		if r.Verdict == cell.Accepted {
			return true
		}
	}
	return false
}
