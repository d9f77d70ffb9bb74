package dispatch

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/structs"
)

var (
	leftoverSeed    = flag.Uint64("leftover.seed", 12, "first seed of TestNoAcceptedJobIsLeftOver")
	leftoverSeeds   = flag.Int("leftover.seeds", 2, "number of seeds of TestNoAcceptedJobIsLeftOver")
	leftoverWorkers = flag.Int("leftover.workers", 60, "number of workers of TestNoAcceptedJobIsLeftOver")
)

const (
	// finishTime is the time after the end of traffic in which all jobs that can run have
	// to run, and stallTime how long a job that can run may then have nothing running.
	finishTime = 14 * time.Second
	stallTime  = 3 * time.Second
	// maxRunTime bounds the time after finishTime in which jobs that run have to end, and
	// idleTime the time after which no attempt may be left.
	maxRunTime, idleTime = 45 * time.Second, 10 * time.Second
	// troubleTime is the part of the traffic in which disruptions begin, trafficTime all of
	// it.
	troubleTime, trafficTime = 16 * time.Second, 24 * time.Second
)

// leftoverCell is a leader with a modelSite and random disruptions.
type leftoverCell struct {
	t      *testing.T
	rng    *rand.Rand
	site   *modelSite
	log    *fakeLog
	slow   *slowLog
	store  *cell.Store
	leader *Leader
	term   uint64
	// callers are the processes for advice; those up to deadCallers do not announce
	// themselves.
	callers     int
	deadCallers atomic.Int32
	// load is the ratio of the offered work to that of the site's usual traffic.
	load   float64
	events []string
}

// Guards against accepted jobs that never start, or do not go on, although traffic and all
// disruptions are over and room is free.
func TestNoAcceptedJobIsLeftOver(t *testing.T) {
	for i := range *leftoverSeeds {
		seed := *leftoverSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLeftoverCell(t, seed, *leftoverWorkers) })
		})
	}
}

func runLeftoverCell(t *testing.T, seed uint64, workers int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	b := &leftoverCell{t: t, rng: rng, log: &fakeLog{}, load: 0.1 + 1.3*rng.Float64()}
	b.site = newModelSite(seed, workers, structs.Resources{MilliCPU: 16_000, MemoryBytes: 32 << 30})
	b.callers = max(4, int(float64(workers)*(0.05+0.07*rng.Float64())))
	b.slow = &slowLog{fakeLog: b.log, entryTime: 100 * time.Microsecond}
	b.store = cell.NewStore(func(c *cell.Command) { b.leader.Applied(c) })
	b.log.apply = b.store.Apply
	b.leader = New(Config{
		Log: b.slow, Store: b.store, Clock: port.NewSystemClock(), Workers: b.site, AdviceClient: b.site, PeerAddress: "p0",
		Members: func() []string { return nil }, OnJoin: func(*cellapi.AnnounceReplica) {}, GroupFormat: func() uint32 { return cell.NewestFormat },
		OnLeader: func(*cellapi.AnnounceLeader) {}, AnnouncedLeader: func() string { return "" },
		Bounds: Bounds{EndedJobRetention: time.Hour, MaxLease: 6 * time.Second, RemoteFactor: 2}, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		b.leader.Run(ctx)
		close(stopped)
	}()
	defer func() {
		cancel()
		<-stopped
		time.Sleep(time.Minute) // delayed orders are carried out by then
	}()
	b.newTerm(0)
	b.configure()
	background, stopBackground := context.WithCancel(ctx)
	defer stopBackground()
	go b.every(background, modelTick, b.site.tick)
	go b.every(background, 500*time.Millisecond, b.announce)
	go b.every(background, 1500*time.Millisecond, b.report)
	time.Sleep(2 * time.Second)
	b.disrupt()
	b.sendTraffic()
	time.Sleep(finishTime)
	b.checkJobs()
	time.Sleep(idleTime)
	b.checkIdle()
	b.checkRuns()
}

// checkRuns fails the test if a task has run twice.
func (b *leftoverCell) checkRuns() {
	b.site.mu.Lock()
	defer b.site.mu.Unlock()
	for _, v := range b.site.violations {
		b.t.Error(v)
	}
}

func (b *leftoverCell) every(ctx context.Context, interval time.Duration, f func()) {
	for cellapi.Pause(ctx, interval) {
		f()
	}
}

// newTerm ends the term and starts another one after a while.
func (b *leftoverCell) newTerm(after time.Duration) {
	b.log.setTerm(0)
	time.Sleep(after)
	b.term++
	b.log.setTerm(b.term)
	time.Sleep(100 * time.Millisecond)
}

const leftoverTeams = 4

func (b *leftoverCell) configure() {
	queues := []cell.Queue{
		{Name: "slip", Priority: 0, MaxFailures: 4, ObjectiveMS: 250, Stretch: 1.5, Advice: &cell.AdviceTerms{DecideMS: 11, PerWorkerMS: 0.16, ValidityMS: 1500}},
		{Name: "dossier", Priority: 1, MaxFailures: 4, ObjectiveMS: 1000, Stretch: 2.2, Advice: &cell.AdviceTerms{DecideMS: 440, PerWorkerMS: 6.2, ValidityMS: 1500}},
		{Name: "check", Priority: 2, MaxFailures: 4, ObjectiveMS: 3000, Stretch: 4, Advice: &cell.AdviceTerms{DecideMS: 80, PerWorkerMS: 1.1, ValidityMS: 1500}},
	}
	b.site.share = map[string]float64{"slip": 0.7, "dossier": 0.3, "check": 0.45}
	b.site.terms = map[string]cell.AdviceTerms{}
	c := &cell.Configuration{Version: 1, Services: []cell.Service{{Name: service}}}
	for _, q := range queues {
		q.Host, q.Prefix, q.Service, q.TimeoutMS = "h", "/"+q.Name+"/", service, 1000
		c.Queues = append(c.Queues, q)
		b.site.terms[q.Name] = *q.Advice
	}
	capacity := int64(len(b.site.workers)) * 16_000
	for i := range leftoverTeams {
		team := cell.Team{Name: fmt.Sprint("team", i), Keys: []string{fmt.Sprint("k", i)}}
		if i > 0 {
			team.Limit = structs.Resources{MilliCPU: capacity / 2, MemoryBytes: capacity << 20}
		}
		c.Teams = append(c.Teams, team)
	}
	for b.leader.Do(b.t.Context(), &cellapi.Call{Configure: c}).Verdict != cell.Accepted {
		time.Sleep(50 * time.Millisecond)
	}
}

// announce announces the processes for advice.
func (b *leftoverCell) announce() {
	t := b.leader.currentTerm()
	for i := range b.callers {
		if t != nil && i >= int(b.deadCallers.Load()) {
			t.advice.announce(fmt.Sprint("p", i), b.leader.Clock.Now())
		}
	}
}

// report sends a report of each worker that reaches the leader.
func (b *leftoverCell) report() {
	b.site.mu.Lock()
	var reports []*cellapi.Report
	for _, w := range b.site.workers {
		if w.gone || w.cutOff || w.silent {
			continue
		}
		w.sequence++
		reports = append(reports, &cellapi.Report{
			Register: cell.Register{ID: w.id, Born: w.born, Address: w.address, Service: service, Capacity: w.capacity, Rack: fmt.Sprint("r", w.number/8)},
			Sequence: w.sequence, ClockMS: w.clock(),
		})
	}
	b.site.mu.Unlock()
	for _, r := range reports {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			b.leader.Do(ctx, &cellapi.Call{Report: r})
		}()
	}
}

// lognormal returns a random value with a mean and a spread, at most a limit.
func (b *leftoverCell) lognormal(mean, spread, limit float64) float64 {
	return min(limit, mean*math.Exp(b.rng.NormFloat64()*spread-spread*spread/2))
}

// newJob returns a random job of a queue.
func (b *leftoverCell) newJob(n int, queue string) *modelJob {
	id := fmt.Sprintf("%016x", n)
	j := &modelJob{id: id, queue: queue, path: "/" + queue + "/" + id, key: fmt.Sprint("k", b.rng.IntN(leftoverTeams))}
	steps, width, cpu, memory, work := 1.0, 3.2, 2500.0, 4600.0, 1.0
	maxWidth, maxCPU := 19.0, 7400.0
	gang := b.rng.Float64() < 0.3
	switch queue {
	case "dossier":
		steps, width, cpu, memory, work, maxWidth, maxCPU, gang = b.lognormal(1.2, 0.4, 3), 20, 4500, 4500, 5, 120, 7600, true
	case "check":
		steps, width, cpu, memory, work, maxWidth, maxCPU, gang = b.lognormal(1.5, 0.4, 3), 25, 1700, 3200, 2.2, 150, 5200, false
	}
	// A gang must fit on the allowed workers although the cell is smaller than the site.
	maxWidth = min(maxWidth, float64(len(b.site.workers))*0.3)
	for i := range max(1, int(math.Round(steps))) {
		step := cell.Step{
			Count: max(1, int(b.lognormal(width, 0.8, maxWidth))), Gang: gang, Checkpointable: b.rng.Float64() < 0.6,
			Size: structs.Resources{MilliCPU: int64(b.lognormal(cpu, 0.4, maxCPU)), MemoryBytes: int64(b.lognormal(memory, 0.5, 2*memory)) << 20},
		}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		if !gang && b.rng.Float64() < 0.1 {
			step.MaxPerWorker = 1
		}
		duration := b.lognormal(work, 0.5, 2.4*work)
		step.EstimateMS = int64(1000 * b.lognormal(duration, 0.3, 10*work))
		j.steps = append(j.steps, step)
		j.durations = append(j.durations, time.Duration(duration*float64(time.Second)))
	}
	return j
}

// sendTraffic submits jobs, with bursts, and cancels some of them.
func (b *leftoverCell) sendTraffic() {
	rates := map[string]float64{"slip": 80, "dossier": 4.28, "check": 11.2} // of 350 workers
	const slice = 50 * time.Millisecond
	n := 0
	slipBurst, gangBurst := time.Duration(b.rng.IntN(12))*time.Second, time.Duration(b.rng.IntN(12))*time.Second
	for began := time.Now(); time.Since(began) < trafficTime; time.Sleep(slice) {
		for _, queue := range []string{"slip", "dossier", "check"} {
			rate := rates[queue] * b.load * float64(len(b.site.workers)) / 350
			now := time.Since(began)
			switch {
			case now > troubleTime:
				rate *= 0.5
			case queue == "slip" && now > slipBurst && now < slipBurst+4*time.Second:
				rate *= 2.2
			case queue == "dossier" && now > gangBurst && now < gangBurst+4*time.Second:
				rate *= 1.8
			}
			expected := rate * slice.Seconds()
			for expected > b.rng.Float64() {
				expected--
				n++
				j := b.newJob(n, queue)
				cancelAfter := time.Duration(0)
				if b.rng.Float64() < 0.05 {
					cancelAfter = time.Duration(1+b.rng.IntN(5000)) * time.Millisecond
				}
				go b.submit(j, cancelAfter)
			}
		}
	}
}

// submit submits a job until it is accepted and cancels it after a time other than 0.
func (b *leftoverCell) submit(j *modelJob, cancelAfter time.Duration) {
	b.site.mu.Lock()
	b.site.jobs[j.id] = j
	b.site.mu.Unlock()
	r := cell.Request{Host: "h", Path: j.path, Key: j.key}
	b.repeat(&cellapi.Call{Submit: &cell.Submit{Request: r, Job: cell.Submission{Spec: "s", Steps: j.steps}}})
	if cancelAfter > 0 {
		time.Sleep(cancelAfter)
		b.repeat(&cellapi.Call{Cancel: &r})
	}
}

// repeat makes a call until it is accepted, at most for 5 s.
func (b *leftoverCell) repeat(c *cellapi.Call) {
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r := b.leader.Do(ctx, c)
		cancel()
		if r.Verdict == cell.Accepted {
			return
		}
	}
}

// disrupt starts random disruptions, which are over at the end of the traffic. In most
// cells one of them is a restart of all processes, after which there are no others.
func (b *leftoverCell) disrupt() {
	const maxDuration = 5 * time.Second
	restarts, latest := b.rng.IntN(3) > 0, trafficTime-maxDuration
	if restarts {
		latest = troubleTime - maxDuration
	}
	for range 4 + b.rng.IntN(8) {
		at := time.Duration(b.rng.Int64N(int64(latest)))
		d := 300*time.Millisecond + time.Duration(b.rng.Int64N(int64(maxDuration-300*time.Millisecond)))
		b.begin(at.Round(time.Millisecond), d.Round(time.Millisecond))
	}
	if !restarts {
		return
	}
	restart, down := troubleTime-3*time.Second, time.Duration(500+b.rng.IntN(2000))*time.Millisecond
	lateCommits := b.rng.IntN(3) == 0
	b.events = append(b.events, fmt.Sprintf("%v restart of all for %v, late commits %v", restart, down, lateCommits))
	time.AfterFunc(restart, func() {
		b.deadCallers.Store(int32(b.callers))
		if lateCommits {
			b.slow.pause(down + time.Second)
		}
		b.newTerm(down)
		b.deadCallers.Store(0)
	})
}

// begin starts a random disruption at a time for a duration.
func (b *leftoverCell) begin(at, d time.Duration) {
	n := len(b.site.workers)
	pick := func(share float64) (picked []*modelWorker) {
		for _, i := range b.rng.Perm(n)[:max(1, int(share*b.rng.Float64()*float64(n)))] {
			picked = append(picked, b.site.workers[i])
		}
		return picked
	}
	locked := func(f func()) func() {
		return func() {
			b.site.mu.Lock()
			defer b.site.mu.Unlock()
			f()
		}
	}
	mark := func(list []*modelWorker, set func(w *modelWorker, on bool)) {
		time.AfterFunc(at, locked(func() {
			for _, w := range list {
				set(w, true)
			}
		}))
		time.AfterFunc(at+d, locked(func() {
			for _, w := range list {
				set(w, false)
			}
		}))
	}
	name := ""
	switch b.rng.IntN(13) {
	case 0:
		name = "new leader"
		time.AfterFunc(at, func() { b.newTerm(d / 3) })
	case 1:
		name = "log paused"
		time.AfterFunc(at, func() { b.slow.pause(d) })
	case 2:
		name = "workers cut off"
		mark(pick(0.4), func(w *modelWorker, on bool) { w.cutOff = on })
	case 3:
		name = "workers silent"
		mark(pick(0.4), func(w *modelWorker, on bool) { w.silent = on })
	case 4:
		name = "workers unhealthy"
		mark(pick(0.1), func(w *modelWorker, on bool) { w.unhealthy = on })
	case 5, 6:
		name = "workers crash"
		picked, renamed := pick(0.2), b.rng.IntN(2) == 0
		time.AfterFunc(at, locked(func() {
			for _, w := range picked {
				b.site.crash(w)
			}
		}))
		time.AfterFunc(at+d, locked(func() {
			for _, w := range picked {
				id := w.id
				if renamed {
					id = fmt.Sprintf("%.4s-%d", w.id, time.Now().UnixMilli())
				}
				b.site.begin(w, id)
			}
		}))
	case 7:
		name = "workers vanish"
		picked := pick(0.05)
		time.AfterFunc(at, locked(func() {
			for _, w := range picked {
				b.site.crash(w)
			}
		}))
	case 8:
		name = "answers lost"
		share := 0.3 * b.rng.Float64()
		time.AfterFunc(at, locked(func() { b.site.lostAnswers = share }))
		time.AfterFunc(at+d, locked(func() { b.site.lostAnswers = 0 }))
	case 9:
		name = "orders late"
		share := 0.2 * b.rng.Float64()
		time.AfterFunc(at, locked(func() { b.site.lateOrders = share }))
		time.AfterFunc(at+d, locked(func() { b.site.lateOrders = 0 }))
	case 10:
		name = "calls for advice fail"
		share := 0.8 * b.rng.Float64()
		time.AfterFunc(at, locked(func() { b.site.failingCalls = share }))
		time.AfterFunc(at+d, locked(func() { b.site.failingCalls = 0 }))
	case 11:
		name = "lease of the leader lost"
		time.AfterFunc(at, func() { b.log.setLeaseLost(true) })
		time.AfterFunc(at+d/3, func() { b.log.setLeaseLost(false) })
	case 12:
		name = "addresses of workers change"
		picked := pick(0.1)
		time.AfterFunc(at, locked(func() {
			for _, w := range picked {
				if !w.gone {
					delete(b.site.byAddress, w.address)
					w.address = fmt.Sprintf("10.1.%d.%d:%d", w.number/250, w.number%250, time.Since(b.site.began).Milliseconds())
					b.site.byAddress[w.address] = w
				}
			}
		}))
	}
	b.events = append(b.events, fmt.Sprintf("%v %s for %v", at, name, d))
}

// checkJobs checks that no job that can run has nothing running for stallTime, until all
// jobs have ended.
func (b *leftoverCell) checkJobs() {
	idleSince := map[string]time.Time{}
	reported := map[string]bool{}
	active := b.activeJobs()
	for began := time.Now(); len(active) > 0 && time.Since(began) < maxRunTime; active = b.activeJobs() {
		for id, state := range active {
			if b.isRunning(id) || !b.canRun(id, state) {
				delete(idleSince, id)
				continue
			}
			if _, known := idleSince[id]; !known {
				idleSince[id] = time.Now()
			}
			if time.Since(idleSince[id]) >= stallTime && !reported[id] {
				reported[id] = true
				b.t.Errorf("job %s can run and does not: %s", id, b.describe(id))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	for id := range active {
		if !reported[id] {
			b.t.Errorf("job %s has not ended: %s", id, b.describe(id))
		}
	}
	if b.t.Failed() {
		b.t.Logf("%d callers, load %.2f, events:\n%s", b.callers, b.load, strings.Join(b.events, "\n"))
	}
}

// activeJobs returns the active jobs with their first step that is not done.
func (b *leftoverCell) activeJobs() map[string]int {
	active := map[string]int{}
	b.store.View(func(v *cell.View) {
		for id, j := range v.Jobs() {
			if j.State != cell.Active {
				continue
			}
			active[id] = slices.IndexFunc(j.Occurrences[0], func(o cell.StepOccurrence) bool { return o.Done < len(o.Tasks) })
		}
	})
	return active
}

func (b *leftoverCell) isRunning(id string) bool {
	b.site.mu.Lock()
	defer b.site.mu.Unlock()
	for _, w := range b.site.workers {
		for k := range w.running {
			if k.task.Job == id {
				return true
			}
		}
	}
	return false
}

// canRun reports whether the allowed workers have room for twice the step while less than
// half of the cell is in use.
func (b *leftoverCell) canRun(id string, index int) bool {
	b.site.mu.Lock()
	defer b.site.mu.Unlock()
	j := b.site.jobs[id]
	step := &j.steps[index]
	var used, capacity structs.Resources
	room := 0
	for _, w := range b.site.workers {
		if w.gone {
			continue
		}
		free := w.capacity
		for k := range w.running {
			size := b.site.jobs[k.task.Job].steps[k.task.Step].Size
			free, used = free.Sub(size), used.Add(size)
		}
		capacity = capacity.Add(w.capacity)
		if b.site.isAllowed(j.queue, cell.StepKey{Job: id, Step: index}, w.number) {
			room += capPerWorker(step, fitCount(step.Claim(), free))
		}
	}
	return room >= 2*step.Count && 2*used.MilliCPU < capacity.MilliCPU && 2*used.MemoryBytes < capacity.MemoryBytes
}

// describe returns what is known about a job that does not run.
func (b *leftoverCell) describe(id string) string {
	var s strings.Builder
	b.store.View(func(v *cell.View) {
		j := v.Job(id)
		if j == nil {
			return
		}
		fmt.Fprintf(&s, "queue %s", j.Queue)
		for i := range j.Steps {
			o := &j.Occurrences[0][i]
			fmt.Fprintf(&s, "\nstep %d: gang %v, %d tasks of %v, %d done, %d in flight, run %d", i, j.Steps[i].Gang, j.Steps[i].Count, j.Steps[i].Size, o.Done, o.InFlight, o.Run)
		}
		for _, w := range v.Workers() {
			for k, a := range w.Attempts {
				if k.Job == id {
					fmt.Fprintf(&s, "\nattempt %v run %d on %s, gone %v", position(k), a.Run, w.ID, w.Gone)
				}
			}
		}
	})
	if t := b.leader.currentTerm(); t != nil {
		t.advice.mu.Lock()
		for k, a := range t.advice.steps {
			if k.Job == id {
				fmt.Fprintf(&s, "\nadvice for step %d at %v: %d queried, %d tickets, %d in flight, retry at %v, valid until %v", k.Step, b.leader.Clock.Now(), len(a.queried), len(a.tickets), a.inFlight, a.retryAt, a.validUntil)
			}
		}
		t.advice.mu.Unlock()
	}
	b.site.mu.Lock()
	defer b.site.mu.Unlock()
	events := b.site.log[id]
	s.WriteString("\n" + strings.Join(events[max(0, len(events)-40):], "\n"))
	return s.String()
}

// checkIdle checks that no attempt is committed to a worker.
func (b *leftoverCell) checkIdle() {
	states := map[cell.JobState]int{}
	b.store.View(func(v *cell.View) {
		for id, w := range v.Workers() {
			for k, a := range w.Attempts {
				b.t.Errorf("attempt %v run %d is still committed to %s", k, a.Run, id)
			}
		}
		for _, j := range v.Jobs() {
			states[j.State]++
		}
	})
	b.t.Logf("%d callers, load %.2f, jobs by state: %v", b.callers, b.load, states)
	assert.Assert(b.t, states[cell.Complete] > 0)
}
