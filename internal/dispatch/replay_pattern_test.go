package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"laburnumgrade/internal/cell"
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

// fastFactor is the run time factor of three quarters of the workers.
const fastFactor = 1 / 1.2

// loadPattern is a load that a replay puts on a cell.
type loadPattern struct {
	workers, callers int
	// Each worker has the same number of cores and amount of memory in GiB.
	workerCores, workerGiB int
	classes                []loadClass
	// rate returns the factor on a class's arrivals at a time since the beginning.
	rate   func(class string, at time.Duration) float64
	length time.Duration
	// finish is how long the replay goes on after the last arrival.
	finish time.Duration
	// slowFactor is the run time factor of a quarter of the workers.
	slowFactor float64
	seed       uint64
	// teams is the number of teams, whose limits are limitFactor times their shares.
	teams       int
	limitFactor float64
	// failing is the share of runs that fail.
	failing float64
	// commitTime is how long a commit takes.
	commitTime time.Duration
	// processor is what the leader's operations take of its processor; nothing if it is zero.
	processor processorCosts
	// admission is set if the leader refuses submissions when it is overloaded; otherwise it
	// accepts all.
	admission bool
	// events are what else happens, in the order of time.
	events []replayEvent
	// addedJobs, if not nil, returns the number of jobs of the same class that a team submits
	// in addition to one that arrives at a time.
	addedJobs func(team int, at time.Duration) int
}

// replayEvent is something that happens at a time since the beginning.
type replayEvent struct {
	at time.Duration
	do func(r *replayRun)
}

// vary returns a value with a mean and a logarithmic spread.
func vary(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}

// newJob returns a job of the class and its steps.
func (c *loadClass) newJob(random *rand.Rand, workerCores int) (*replayedJob, []cell.Step) {
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
		cores := min(float64(workerCores)*15/16, max(1, vary(random, c.cores, 0.4)))
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
		workers: workers, workerCores: 64, workerGiB: 256, callers: int(103 * share), length: 34 * time.Second, finish: 15 * time.Second, slowFactor: 1 / 0.55, seed: seed, teams: max(1, int(29*share)), limitFactor: 1.9, failing: 0.05, commitTime: 12 * time.Millisecond,
		rate: func(class string, at time.Duration) float64 {
			switch {
			case class == "urgent" && at > 7*time.Second && at < 11*time.Second:
				return 2
			case class == "gangs" && at > 20*time.Second && at < 24*time.Second:
				return 1.8
			}
			return 1
		},
		classes: []loadClass{
			{name: "gangs", perSecond: 8.51 * share, steps: 1.2, width: 20, cores: 18, memory: 37, spread: 0.8, work: 4 * time.Second, gangShare: 1, goodPercent: 30, worth: 5.45,
				queue: cell.Queue{Priority: 1, MaxFailures: 2, Stretch: 2.2, ObjectiveMS: 1000, Advice: advice(380, 5.5)}},
			{name: "batch", perSecond: 11.1 * share, steps: 1.5, width: 15, cores: 11, memory: 32, spread: 0.6, work: 3400 * time.Millisecond, goodPercent: 45, worth: 2.6,
				queue: cell.Queue{Priority: 2, MaxFailures: 4, Stretch: 4, ObjectiveMS: 3000, Advice: advice(140, 2)}},
			{name: "urgent", perSecond: 98.6 * share, steps: 1, width: 3.1, cores: 16, memory: 45, spread: 0.8, work: 800 * time.Millisecond, gangShare: 0.3, goodPercent: 70, worth: 0.411,
				queue: cell.Queue{Priority: 0, MaxFailures: 3, Stretch: 1.5, ObjectiveMS: 250, Advice: advice(16, 0.23)}},
		},
	}
}

// contendedCell is the load of a cell whose urgent jobs, gangs and small tasks compete for the
// capacity of the workers and the processor of the leader, with a share of 350 workers.
func contendedCell(share float64, seed uint64) *loadPattern {
	advice := func(decide, perWorker float64) *cell.AdviceTerms {
		return &cell.AdviceTerms{DecideMS: decide, PerWorkerMS: perWorker, ValidityMS: 2000}
	}
	return &loadPattern{
		workers: int(350 * share), workerCores: 16, workerGiB: 64, callers: int(67 * share), length: 30 * time.Second, finish: 30 * time.Second, slowFactor: 1 / 0.8, seed: seed,
		teams: 6, limitFactor: 3, failing: 0.02, commitTime: 12 * time.Millisecond, processor: leaderCosts.scale(1 / share), admission: true,
		rate: func(string, time.Duration) float64 { return 1 },
		classes: []loadClass{
			{name: "urgent", perSecond: 125 * share, steps: 1, width: 3, cores: 2.5, memory: 4, spread: 0.5, work: 640 * time.Millisecond, gangShare: 1.0 / 3, goodPercent: 70, worth: 1,
				queue: cell.Queue{Priority: 0, MaxFailures: 3, Stretch: 1.5, ObjectiveMS: 300, Advice: advice(7.2, 0.1)}},
			{name: "gangs", perSecond: 4.3 * share, steps: 1.2, width: 20, cores: 4.5, memory: 6, spread: 0.3, work: 5 * time.Second, gangShare: 1, goodPercent: 30, worth: 10,
				queue: cell.Queue{Priority: 1, MaxFailures: 2, Stretch: 2.2, ObjectiveMS: 1000, Advice: advice(440, 6.2)}},
			{name: "batch", perSecond: 11 * share, steps: 1.5, width: 25, cores: 1.7, memory: 3, spread: 0.5, work: 2200 * time.Millisecond, goodPercent: 45, worth: 4,
				queue: cell.Queue{Priority: 2, MaxFailures: 4, Stretch: 4, ObjectiveMS: 3000, Advice: advice(80, 1.1)}},
		},
	}
}
