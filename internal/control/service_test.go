package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

// putDocument adds a document to the process's copy of the configuration.
func (l *testLeader) putDocument(spec structs.WorkSpec) {
	l.index++
	spec.Version = l.index
	l.server.follower.Store().ApplyChanges(l.index, []*statev1.FleetChange{{
		Index: l.index, Document: &statev1.Document{Team: spec.Team, Service: spec.Service, Version: l.index, Spec: spec.Proto(), Share: 1},
	}}, nil)
}

func serviceSpec(n int, size structs.Resources) structs.WorkSpec {
	return structs.WorkSpec{Team: "a", Service: "s", Class: structs.ClassService, Size: size, Tasks: n, Idempotent: true, WaitWhenFull: true}
}

// instances returns the number of running instances by version.
func (l *testLeader) instances() map[uint64]int {
	running := map[uint64]int{}
	j := l.job(state.ServiceJobID("a", "s"))
	for i := range j.Tasks {
		if a, open := l.group.Store.Attempt(j.Tasks[i].Attempt); open {
			running[a.Version]++
		}
	}
	return running
}

func (l *testLeader) runRounds(d time.Duration) {
	for range int(d / (300 * time.Millisecond)) {
		l.runRound()
	}
}

// TestServices guards against services with a number or version of instances other than
// that in their documents.
func TestServices(t *testing.T) {
	cases := []struct {
		name string
		do   func(l *testLeader)
		want map[uint64]int
	}{
		{"start", func(*testLeader) {}, map[uint64]int{1: 4}},
		{"failed instances are restarted", func(l *testLeader) {
			for range 8 {
				for _, w := range l.workers {
					w.endAll(apiv1.Outcome_OUTCOME_FAILED)
				}
				l.runRounds(15 * time.Second)
			}
		}, map[uint64]int{1: 4}},
		{"more", func(l *testLeader) { l.putDocument(serviceSpec(6, cores(1))) }, map[uint64]int{2: 6}},
		{"fewer", func(l *testLeader) { l.putDocument(serviceSpec(2, cores(1))) }, map[uint64]int{2: 2}},
		{"none", func(l *testLeader) { l.putDocument(serviceSpec(0, cores(1))) }, map[uint64]int{}},
		{"fewer, then more", func(l *testLeader) {
			l.putDocument(serviceSpec(1, cores(1)))
			l.runRounds(3 * time.Second)
			l.putDocument(serviceSpec(3, cores(1)))
		}, map[uint64]int{3: 3}},
		{"document becomes batch", func(l *testLeader) {
			spec := serviceSpec(4, cores(1))
			spec.Class = structs.ClassBatch
			l.putDocument(spec)
		}, map[uint64]int{}},
		{"too large a version is corrected", func(l *testLeader) {
			l.putDocument(serviceSpec(4, cores(99)))
			l.runRounds(3 * time.Second)
			l.putDocument(serviceSpec(4, cores(2)))
		}, map[uint64]int{3: 4}},
		{"worker lost", func(l *testLeader) { delete(l.workers, "w0") }, map[uint64]int{1: 4}},
		{"its job may not be cancelled", func(l *testLeader) {
			_, err := l.dc.CancelJob(t.Context(), &apiv1.CancelJobRequest{JobId: state.ServiceJobID("a", "s")})
			assert.ErrorContains(l.t, err, "set by its document")
		}, map[uint64]int{1: 4}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader(t)
			for i := range 4 {
				l.addWorker(fmt.Sprintf("w%d", i), cores(8))
			}
			l.allot("a", cores(100))
			l.putDocument(serviceSpec(4, cores(1)))
			l.runRounds(3 * time.Second)
			c.do(l)
			l.runRounds(30 * time.Second)
			assert.DeepEqual(t, l.instances(), c.want)
		})
	}
}

// TestRollingUpdate guards against an update that stops more than one instance at a time.
func TestRollingUpdate(t *testing.T) {
	l := newLeader(t)
	for i := range 4 {
		l.addWorker(fmt.Sprintf("w%d", i), cores(8))
	}
	l.allot("a", cores(100))
	l.putDocument(serviceSpec(4, cores(1)))
	l.runRounds(3 * time.Second)
	l.putDocument(serviceSpec(4, cores(2)))
	for range 40 {
		l.runRound()
		available := 0
		for _, w := range l.workers {
			available += len(w.running)
		}
		assert.Assert(t, available >= 3, "%d instances run", available)
	}
	assert.DeepEqual(t, l.instances(), map[uint64]int{2: 4})
}

// TestServiceIsSplitOverDataCentres guards against instances that run in no data centre
// or in two when a service is split over data centres.
func TestServiceIsSplitOverDataCentres(t *testing.T) {
	for n := range 20 {
		for dataCentres := 1; dataCentres < 6; dataCentres++ {
			sum, least, most := 0, n, 0
			for i := range dataCentres {
				p := instancesIn(n, i, dataCentres)
				sum += p
				least, most = min(least, p), max(most, p)
			}
			assert.Equal(t, sum, n)
			assert.Assert(t, most-least <= 1)
		}
	}
	l := newLeader(t, "w", "x", "y")
	l.addWorker("w0", cores(8))
	l.allot("a", cores(100))
	l.putDocument(serviceSpec(5, cores(1)))
	l.runRounds(3 * time.Second)
	assert.DeepEqual(t, l.instances(), map[uint64]int{1: 2})
}
