package state

import (
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// Observer receives notifications of applied changes. Its methods are called with
// the store locked: they must not block and must not call the store.
type Observer interface {
	// Reset is called after the whole state was replaced by a snapshot.
	Reset()
	WorkerChanged(id string)
	JobChanged(id string)
	InstancesChanged()
}

// AttemptObserver may be implemented by an Observer in addition, to be notified of
// each committed attempt before its worker can receive it.
type AttemptObserver interface {
	AttemptCommitted(a *structs.Attempt)
}

// Result is the result of a command.
type Result struct {
	// Refusal is the reason for which the command was refused, empty on success.
	Refusal string
	// Duplicate is set if the command had already taken effect or is outdated;
	// it then changed nothing.
	Duplicate bool
	// Placements holds the results of a plan's placements, in the plan's order.
	Placements []PlacementResult
	// Granted is set if the owner may send the recorded request.
	Granted bool
	// Request is a copy of the existing record if the request is not granted.
	Request *structs.Request
	// Acknowledged holds the ids of the reported attempts, whose ends need not be
	// reported again.
	Acknowledged []uint64
	// Epoch is the number of the leadership that BeginLeadership has begun.
	Epoch uint64
}

// PlacementResult is the result of one placement: the id of the committed attempt,
// or the reason for which it was refused.
type PlacementResult struct {
	AttemptID uint64
	Refusal   string
}

// teamUsage is the stored usage and limit of a team in the data centre.
type teamUsage struct {
	// Running is the sum of the sizes of the team's open attempts.
	Running structs.Resources
	// Allotment is the limit of Running.
	Allotment structs.Resources
	// Grant is the number of the last grant received from the fleet group.
	Grant uint64
	// Transfer is the number of the last transfer taken out of the allotment.
	Transfer uint64
	// Given holds, by number, the amounts of the transfers whose return the fleet
	// group has not confirmed.
	Given map[uint64]structs.Resources
	// Waiting is the sum of the sizes of the waiting tasks.
	Waiting      structs.Resources
	WaitingTasks int
	RunningTasks int
}

// data is the replicated state, encoded as a whole in snapshots.
type data struct {
	// Index is the log index of the last applied command.
	Index uint64
	// LogTime is in ms since the Unix epoch.
	LogTime int64
	// NextAttempt is the id of the last committed attempt; ids start at 1.
	NextAttempt uint64
	// Epoch is the number of leaderships that have begun.
	Epoch   uint64
	Workers map[string]*structs.Worker
	Jobs    map[string]*structs.Job
	// Attempts holds the open attempts only.
	Attempts  map[uint64]*structs.Attempt
	Teams     map[string]*teamUsage
	Requests  map[string]*structs.Request
	Instances map[string]*structs.Instance
}

// Store is the state of a data centre group. Reads may run concurrently with one
// writer (Apply or Restore).
type Store struct {
	mu       sync.RWMutex
	data     data
	due      dueQueue
	observer Observer
}

// New returns an empty store that notifies the observer.
func New(observer Observer) *Store {
	return &Store{data: newData(), observer: observer}
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
	s.data.Index = index
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
		s.data.Epoch++
		return &Result{Epoch: s.data.Epoch}
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

// team returns the usage of a team, which is created if it does not exist.
func (s *Store) team(name string) *teamUsage {
	t := s.data.Teams[name]
	if t == nil {
		t = &teamUsage{Given: map[uint64]structs.Resources{}}
		s.data.Teams[name] = t
	}
	return t
}
