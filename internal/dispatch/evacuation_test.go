package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/structs"
)

// evacuation is the command that starts or stops the evacuation of a data centre.
func evacuation(dataCentre string, active bool) *cellapi.Call {
	return &cellapi.Call{Evacuate: &cell.Evacuate{DataCentre: dataCentre, Active: active}}
}

// placeWorkers registers workers, each in one of the data centres in turn.
func (b *testCell) placeWorkers(workers int, dataCentres ...string) {
	b.t.Helper()
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		b.fleet.add(id, 1)
		report := firstReport(id, 1, i)
		report.Report.DataCentre = dataCentres[i%len(dataCentres)]
		b.do(report)
	}
}

// countStarts counts the attempts that each worker starts from now on. The function that it
// returns reads the sum of some workers.
func (b *testCell) countStarts() (on func(ids ...string) int) {
	counts := map[string]int{}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.fleet.started = func(id string, _ *fakeWorker) { counts[id]++ }
	return func(ids ...string) int {
		b.fleet.mu.Lock()
		defer b.fleet.mu.Unlock()
		sum := 0
		for _, id := range ids {
			sum += counts[id]
		}
		return sum
	}
}

// Guards against tasks, gangs and daemons that start in an evacuated data centre, and against
// a data centre that gets no work after the end of its evacuation. The command is repeated.
func TestEvacuatedDataCentreGetsNoStarts(t *testing.T) {
	for name, step := range map[string]cell.Step{
		"tasks":  taskStep(12, 1),
		"gang":   {Count: 8, Gang: true, Size: structs.Resources{MilliCPU: 1000}, EstimateMS: 1000},
		"daemon": {Count: 8, Daemon: true, Size: structs.Resources{MilliCPU: 1000}},
	} {
		t.Run(name, func(t *testing.T) {
			runCell(t, 0, func(b *testCell) {
				b.placeWorkers(4, "a", "b")
				startsOn := b.countStarts()
				if step.Daemon {
					b.fleet.change("w1", func(w *fakeWorker) { w.taskDuration = time.Hour })
					b.fleet.change("w3", func(w *fakeWorker) { w.taskDuration = time.Hour })
				}
				b.do(evacuation("a", true))
				b.do(evacuation("a", true))
				b.submit(jobID1, step)
				for range 40 {
					b.reportAll()
					time.Sleep(50 * time.Millisecond)
				}
				assert.Equal(t, startsOn("w0", "w2"), 0)
				assert.Equal(t, startsOn("w1", "w3"), step.Count)
				b.do(evacuation("a", false))
				b.do(evacuation("a", false))
				b.submit(jobID2, taskStep(16, 1))
				time.Sleep(500 * time.Millisecond)
				assert.Assert(t, startsOn("w0") > 0 && startsOn("w2") > 0)
			})
		})
	}
}
