package share

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

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

// Guards against a share ratio that ignores a resource, the weights, or the decay
// of past usage.
func TestShareRatioIsDominantWeightedAndDecays(t *testing.T) {
	l := NewLedger()
	l.SetCapacity(structs.Resources{MilliCPU: 100, MemoryBytes: 100, Accelerators: 10})
	a := l.SetTeam("a", 3, Unlimited)
	b := l.SetTeam("b", 1, Unlimited)
	l.Charge(a, structs.Resources{MilliCPU: 10, MemoryBytes: 30}, 0)
	l.Charge(b, structs.Resources{MilliCPU: 1, Accelerators: 1}, 0)
	hour := time.Hour
	assert.Assert(t, math.Abs(l.ShareRatio(a, hour)-0.3*4/3) < 1e-9)
	assert.Assert(t, math.Abs(l.ShareRatio(b, hour)-0.1*4/1) < 1e-9)
	l.Refund(b, structs.Resources{MilliCPU: 1, Accelerators: 1}, hour)
	assert.Assert(t, math.Abs(l.ShareRatio(b, hour+l.HalfLife)-0.5*0.5*0.4) < 1e-9)
}

// Guards against a sum of weights that is wrong after a team's weight is set
// again.
func TestSetTeamIsIdempotent(t *testing.T) {
	l := NewLedger()
	for range 3 {
		l.SetTeam("a", 2, Unlimited)
	}
	l.Team("b")
	assert.Equal(t, l.totalWeight, 3.0)
	assert.Equal(t, l.Teams(), 2)
}

// Guards against running work of a team without an allotment, and against a
// message that names the wrong resource.
func TestRoomAndShortage(t *testing.T) {
	size := structs.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}
	for _, tc := range []struct {
		name      string
		allotment structs.Resources
		inUse     structs.Resources
		room      int
		reason    string
	}{
		{"none", structs.Resources{}, structs.Resources{}, 0,
			`team "a" is at its allotment: needs 1 cores; 0 of 0 are in use`},
		{"processors", structs.Resources{MilliCPU: 2500, MemoryBytes: 8 << 30}, structs.Resources{}, 2, ""},
		{"memory", structs.Resources{MilliCPU: 9000, MemoryBytes: 2 << 30}, structs.Resources{MilliCPU: 500, MemoryBytes: 3 << 29}, 0,
			`team "a" is at its allotment: needs 1024 MiB of memory; 1536 of 2048 are in use`},
		{"over", structs.Resources{MilliCPU: 1000, MemoryBytes: 8 << 30}, structs.Resources{MilliCPU: 5000}, 0,
			`team "a" is at its allotment: needs 1 cores; 5 of 1 are in use`},
		{"unlimited", Unlimited, structs.Resources{}, 100, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			team := Team{Name: "a", Allotment: tc.allotment, InUse: tc.inUse}
			assert.Equal(t, team.Room(size, 100), tc.room)
			if tc.room == 0 {
				assert.Equal(t, team.Shortage(size, 1), tc.reason)
			}
		})
	}
}

// Guards against starvation of long jobs: however long a job is predicted to run,
// none submitted MaxBypass later is ordered before it.
func TestOrderTimeBoundsBypass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		p.MaxBypass = time.Duration(rapid.Int64Range(1, 1000).Draw(t, "maxBypass")) * time.Second
		runTime := rapid.Int64Range(0, int64(1000*time.Hour))
		submitted := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "submitted"))
		early := p.OrderTime(submitted, time.Duration(runTime.Draw(t, "early")))
		late := p.OrderTime(submitted+p.MaxBypass, time.Duration(runTime.Draw(t, "late")))
		if early > late {
			t.Fatalf("order time %v of the earlier job is after %v", early, late)
		}
	})
}

// Guards against a fairness weight of 0 that does not ignore the share ratio, and
// against one of 1 that does not ignore the waiting time.
func TestScoreWeight(t *testing.T) {
	p := DefaultPolicy()
	p.FairnessWeight = 0
	assert.Assert(t, p.Score(time.Second, 0, 9) < p.Score(2*time.Second, 0, 0))
	p.FairnessWeight = 1
	assert.Assert(t, p.Score(time.Hour, 0, 0.5) < p.Score(0, 0, 0.6))
	p.FairnessWeight = 0.5
	assert.Equal(t, p.Score(60*time.Second, 0, 0), p.Score(0, 0, 1))
}

// Guards against predictions from too few run times, and from run times older
// than the latest historySize.
func TestPredict(t *testing.T) {
	var h History
	assert.Equal(t, h.Predict(10*time.Second, 0.5), 10*time.Second)
	assert.Equal(t, h.Predict(10*time.Second, 0.9), 40*time.Second)
	assert.Equal(t, h.Predict(0, 0.5), time.Minute)
	for range 100 {
		h.Record(time.Hour)
	}
	for i := range historySize {
		h.Record(time.Duration(i+1) * time.Second)
	}
	assert.Equal(t, h.Predict(time.Hour, 0.5), 16*time.Second)
	assert.Equal(t, h.Predict(time.Hour, 0.9), 29*time.Second)
	assert.Equal(t, h.Predict(time.Hour, 1), 32*time.Second)
}
