package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/scheduler"
	"laburnumgrade/internal/structs"
)

const gib = int64(1) << 30

// kind is a kind of work whose waiting times are measured separately.
type kind int

const (
	short kind = iota
	long
	gangs
	services
	kinds
)

var kindNames = [kinds]string{"short", "long", "gang", "service"}

// arrival is one job of a workload.
type arrival struct {
	job  scheduler.Job
	kind kind
	// actual is the run time of each task on a worker of speed 1.
	actual time.Duration
	// used is the actual usage of each task.
	used structs.Resources
}

// site is a simulated fleet with its teams and settings.
type site struct {
	name    string
	workers int
	size    structs.Resources // of each worker
	weights []float64         // of the teams, used as their shares
	seed    uint64
	// fairness is the fairness_weight in the site's settings.
	fairness float64
}

var (
	sajha = site{"sajha", 50, structs.Resources{MilliCPU: 64_000, MemoryBytes: 128 * gib},
		[]float64{30, 25, 20, 10, 10, 5}, 11, 0.25}
	dakar = site{"dakar", 50, structs.Resources{MilliCPU: 16_000, MemoryBytes: 32 * gib},
		[]float64{30, 25, 20, 10, 10, 5}, 12, 1}
)

func (s site) capacity() structs.Resources { return s.size.Scale(int64(s.workers)) }

// workerList returns the workers of the site with random speeds whose mean is 1.
func (s site) workerList() []placement.Worker {
	var all []placement.Worker
	random := rand.New(rand.NewPCG(s.seed, 1))
	for i := range s.workers {
		all = append(all, placement.Worker{
			ID: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%02d", i/6), Incarnation: 1, Capacity: s.size,
			Speed: 0.6 + 0.8*random.Float64(),
		})
	}
	sum := 0.0
	for i := range all {
		sum += all[i].Speed
	}
	for i := range all {
		all[i].Speed *= float64(len(all)) / sum
	}
	return all
}

func teamName(i int) string { return fmt.Sprintf("team%d", i) }

// document is a service of a team with its declared specification and its
// actual usage.
type document struct {
	spec structs.WorkSpec
	kind kind
	// medianRunTime is the median of the actual run times.
	medianRunTime time.Duration
	used          structs.Resources
	tasks         int
}

// documents returns three documents of each kind of batch work for a team.
// Declared run times deviate from the actual ones by a factor of up to
// maxErrorFactor in either direction, and so do declared sizes if wrongSizes is
// set.
func (s site) documents(team int, random *rand.Rand, wrongSizes bool) []document {
	var all []document
	unit := float64(s.size.MilliCPU) / 64
	for i := range 9 {
		d := document{kind: kind(i / 3)}
		cpu, perCore := 0.0, 0.5+3.5*random.Float64() // cores, GiB per core
		switch d.kind {
		case short:
			d.medianRunTime = time.Duration((2 + 6*random.Float64()) * float64(time.Second))
			cpu, d.tasks = 1+3*random.Float64(), 1
		case long:
			d.medianRunTime = time.Duration((40 + 160*random.Float64()) * float64(time.Second))
			cpu, d.tasks = 2+14*random.Float64(), 1
		case gangs:
			d.medianRunTime = time.Duration((20 + 40*random.Float64()) * float64(time.Second))
			cpu, d.tasks = 4+12*random.Float64(), 4+random.IntN(9)
		}
		d.used = structs.Resources{MilliCPU: int64(cpu * unit), MemoryBytes: int64(cpu * perCore * unit / 1000 * float64(gib))}
		d.spec = structs.WorkSpec{
			Team: teamName(team), Service: fmt.Sprintf("s%d", i), Version: 1, Class: structs.ClassBatch, Size: d.used,
			Tasks: d.tasks, Idempotent: true, WaitWhenFull: true, MayCheckpoint: i%3 == 0,
			RunTime: time.Duration(float64(d.medianRunTime) * randomErrorFactor(random)),
		}
		if d.kind == gangs {
			d.spec.Class = structs.ClassGang
		}
		if wrongSizes {
			d.spec.Size = scaled(d.used, randomErrorFactor(random)).Min(s.size)
		}
		all = append(all, d)
	}
	return all
}

// maxErrorFactor bounds the factor by which declarations deviate from actual
// values.
const maxErrorFactor = 4

func randomErrorFactor(random *rand.Rand) float64 {
	return math.Exp((2*random.Float64() - 1) * math.Log(maxErrorFactor))
}

func scaled(r structs.Resources, by float64) structs.Resources {
	return structs.Resources{MilliCPU: int64(float64(r.MilliCPU) * by), MemoryBytes: int64(float64(r.MemoryBytes) * by), Accelerators: r.Accelerators}
}

// meanBurstJobs is the mean number of jobs of a document that are submitted
// together, by kind.
var meanBurstJobs = [kinds]float64{short: 4, long: 12, gangs: 2}

// Parts of the offered work by kind.
var (
	workShares             = [kinds]float64{short: 0.2, long: 0.6, gangs: 0.2}
	shortRunTimeWorkShares = [kinds]float64{short: 0.3, long: 0.7}
)

// workloadSpec describes a generated workload.
type workloadSpec struct {
	length time.Duration
	// load is the offered work as a part of the capacity of the bounding
	// resource.
	load float64
	// equalDemand gives every team the same demand instead of demand by weight.
	equalDemand bool
	wrongSizes  bool
	// shortRunTimes omits gangs and gives long work run times of 10 to 30 s, so that
	// a team's usage can follow its share within a minute.
	shortRunTimes bool
}

// arrivals returns the jobs of a workload, sorted by time of submission.
func (s site) arrivals(p workloadSpec) []arrival {
	random := rand.New(rand.NewPCG(s.seed, 2))
	var all []arrival
	sum := 0.0
	for _, w := range s.weights {
		sum += w
	}
	for team, weight := range s.weights {
		demand := weight / sum
		if p.equalDemand {
			demand = 1 / float64(len(s.weights))
		}
		for _, d := range s.documents(team, random, p.wrongSizes) {
			part := workShares[d.kind]
			if p.shortRunTimes {
				part = shortRunTimeWorkShares[d.kind]
				d.medianRunTime = min(d.medianRunTime, 10*time.Second+d.medianRunTime/10)
			}
			if part == 0 {
				continue
			}
			all = append(all, s.stream(d, p, demand*part/3, random)...)
		}
	}
	sortArrivals(all)
	return all
}

// stream returns the arrivals of one document, whose work amounts to the given
// part of the capacity. Jobs arrive in bursts of geometric size; the starts of
// the bursts are a Poisson process.
func (s site) stream(d document, p workloadSpec, part float64, random *rand.Rand) []arrival {
	const sigma = 0.5 // of the lognormal run times
	bounding := max(ratio(d.used.MilliCPU, s.capacity().MilliCPU), ratio(d.used.MemoryBytes, s.capacity().MemoryBytes))
	mean := d.medianRunTime.Seconds() * math.Exp(sigma*sigma/2)
	perJob := bounding * float64(d.tasks) * mean
	gap := perJob / (p.load * part)
	burst := meanBurstJobs[d.kind]
	var all []arrival
	for at := random.ExpFloat64() * gap * burst; at < p.length.Seconds(); {
		tasks := make([]int, d.tasks)
		for i := range tasks {
			tasks[i] = i
		}
		all = append(all, arrival{
			job: scheduler.Job{
				ID: fmt.Sprintf("%s/%s/%d", d.spec.Team, d.spec.Service, len(all)), Spec: d.spec,
				Submitted: time.Duration(at * float64(time.Second)), Tasks: tasks,
			},
			kind: d.kind, used: d.used,
			actual: time.Duration(float64(d.medianRunTime) * math.Exp(sigma*random.NormFloat64())),
		})
		if random.Float64() < 1/burst {
			at += random.ExpFloat64() * gap * burst
		}
	}
	return all
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
