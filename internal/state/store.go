package state

import (
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// Observer is told of changes after they are applied. Its methods are called
// with the store locked: they must not block and must not call the store.
type Observer interface {
	// Reset is called after the whole state was replaced.
	Reset()
	WorkerChanged(id string)
	JobChanged(id string)
	InstancesChanged()
}

// AttemptObserver is an Observer that is also told of committed attempts, before
// a worker can hear of them.
type AttemptObserver interface {
	AttemptCommitted(a *structs.Attempt)
}

// Result is the result of a command. Refusal is empty on success.
type Result struct {
	Refusal   string
	Duplicate bool
	// Outcomes of the placements of a plan, in order; empty text if accepted.
	Placements []PlacementResult
	// Granted is set if the owner may send the recorded request.
	Granted bool
	Request *structs.Request
	// Acknowledged holds the attempts whose end is recorded.
	Acknowledged []uint64
	// Epoch is the number of the leadership that began.
	Epoch uint64
}

// PlacementResult says whether a placement was accepted.
type PlacementResult struct {
	AttemptID uint64
	Refusal   string
}

// teamUsage is what a team runs in the data centre and may run.
type teamUsage struct {
	Running   structs.Resources
	Allotment structs.Resources
	// Grant is the number of the last grant taken.
	Grant uint64
	// Transfer is the number of the last transfer given.
	Transfer uint64
	// Given holds transfers that the fleet group has not confirmed, by number.
	Given map[uint64]structs.Resources
	// Waiting sums the sizes of the waiting tasks.
	Waiting      structs.Resources
	WaitingTasks int
	RunningTasks int
}

// data is the replicated part of the store, encoded whole in snapshots.
type data struct {
	Index       uint64
	LogTime     int64
	NextAttempt uint64
	// Epoch numbers the leaderships that have begun.
	Epoch     uint64
	Workers   map[string]*structs.Worker
	Jobs      map[string]*structs.Job
	Attempts  map[uint64]*structs.Attempt
	Teams     map[string]*teamUsage
	Requests  map[string]*structs.Request
	Instances map[string]*structs.Instance
}

// Store is the state of a data centre group. Reads may run beside one writer.
type Store struct {
	mu       sync.RWMutex
	d        data
	queue    dueQueue
	observer Observer
}

// New returns an empty store.
func New(observer Observer) *Store {
	return &Store{d: newData(), observer: observer}
}

func newData() data {
	return data{
		Workers:   map[string]*structs.Worker{},
		Jobs:      map[string]*structs.Job{},
		Attempts:  map[uint64]*structs.Attempt{},
		Teams:     map[string]*teamUsage{},
		Requests:  map[string]*structs.Request{},
		Instances: map[string]*structs.Instance{},
	}
}

// Apply implements port.StateMachine. The result is a *Result.
func (s *Store) Apply(index uint64, command []byte) any {
	var c statev1.DataCentreCommand
	if err := proto.Unmarshal(command, &c); err != nil {
		return &Result{Refusal: errors.Wrap(err, "decode command").Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.Index = index
	return s.dispatch(&c)
}

func (s *Store) dispatch(c *statev1.DataCentreCommand) *Result {
	switch c := c.Command.(type) {
	case *statev1.DataCentreCommand_RegisterWorker:
		return s.registerWorker(c.RegisterWorker)
	case *statev1.DataCentreCommand_SetWorkerState:
		return s.setWorkerState(c.SetWorkerState)
	case *statev1.DataCentreCommand_LoseWorker:
		return s.loseWorker(c.LoseWorker)
	case *statev1.DataCentreCommand_SubmitJob:
		return s.submitJob(c.SubmitJob)
	case *statev1.DataCentreCommand_Plan:
		return s.applyPlan(c.Plan)
	case *statev1.DataCentreCommand_EndAttempt:
		return s.endAttempts([]*statev1.EndAttempt{c.EndAttempt})
	case *statev1.DataCentreCommand_EndAttempts:
		return s.endAttempts(c.EndAttempts.Ended)
	case *statev1.DataCentreCommand_CancelJob:
		return s.cancelJob(c.CancelJob)
	case *statev1.DataCentreCommand_RecordRequest:
		return s.recordRequest(c.RecordRequest)
	case *statev1.DataCentreCommand_EndRequest:
		return s.endRequest(c.EndRequest)
	case *statev1.DataCentreCommand_TakeAllotment:
		return s.takeAllotment(c.TakeAllotment)
	case *statev1.DataCentreCommand_GiveAllotment:
		return s.giveAllotment(c.GiveAllotment)
	case *statev1.DataCentreCommand_ConfirmReturn:
		return s.confirmReturn(c.ConfirmReturn)
	case *statev1.DataCentreCommand_AdvanceTime:
		return s.advanceTime(c.AdvanceTime)
	case *statev1.DataCentreCommand_RegisterInstance:
		return s.registerInstance(c.RegisterInstance)
	case *statev1.DataCentreCommand_RemoveInstance:
		return s.removeInstance(c.RemoveInstance)
	case *statev1.DataCentreCommand_AssignSlots:
		return s.assignSlots(c.AssignSlots)
	case *statev1.DataCentreCommand_RejectJob:
		return s.rejectJob(c.RejectJob)
	case *statev1.DataCentreCommand_SetService:
		return s.setService(c.SetService)
	case *statev1.DataCentreCommand_BeginLeadership:
		s.d.Epoch++
		return &Result{Epoch: s.d.Epoch}
	case *statev1.DataCentreCommand_ShedAttempts:
		return s.shedAttempts(c.ShedAttempts)
	case *statev1.DataCentreCommand_RejectJobs:
		return s.rejectJobs(c.RejectJobs)
	case *statev1.DataCentreCommand_LoseWorkers:
		return s.loseWorkers(c.LoseWorkers)
	case *statev1.DataCentreCommand_ResizeAttempts:
		return s.resizeAttempts(c.ResizeAttempts)
	}
	return &Result{Refusal: "unknown command"}
}

func (s *Store) team(name string) *teamUsage {
	t := s.d.Teams[name]
	if t == nil {
		t = &teamUsage{Given: map[uint64]structs.Resources{}}
		s.d.Teams[name] = t
	}
	return t
}
