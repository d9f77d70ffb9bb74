package cellnode

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/dispatch"
	"laburnumgrade/internal/pause"
)

// evacuate starts or stops the evacuation of a data centre through a node.
func (s *testCluster) evacuate(i int, dataCentre string, active bool) {
	s.t.Helper()
	r := s.call(i, &cellapi.Call{Evacuate: &cell.Evacuate{DataCentre: dataCentre, Active: active}})
	assert.Equal(s.t, r.Verdict, cell.Accepted)
}

// evacuated returns the evacuated data centres in the state of the leader.
func (s *testCluster) evacuated() (names []string) {
	s.t.Helper()
	s.nodes[s.waitForLeader()].node.leader.Store.View(func(v *cell.View) { names = v.Evacuated() })
	return names
}

// Guards against an acknowledged evacuation that is lost, or a stopped one that is in force
// again, after all processes have ended and one disk is lost.
func TestEvacuationsOutliveAllProcesses(t *testing.T) {
	s := newTestCluster(t, 3)
	for i := range 3 {
		s.start(i, true)
	}
	s.evacuate(0, "dc-1", true)
	s.evacuate(1, "dc-2", true)
	s.evacuate(2, "dc-2", false)
	s.waitForVoters(0, 1, 2)
	s.evacuate(0, "dc-3", true)
	for i := range 3 {
		s.stop(i)
	}
	s.folders[1] = t.TempDir()
	for i := range 3 {
		s.start(i, false)
	}
	assert.DeepEqual(t, s.evacuated(), []string{"dc-1", "dc-3"})
}

// Guards against an evacuation that is in force at the leader but not at the process that
// follows it, and against a command that a killed process has passed on and that another one
// cannot repeat.
func TestEvacuationOutlivesLeader(t *testing.T) {
	s := newTestCluster(t, 3)
	for i := range 3 {
		s.start(i, true)
	}
	s.waitForVoters(0, 1, 2)
	lost := s.waitForLeader()
	s.evacuate(lost, "dc-1", true)
	s.stop(lost)
	next := (lost + 1) % 3
	s.evacuate(next, "dc-1", true)
	assert.DeepEqual(t, s.evacuated(), []string{"dc-1"})
}

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// leaseLog is a log of which only the lease is used.
type leaseLog struct {
	dispatch.Log
	leads bool
}

func (l leaseLog) Lease() (time.Duration, bool) { return 0, l.leads }

// Guards against a command that waited while its process was paused and reverses a later one
// that was acknowledged in the meantime, and against a process that takes the refusal of one
// that does not lead for the leader's.
func TestCommandOfBeforePauseIsRefused(t *testing.T) {
	for _, leads := range []bool{true, false} {
		clock := &manualClock{}
		n := &Node{config: Config{Pauses: pause.New(clock)}, leader: &dispatch.Leader{Config: dispatch.Config{Log: leaseLog{leads: leads}}}}
		clock.now += time.Minute
		call := &cellapi.Call{Evacuate: &cell.Evacuate{DataCentre: "dc-1"}}
		assert.Equal(t, n.Do(context.Background(), call).Refused, cellapi.RefusedAfterPause)
		r := peerService{n}.Do(context.Background(), call)
		assert.Equal(t, r.Refused != "", leads)
		assert.Equal(t, r.NotLeader, !leads)
	}
}
