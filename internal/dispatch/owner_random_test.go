package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
)

var (
	ownerSeed  = flag.Uint64("owner.seed", 1, "first seed of TestOwnersKeepLimitsWhilePlansAreMade")
	ownerSeeds = flag.Int("owner.seeds", 4, "number of seeds of TestOwnersKeepLimitsWhilePlansAreMade")
)

const (
	ownerPlayTime = 20 * time.Second
	// ownerLimit is the limit of each team in cores, as configureTeams sets it. A task has one.
	ownerLimit = 4
)

// ownerPlay plays two customers whose teams change their names and keys while they submit, read
// and cancel jobs.
type ownerPlay struct {
	b *testCell

	mu   sync.Mutex
	rng  *rand.Rand
	name [2]string
	keys [2][]string
	// jobs holds the jobs by their IDs.
	jobs    map[string]*ownedJob
	nextJob int
	nextKey int
	version int64
	faults  []string
}

type ownedJob struct {
	customer  int
	cancelled bool
}

// Guards against teams that exceed their limits, are kept from what they may use, or lose jobs to
// each other, while configurations that rename them and replace their keys are applied in the
// middle of plans, through changes of the leader and restored states.
func TestOwnersKeepLimitsWhilePlansAreMade(t *testing.T) {
	for i := range *ownerSeeds {
		seed := *ownerSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCellWith(t, 4, func(c *Config) { c.AdmitAll = true }, func(b *testCell) {
				p := &ownerPlay{
					b: b, rng: rand.New(rand.NewPCG(seed, 0)), name: [2]string{"north", "south"}, keys: [2][]string{{"a"}, {"b"}},
					jobs: map[string]*ownedJob{}, version: 2,
				}
				p.run()
			})
		})
	}
}

func (p *ownerPlay) run() {
	for i := range 4 {
		p.b.fleet.change(fmt.Sprint("w", i), func(w *fakeWorker) { w.taskDuration = 300 * time.Millisecond })
	}
	p.b.fleet.mu.Lock()
	p.b.fleet.started = func(string, *fakeWorker) { p.checkLimits() }
	p.b.fleet.mu.Unlock()
	p.configure()
	var parts sync.WaitGroup
	until := time.Now().Add(ownerPlayTime)
	for _, part := range []struct {
		do  func()
		gap int64 // the longest time between two calls, in milliseconds
	}{{p.change, 300}, {p.submit, 60}, {p.submit, 60}, {p.cancel, 400}, {p.readForeign, 50}, {p.readOwn, 50}, {p.changeLeader, 9000}, {p.b.reportAll, 400}} {
		parts.Go(func() {
			for time.Now().Before(until) {
				time.Sleep(time.Duration(p.draw(part.gap)) * time.Millisecond)
				part.do()
			}
		})
	}
	parts.Wait()
	p.finish()
}

func (p *ownerPlay) draw(n int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + p.rng.Int64N(n)
}

func (p *ownerPlay) faultf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, fmt.Sprintf(format, args...))
}

// configure puts the present names and keys in force.
func (p *ownerPlay) configure() {
	p.mu.Lock()
	teams := teamKeys{p.name[0]: slices.Clone(p.keys[0]), p.name[1]: slices.Clone(p.keys[1])}
	version := p.version
	p.version++
	p.mu.Unlock()
	for p.tryConfigure(version, teams) != cell.Accepted {
		time.Sleep(20 * time.Millisecond)
	}
}

// tryConfigure returns the verdict on a configuration, 0 without a leader.
func (p *ownerPlay) tryConfigure(version int64, teams teamKeys) cell.Verdict {
	return p.b.leader.Do(p.b.t.Context(), &cellapi.Call{Configure: ownedConfiguration(version, teams)}).Verdict
}

// change renames the teams, or adds or withdraws keys.
func (p *ownerPlay) change() {
	p.mu.Lock()
	customer := p.rng.IntN(2)
	switch p.rng.IntN(4) {
	case 0, 1:
		p.name[0], p.name[1] = p.name[1], p.name[0]
	case 2:
		p.nextKey++
		p.name[customer] = fmt.Sprint("name", p.nextKey)
	case 3:
		p.nextKey++
		p.keys[customer] = append(p.keys[customer], fmt.Sprint("key", p.nextKey))
		if len(p.keys[customer]) > 2 {
			p.keys[customer] = p.keys[customer][1:]
		}
	}
	p.mu.Unlock()
	p.configure()
}

// newestKey returns the key of a customer that is withdrawn last.
func (p *ownerPlay) newestKey(customer int) string {
	return p.keys[customer][len(p.keys[customer])-1]
}

func (p *ownerPlay) submit() {
	p.mu.Lock()
	p.nextJob++
	id, customer := fmt.Sprintf("%016x", p.nextJob), p.rng.IntN(2)
	step := taskStep(1+p.rng.IntN(2), 1)
	key := p.newestKey(customer)
	p.mu.Unlock()
	r := p.b.leader.Do(p.b.t.Context(), &cellapi.Call{Submit: &cell.Submit{Request: *ownedRequest(id, key), Job: cell.Submission{Spec: "s", Steps: []cell.Step{step}}}})
	if r.Verdict == cell.Accepted && r.Refused == "" {
		p.mu.Lock()
		p.jobs[id] = &ownedJob{customer: customer}
		p.mu.Unlock()
	}
}

// drawJob returns a job, empty if there is none, and the newest keys of its customer and of the
// other one.
func (p *ownerPlay) drawJob() (id, own, foreign string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.jobs) == 0 {
		return "", "", ""
	}
	id = fmt.Sprintf("%016x", 1+p.rng.IntN(p.nextJob))
	j := p.jobs[id]
	if j == nil {
		return "", "", ""
	}
	return id, p.newestKey(j.customer), p.newestKey(1 - j.customer)
}

func (p *ownerPlay) cancel() {
	id, own, foreign := p.drawJob()
	if id == "" {
		return
	}
	if v := p.b.leader.Do(p.b.t.Context(), &cellapi.Call{Cancel: ownedRequest(id, foreign)}).Verdict; v == cell.Accepted {
		p.faultf("job %s is cancelled with %s", id, foreign)
	}
	if r := p.b.leader.Do(p.b.t.Context(), &cellapi.Call{Cancel: ownedRequest(id, own)}); r.Verdict == cell.Accepted {
		p.mu.Lock()
		p.jobs[id].cancelled = true
		p.mu.Unlock()
	} else if r.Verdict == cell.NoJob {
		p.faultf("job %s is not found to be cancelled with %s", id, own)
	}
}

func (p *ownerPlay) readForeign() {
	if id, _, foreign := p.drawJob(); id != "" {
		if v := p.b.leader.Do(p.b.t.Context(), &cellapi.Call{Status: ownedRequest(id, foreign)}).Verdict; v == cell.Accepted {
			p.faultf("job %s is read with %s", id, foreign)
		}
	}
}

func (p *ownerPlay) readOwn() {
	if id, own, _ := p.drawJob(); id != "" {
		if v := p.b.leader.Do(p.b.t.Context(), &cellapi.Call{Status: ownedRequest(id, own)}).Verdict; v == cell.NoJob {
			p.faultf("job %s is not found with %s", id, own)
		}
	}
}

// changeLeader starts another term, at times with a restored state.
func (p *ownerPlay) changeLeader() {
	if p.draw(2) == 1 {
		p.b.restoreUnderNextLeader()
		return
	}
	term, _ := p.b.log.Term()
	p.b.changeLeader(term + 1)
}

// checkLimits compares what runs for each customer with its limit. The caller holds the lock of
// the fleet. A job whose submission is not answered yet has no customer here.
func (p *ownerPlay) checkLimits() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var running [2]int
	for _, w := range p.b.fleet.workers {
		for k := range w.running {
			if j := p.jobs[k.task.Job]; j != nil {
				running[j.customer]++
			}
		}
	}
	for customer, n := range running {
		if n > ownerLimit {
			p.faults = append(p.faults, fmt.Sprintf("%d cores run for customer %d", n, customer))
		}
	}
}

// finish waits for the jobs and reports the faults.
func (p *ownerPlay) finish() {
	// Longer than all that was submitted takes within the limits: 60 a second of 1.5 tasks of 0.3 s
	// for two teams with 4 cores.
	const limit = 4 * ownerPlayTime
	until := time.Now().Add(limit)
	for id, j := range p.jobs {
		for !j.cancelled {
			key := p.newestKey(j.customer)
			r := p.b.leader.Do(p.b.t.Context(), &cellapi.Call{Status: ownedRequest(id, key)})
			assert.Equal(p.b.t, r.Verdict, cell.Accepted, "job %s, asked for with %s", id, key)
			if r.Status.State == cell.Complete {
				break
			}
			if time.Now().After(until) {
				p.b.t.Fatalf("job %s is %v %v after the end of the play", id, r.Status.State, limit)
			}
			p.b.reportAll()
			time.Sleep(100 * time.Millisecond)
		}
	}
	assert.Equal(p.b.t, len(p.faults), 0, "%d faults, the first: %v", len(p.faults), p.faults[:min(5, len(p.faults))])
	assert.Assert(p.b.t, len(p.jobs) > 100, "only %d jobs were accepted", len(p.jobs))
}
