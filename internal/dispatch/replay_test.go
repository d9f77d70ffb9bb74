package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/structs"
)

// loadClass describes the jobs of one queue in a load pattern.
type loadClass struct {
	name      string
	perSecond float64
	// steps, width, cores and memory in GiB are means; width and cores vary by spread.
	steps, width, cores, memory float64
	spread                      float64
	work                        time.Duration
	gangShare                   float64
	queue                       cell.Queue
	// goodPercent is the share of workers that advice allows a step.
	goodPercent uint32
	worth       float64
}

// loadPattern is a load that a replay puts on a cell with workers of 64 cores.
type loadPattern struct {
	workers, callers int
	classes          []loadClass
	// rate returns the factor on a class's arrivals at a time since the beginning.
	rate   func(class string, at time.Duration) float64
	length time.Duration
	// slowFactor is the run time factor of every fourth worker, others have 1/1.2.
	slowFactor float64
	seed       uint64
	// teams is the number of teams, whose limits are limitFactor times their shares.
	teams       int
	limitFactor float64
	// failing is the share of runs that fail.
	failing float64
	// commitTime is how long a commit takes.
	commitTime time.Duration
}

// delayedLog is a log whose commits take a time.
type delayedLog struct {
	*fakeLog
	commitTime time.Duration
}

func (l *delayedLog) Propose(ctx context.Context, command []byte) (any, error) {
	time.Sleep(l.commitTime)
	return l.fakeLog.Propose(ctx, command)
}

// replayedJob is what a replay knows of a job.
type replayedJob struct {
	class     *loadClass
	submitted time.Duration
	objective time.Duration
	width     int
	durations [][]time.Duration // by step and task
	coreWork  float64
	gang      bool
	ended     time.Duration // 0 if it has not
}

// replayResult is what became of the jobs of a class.
type replayResult struct {
	jobs, inTime, late     int
	worth, earned          float64
	waits                  []time.Duration
	largest, largestServed int
	// gangSteps is the number of steps of gangs, adviceCost what the advice on them cost.
	gangSteps  int
	adviceCost time.Duration
}

// share returns the share of the class's jobs that a number is.
func (r *replayResult) share(jobs int) float64 { return float64(jobs) / float64(max(1, r.jobs)) }

// replayAdvisers is ticketAdvisers with a share for each queue.
type replayAdvisers struct {
	ticketAdvisers
	// classOf returns the class of a job.
	classOf func(job string) *loadClass
	// costOf is what the calls for each class have cost.
	costOf map[string]time.Duration
}

func (f *replayAdvisers) Ask(ctx context.Context, peer string, q *cellapi.AdviceRequest) *cellapi.AdviceReply {
	idleAt, class := f.queue(peer, q), f.classOf(q.Step.Job)
	f.mu.Lock()
	f.costOf[class.name] += time.Duration(q.CostMS) * time.Millisecond
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return &cellapi.AdviceReply{Error: ctx.Err().Error()}
	case <-time.After(time.Until(idleAt)):
	}
	reply := &cellapi.AdviceReply{Tickets: map[string]string{}}
	for _, w := range q.Workers {
		if isAllowed(q.Step, w, class.goodPercent) {
			reply.Tickets[w] = "t"
		}
	}
	return reply
}

// isAllowed reports whether a step may run on a worker, for a share in percent.
func isAllowed(k cell.StepKey, worker string, percent uint32) bool {
	h := rand.New(rand.NewPCG(hashOf(k.Job), uint64(k.Step)*1000003+hashOf(worker)))
	return h.Uint32N(100) < percent
}

func hashOf(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// replay plays a load pattern on a leader in simulated time.
func replay(t *testing.T, pattern *loadPattern) (results map[string]*replayResult, report string) {
	random := rand.New(rand.NewPCG(pattern.seed, 1))
	jobs := map[string]*replayedJob{}
	var mu sync.Mutex
	f := &replayAdvisers{ticketAdvisers: ticketAdvisers{idleAt: map[string]time.Time{}}, costOf: map[string]time.Duration{}}
	f.classOf = func(job string) *loadClass {
		mu.Lock()
		defer mu.Unlock()
		return jobs[job].class
	}
	speed := func(id string) float64 {
		if hashOf(id)%4 == 0 {
			return pattern.slowFactor
		}
		return 1 / 1.2
	}
	var used float64
	runCellWith(t, 0, func(c *Config) { c.AdviceClient, c.Log = f, &delayedLog{c.Log.(*fakeLog), pattern.commitTime} }, func(b *testCell) {
		b.fleet.outcomeOf = func(k attemptKey) cell.Outcome {
			task := k.task
			mu.Lock()
			gang := jobs[task.Job].gang
			mu.Unlock()
			if gang {
				task.Index = 0
			}
			if rand.New(rand.NewPCG(hashOf(fmt.Sprint(task)), uint64(k.run))).Float64() < pattern.failing {
				if gang && k.task.Index > 0 {
					return cell.EndedEarly
				}
				return cell.EndedFailed
			}
			return cell.EndedDone
		}
		b.fleet.durationOf = func(id string, task cell.TaskKey) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(float64(jobs[task.Job].durations[task.Step][task.Index]) * speed(id))
		}
		c := &cell.Configuration{Version: 2, Services: []cell.Service{{Name: service}}}
		for i := range pattern.classes {
			q := pattern.classes[i].queue
			q.Name, q.Host, q.Prefix, q.Service, q.TimeoutMS = pattern.classes[i].name, "h", "/"+pattern.classes[i].name+"/", service, 3000
			c.Queues = append(c.Queues, q)
		}
		var cumulated []float64
		sum := 0.0
		for i := range pattern.teams {
			sum += 1 / math.Pow(float64(i+1), 0.8)
			cumulated = append(cumulated, sum)
		}
		for i := range pattern.teams {
			share := 1 / math.Pow(float64(i+1), 0.8) / sum
			c.Teams = append(c.Teams, cell.Team{Name: fmt.Sprint("team", i), Keys: []string{fmt.Sprint("key", i)}, Weight: 1, Limit: structs.Resources{MilliCPU: int64(share * pattern.limitFactor * float64(pattern.workers) * 64_000)}})
		}
		pickTeam := func() string {
			x := random.Float64() * sum
			i, _ := slices.BinarySearch(cumulated, x)
			return fmt.Sprint("key", min(i, pattern.teams-1))
		}
		b.do(&cellapi.Call{Configure: c})
		for i := range pattern.workers {
			id := fmt.Sprintf("w%03d", i)
			b.fleet.add(id, 1)
			r := firstReport(id, 1, i)
			r.Report.Address = fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
			r.Report.Capacity = structs.Resources{MilliCPU: 64_000, MemoryBytes: 256 << 30}
			b.do(r)
		}
		began := time.Now()
		next := make([]time.Duration, len(pattern.classes))
		for i := range next {
			next[i] = time.Duration(random.ExpFloat64() / pattern.classes[i].perSecond * float64(time.Second))
		}
		var submissions sync.WaitGroup
		defer submissions.Wait()
		lastAnnounce := time.Duration(-time.Second)
		observe := func() {
			b.store.View(func(v *cell.View) {
				for id, j := range v.Jobs() {
					mu.Lock()
					if r := jobs[id]; r != nil && r.ended == 0 && j.State == cell.Complete {
						r.ended = time.Since(began)
					}
					mu.Unlock()
				}
				for _, w := range v.Workers() {
					for _, a := range w.Attempts {
						used += float64(a.Size.MilliCPU) / 1000 * 0.02
					}
				}
			})
		}
		for time.Since(began) < pattern.length+15*time.Second {
			now := time.Since(began)
			if now-lastAnnounce >= 500*time.Millisecond {
				lastAnnounce = now
				for i := range pattern.callers {
					b.leader.currentTerm().advice.announce(fmt.Sprintf("p%03d", i), b.leader.Clock.Now())
				}
				b.reportAll()
			}
			for i := range pattern.classes {
				class := &pattern.classes[i]
				for next[i] <= now && now < pattern.length {
					id := fmt.Sprintf("%016x", random.Uint64())
					job, steps := class.newJob(random)
					job.submitted = now
					mu.Lock()
					jobs[id] = job
					mu.Unlock()
					call := &cellapi.Call{Submit: &cell.Submit{Request: cell.Request{Host: "h", Path: "/" + class.name + "/" + id, Key: pickTeam()}, Job: cell.Submission{ID: id, Spec: "s", Steps: steps}}}
					submissions.Go(func() { b.do(call) })
					next[i] += time.Duration(random.ExpFloat64() / (class.perSecond * pattern.rate(class.name, now)) * float64(time.Second))
				}
			}
			observe()
			time.Sleep(20 * time.Millisecond)
		}
	})
	results = map[string]*replayResult{}
	byClass := map[string][]*replayedJob{}
	for _, j := range jobs {
		byClass[j.class.name] = append(byClass[j.class.name], j)
	}
	var text strings.Builder
	for name, list := range byClass {
		r := &replayResult{}
		results[name] = r
		mean := 0.0
		for _, j := range list {
			mean += j.coreWork / float64(len(list))
		}
		slices.SortFunc(list, func(a, b *replayedJob) int { return cmp.Compare(b.coreWork, a.coreWork) })
		for i, j := range list {
			r.jobs++
			if j.gang {
				r.gangSteps += len(j.durations)
			}
			worth := j.class.worth * min(4, 0.3+0.7*j.coreWork/mean)
			r.worth += worth
			took := j.ended - j.submitted
			served := j.ended > 0 && took <= 3*j.objective
			if i < len(list)/10 {
				r.largest++
				if served {
					r.largestServed++
				}
			}
			switch {
			case !served:
			case took <= j.objective:
				r.inTime++
				r.earned += worth
			default:
				r.late++
				r.earned += 0.2 * worth
			}
			if j.ended > 0 {
				r.waits = append(r.waits, took)
			}
		}
		slices.Sort(r.waits)
		r.adviceCost = f.costOf[name]
	}
	names := make([]string, 0, len(results))
	total, owed := 0.0, 0.0
	for name, r := range results {
		names = append(names, name)
		total, owed = total+r.earned, owed+r.worth
	}
	slices.Sort(names)
	for _, name := range names {
		r := results[name]
		fmt.Fprintf(&text, "%-6s jobs %4d in time %.3f late %.3f earned %.3f largest tenth served %.3f of all %.3f p50 %v p95 %v\n", name, r.jobs,
			float64(r.inTime)/float64(r.jobs), float64(r.late)/float64(r.jobs), r.earned/r.worth, float64(r.largestServed)/float64(max(1, r.largest)), float64(r.inTime+r.late)/float64(r.jobs),
			quantile(r.waits, 0.5), quantile(r.waits, 0.95))
	}
	var cost time.Duration
	for _, c := range f.costOf {
		cost += c
	}
	fmt.Fprintf(&text, "worth %.3f advice %d calls %v, of %v; cores used %.2f\n", total/owed, f.calls, cost.Round(time.Second), (time.Duration(pattern.callers) * pattern.length).Round(time.Second), used/(float64(pattern.workers*64)*pattern.length.Seconds()))
	return results, text.String()
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))].Round(10 * time.Millisecond)
}

// vary returns a value with a mean and a logarithmic spread.
func vary(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}

// newJob returns a job of the class and its steps.
func (c *loadClass) newJob(random *rand.Rand) (*replayedJob, []cell.Step) {
	job := &replayedJob{class: c}
	count := 1
	for float64(count) < c.steps*2 && random.Float64() < (c.steps-1)/c.steps {
		count++
	}
	gang := random.Float64() < c.gangShare
	job.gang = gang
	var steps []cell.Step
	var chain time.Duration
	for i := range count {
		width := max(1, int(math.Round(min(6*c.width, vary(random, c.width, c.spread)))))
		cores := min(60, max(1, vary(random, c.cores, 0.4)))
		memory := min(200, max(1, vary(random, c.memory, 0.5)))
		work := time.Duration(min(2.5*float64(c.work), vary(random, float64(c.work), 0.5)))
		var durations []time.Duration
		longest := work
		for range width {
			d := work
			if !gang {
				d = time.Duration(vary(random, float64(work), 0.3))
			}
			longest = max(longest, d)
			durations = append(durations, d)
			job.coreWork += cores * d.Seconds()
		}
		chain += longest + c.queue.Advice.Cost(30)
		job.durations = append(job.durations, durations)
		job.width = max(job.width, width)
		estimate := vary(random, work.Seconds()*1000, 0.4)
		step := cell.Step{Count: width, Gang: gang, EstimateMS: int64(max(1, estimate)), Size: structs.Resources{MilliCPU: int64(cores * 1000), MemoryBytes: int64(memory * (1 << 30))}}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		steps = append(steps, step)
	}
	job.objective = time.Duration(float64(chain)*c.queue.Stretch) + time.Duration(c.queue.ObjectiveMS)*time.Millisecond
	return job, steps
}

// surge raises all arrivals by a half from 12 s to 25 s.
func (p *loadPattern) surge() *loadPattern {
	rate := p.rate
	p.rate = func(class string, at time.Duration) float64 {
		if at > 12*time.Second && at < 25*time.Second {
			return 1.5 * rate(class, at)
		}
		return rate(class, at)
	}
	return p
}

// fullFleet is the load of a fleet in which large gangs and many small tasks fill the
// workers, with a share of the arrivals of a fleet of 540 workers.
func fullFleet(workers int, seed uint64) *loadPattern {
	share := float64(workers) / 540
	advice := func(decide, perWorker float64) *cell.AdviceTerms {
		return &cell.AdviceTerms{DecideMS: decide, PerWorkerMS: perWorker, ValidityMS: 2000}
	}
	return &loadPattern{
		workers: workers, callers: int(103 * share), length: 34 * time.Second, slowFactor: 1 / 0.55, seed: seed, teams: max(1, int(29*share)), limitFactor: 1.9, failing: 0.05, commitTime: 12 * time.Millisecond,
		rate: func(class string, at time.Duration) float64 {
			switch {
			case class == "bay" && at > 7*time.Second && at < 11*time.Second:
				return 2
			case class == "frame" && at > 20*time.Second && at < 24*time.Second:
				return 1.8
			}
			return 1
		},
		classes: []loadClass{
			{name: "frame", perSecond: 8.51 * share, steps: 1.2, width: 20, cores: 18, memory: 37, spread: 0.8, work: 4 * time.Second, gangShare: 1, goodPercent: 30, worth: 5.45,
				queue: cell.Queue{Priority: 1, MaxFailures: 2, Stretch: 2.2, ObjectiveMS: 1000, Advice: advice(380, 5.5)}},
			{name: "foam", perSecond: 11.1 * share, steps: 1.5, width: 15, cores: 11, memory: 32, spread: 0.6, work: 3400 * time.Millisecond, goodPercent: 45, worth: 2.6,
				queue: cell.Queue{Priority: 2, MaxFailures: 4, Stretch: 4, ObjectiveMS: 3000, Advice: advice(140, 2)}},
			{name: "bay", perSecond: 98.6 * share, steps: 1, width: 3.1, cores: 16, memory: 45, spread: 0.8, work: 800 * time.Millisecond, gangShare: 0.3, goodPercent: 70, worth: 0.411,
				queue: cell.Queue{Priority: 0, MaxFailures: 3, Stretch: 1.5, ObjectiveMS: 250, Advice: advice(16, 0.23)}},
		},
	}
}

// gangsAmongSmallTasks replays a load in which large gangs arrive faster than the fleet can
// run them while small tasks of lower priority fill it, and returns the results for the
// queue of the gangs, of the small tasks and of urgent jobs, added up over some seeds. The
// replays are made once for all tests.
func gangsAmongSmallTasks(t *testing.T) (gangs, small, urgent *replayResult) {
	gangsReplayed.Do(func() { gangsReplayResults = replayGangs(t) })
	return gangsReplayResults["frame"], gangsReplayResults["foam"], gangsReplayResults["bay"]
}

var (
	gangsReplayed      sync.Once
	gangsReplayResults map[string]*replayResult
)

func replayGangs(t *testing.T) map[string]*replayResult {
	var mu sync.Mutex
	sums := map[string]*replayResult{"frame": {}, "foam": {}, "bay": {}}
	t.Run("replay", func(t *testing.T) {
		for seed := range 3 {
			t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
				t.Parallel()
				results, report := replay(t, fullFleet(270, uint64(seed+1)).surge())
				t.Log("\n" + report)
				mu.Lock()
				defer mu.Unlock()
				for name, r := range results {
					sums[name].add(r)
				}
			})
		}
	})
	return sums
}

// add adds the counts of another result.
func (r *replayResult) add(o *replayResult) {
	r.jobs, r.inTime, r.late = r.jobs+o.jobs, r.inTime+o.inTime, r.late+o.late
	r.largest, r.largestServed = r.largest+o.largest, r.largestServed+o.largestServed
	r.gangSteps, r.adviceCost = r.gangSteps+o.gangSteps, r.adviceCost+o.adviceCost
}

// Guards against gangs that start too late because the room for them is lost to small
// tasks, and against callers of the advice service that are kept busy by gangs which ask
// about ever more workers: the first request names three times what a gang needs, in
// three calls, and its tickets are renewed once.
func TestReplayGangsAmongSmallTasks(t *testing.T) {
	gangs, small, urgent := gangsAmongSmallTasks(t)
	t.Logf("gangs in time %.3f, advice %v for each step; small served %.3f; urgent in time %.3f", gangs.share(gangs.inTime), gangs.adviceCost/time.Duration(gangs.gangSteps), small.share(small.inTime+small.late), urgent.share(urgent.inTime))
	assert.Check(t, gangs.share(gangs.inTime) >= 0.67)
	assert.Check(t, small.share(small.inTime+small.late) >= 0.8)
	assert.Check(t, urgent.share(urgent.inTime) >= 0.9)
	const askedOnce = (3*545 + 490) * time.Millisecond
	assert.Check(t, gangs.adviceCost <= time.Duration(gangs.gangSteps)*askedOnce, "advice cost %v for %d steps of gangs", gangs.adviceCost, gangs.gangSteps)
}

// Guards against the largest gangs being served less often than the others.
func TestReplayLargestGangs(t *testing.T) {
	gangs, _, _ := gangsAmongSmallTasks(t)
	largest := float64(gangs.largestServed) / float64(gangs.largest)
	assert.Check(t, largest >= 0.8*gangs.share(gangs.inTime+gangs.late), "%.3f of the largest tenth are served, %.3f of all", largest, gangs.share(gangs.inTime+gangs.late))
}
