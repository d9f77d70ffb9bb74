package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/internal/placement"
	"laburnumgrade/internal/structs"
)

// TestMain fixes rapid's seed, so that the result does not change between runs.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const gib = int64(1) << 30

// workers returns a fleet of workers with these capacities, of which the first
// is lost.
func workers(capacities ...structs.Resources) *placement.Fleet {
	f := placement.NewFleet()
	for i, c := range capacities {
		f.Upsert(placement.Worker{ID: fmt.Sprint(i), Capacity: c, Lost: i == 0})
	}
	return f
}

// Guards against refusing work that some workers can hold, against a reason that
// names the wrong resource, and against accepting work that can never run.
func TestInfeasible(t *testing.T) {
	f := workers(structs.Resources{MilliCPU: 64_000, MemoryBytes: 32 * gib},
		structs.Resources{MilliCPU: 16_000, MemoryBytes: 128 * gib, Accelerators: 4})
	for _, tc := range []struct {
		name  string
		size  structs.Resources
		tasks int
		want  string
	}{
		{"fits a lost worker", structs.Resources{MilliCPU: 64_000}, 1, ""},
		{"processors", structs.Resources{MilliCPU: 96_000, MemoryBytes: 900 * gib}, 1, "not run: needs 96 cores; the largest worker has 64"},
		{"memory", structs.Resources{MemoryBytes: 129 * gib}, 1, "not run: needs 129 GiB of memory; the largest worker has 128 GiB"},
		{"accelerators", structs.Resources{Accelerators: 5}, 1, "not run: needs 5 accelerators; the largest worker has 4"},
		{"combination", structs.Resources{MilliCPU: 32_000, MemoryBytes: 64 * gib}, 1,
			"not run: needs 32 cores, 64 GiB of memory and 0 accelerators on one worker; no worker has all of them"},
		{"gang fits", structs.Resources{MilliCPU: 16_000, MemoryBytes: 8 * gib}, 5, ""},
		{"gang", structs.Resources{MilliCPU: 16_000, MemoryBytes: 8 * gib}, 6,
			"not run: needs 6 tasks at once; all workers together hold 5 of this size"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			reason, infeasible := Infeasible(f, tc.size, tc.tasks)
			assert.Equal(t, reason, tc.want)
			assert.Equal(t, infeasible, tc.want != "")
		})
	}
	_, infeasible := Infeasible(workers(), structs.Resources{MilliCPU: 1 << 40}, 1)
	assert.Assert(t, !infeasible, "work was infeasible before any worker registered")
}

// Guards against a team whose waiting tasks keep out those of another team: a
// team within its entitlement is always admitted, and the total stays bounded.
func TestOverloadKeepsEntitlement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Total: 100, OverloadFraction: 0.8, PerTeam: 200}
		c := NewController(limits, workers(structs.Resources{MilliCPU: 1000}))
		c.SetTeam("a", 3)
		c.SetTeam("b", 1)
		entitled := map[string]int{"a": 75, "b": 25}
		waiting := map[string]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			spec := structs.WorkSpec{Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Size: structs.Resources{MilliCPU: 1}}
			n := rapid.IntRange(1, 20).Draw(t, "tasks")
			if rapid.IntRange(0, 4).Draw(t, "leave") == 0 {
				n = min(n, waiting[spec.Team])
				c.Removed(&spec, n)
				waiting[spec.Team] -= n
				continue
			}
			refusal := c.Admit(&spec, n, 0, 0)
			if refusal == nil {
				waiting[spec.Team] += n
			} else if waiting[spec.Team]+n <= entitled[spec.Team] {
				t.Fatalf("team %s with %d waiting was refused %d: %s", spec.Team, waiting[spec.Team], n, refusal.Reason)
			}
			if c.Waiting() > 180 || waiting[spec.Team] > limits.PerTeam {
				t.Fatalf("%d tasks wait, %d of team %s", c.Waiting(), waiting[spec.Team], spec.Team)
			}
		}
	})
}

// Guards against a team's queue that grows without bound while the data centre is
// not overloaded.
func TestPerTeamLimit(t *testing.T) {
	c := NewController(Limits{Total: 1000, OverloadFraction: 0.8, PerTeam: 10}, workers(structs.Resources{MilliCPU: 1000}))
	c.SetTeam("a", 1)
	spec := structs.WorkSpec{Team: "a", Size: structs.Resources{MilliCPU: 1}}
	assert.Assert(t, c.Admit(&spec, 10, 0, 0) == nil)
	assert.Equal(t, c.Admit(&spec, 1, 0, 0).Reason, `not run: 10 tasks of team "a" wait; a team's queue holds 10`)
}

// Guards against a document's queue that exceeds its limit, and against accepting
// work that is not expected to start before its deadline.
func TestQueueLimitAndDeadline(t *testing.T) {
	c := NewController(DefaultLimits(), workers(structs.Resources{MilliCPU: 1000}))
	c.SetTeam("a", 1)
	spec := structs.WorkSpec{Team: "a", Service: "s", QueueLimit: 60, Size: structs.Resources{MilliCPU: 1}}
	assert.Assert(t, c.Admit(&spec, 60, 0, 0) == nil)
	assert.Equal(t, c.Admit(&spec, 1, 0, 0).Reason, `not run: 60 tasks of service "s" wait; its queue holds 60`)
	spec.QueueLimit = 0
	assert.Assert(t, c.Admit(&spec, 1, time.Second, 0) == nil, "the deadline was checked before enough tasks had started")
	for i := range 600 {
		now := time.Duration(i) * time.Second
		c.Started(&spec, 1, now)
		c.Requeued(&spec, 1)
	}
	now := 600 * time.Second
	assert.Assert(t, c.Admit(&spec, 1, 70*time.Second, now) == nil)
	refusal := c.Admit(&spec, 1, 50*time.Second, now)
	assert.ErrorContains(t, refusal, `not run: team "a" has 62 tasks waiting, about 1m2`)
	assert.Assert(t, !refusal.Infeasible)
}
