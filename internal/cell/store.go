package cell

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"laburnumgrade/internal/port"
	"laburnumgrade/internal/structs"
)

// Store is the state machine of a cell. It is safe for concurrent use: Apply and
// Restore take the write lock, View and Snapshot the read lock.
type Store struct {
	mu sync.RWMutex
	state
	configIndex *configurationIndex
	// teamUsage is the sum of the sizes of each team's attempts in flight, by the
	// team's name.
	teamUsage map[string]structs.Resources
	// readySteps holds the steps that have tasks which may be started now.
	readySteps map[StepKey]*StepOccurrence
	// scheduledJobs holds the active jobs that have occurrences which are not due
	// yet, by the job's id.
	scheduledJobs map[string]*Job
	// workersWithLosses holds the workers that have lost attempts, by their ids.
	workersWithLosses map[string]*Worker
	// withdrawn holds the keys of Withdrawals.
	withdrawn map[withdrawalKey]bool
	// onApplied is called with each applied command; it may be nil.
	onApplied func(*Command)
}

// state is the part of the store that a snapshot contains. Its CBOR encoding uses
// the names of the fields, also within the types that it refers to.
type state struct {
	Configuration *Configuration
	Jobs          map[string]*Job
	Workers       map[string]*Worker
	Waves         map[int64]*Wave
	// Withdrawals are the jobs that were cancelled before they were submitted, by team, the
	// oldest first. Those of public queues have no team.
	Withdrawals map[string][]Withdrawal `cbor:",omitempty"`
	// FormerTeams holds the former teams by their IDs, which stand for the name of the team in
	// Jobs, Workers and Withdrawals.
	FormerTeams map[string]*FormerTeam `cbor:",omitempty"`
	// Format is the format of the state.
	Format uint32 `cbor:",omitempty"`
	// Evacuated contains the evacuated data centres. It is omitted while there are none, as
	// in the snapshots of earlier releases.
	Evacuated map[string]bool `cbor:",omitempty"`
}

var _ port.StateMachine = (*Store)(nil)

// NewStore returns an empty store. onApplied, if not nil, is called after each
// applied command, and with an empty command after Restore. It is called without a
// lock held and must not block.
func NewStore(onApplied func(*Command)) *Store {
	s := &Store{onApplied: onApplied}
	s.replaceState(state{})
	return s
}

// replaceState replaces the state and rebuilds the indexes and sums that are
// derived from it.
func (s *Store) replaceState(st state) {
	if st.Jobs == nil {
		st.Jobs = map[string]*Job{}
	}
	if st.Workers == nil {
		st.Workers = map[string]*Worker{}
	}
	if st.Waves == nil {
		st.Waves = map[int64]*Wave{}
	}
	for _, w := range st.Waves {
		if w.Settled == nil {
			w.Settled = map[string]bool{}
		}
	}
	s.state = st
	s.configIndex = newConfigurationIndex(st.Configuration)
	s.readySteps = map[StepKey]*StepOccurrence{}
	s.scheduledJobs = map[string]*Job{}
	s.workersWithLosses = map[string]*Worker{}
	s.indexWithdrawals()
	for _, w := range s.Workers {
		w.committed, w.suspects = structs.Resources{}, 0
		if w.Attempts == nil {
			w.Attempts = map[TaskKey]Attempt{}
		}
		for _, a := range w.Attempts {
			w.addCommitted(&a)
		}
		for key := range w.Lost {
			s.addUnresolvedLoss(key, 1)
			s.workersWithLosses[w.ID] = w
		}
	}
	s.sumTeamUsage()
	for _, j := range s.Jobs {
		s.refreshReadySteps(j)
		s.refreshScheduled(j)
	}
}

// Apply implements port.StateMachine. index is the log index of the command. The
// result is a Verdict for requests of clients and operators, a []bool for Start, a
// []*Crash for Register, an error for data that is not a command, and nil otherwise.
func (s *Store) Apply(index uint64, data []byte) any {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return errors.Wrap(err, "decode command")
	}
	s.mu.Lock()
	result := s.apply(index, &c)
	s.mu.Unlock()
	if s.onApplied != nil {
		s.onApplied(&c)
	}
	return result
}

// apply applies a command. The caller holds the write lock.
func (s *Store) apply(index uint64, c *Command) any {
	switch {
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.Submit != nil:
		return s.submit(index, c.Submit)
	case c.Cancel != nil:
		return s.cancel(index, c.Cancel)
	case c.Register != nil:
		return s.register(c.Register)
	case c.Start != nil:
		return s.start(c.Start)
	case c.RecordEnds != nil:
		return s.recordEnds(c.RecordEnds)
	case c.ExpireLease != nil:
		return s.expireLease(c.ExpireLease)
	case c.OpenOccurrences != nil:
		return s.openOccurrences(c.OpenOccurrences)
	case c.DeleteJobs != nil:
		return s.deleteJobs(c.DeleteJobs)
	case c.StartWave != nil:
		return s.startWave(c.StartWave)
	case c.SettleMachine != nil:
		return s.settleMachine(c.SettleMachine)
	case c.TakeDown != nil:
		return s.takeDown(c.TakeDown)
	case c.ForgetWithdrawals != nil:
		return s.forgetWithdrawals(c.ForgetWithdrawals)
	case c.Evacuate != nil:
		return s.evacuate(c.Evacuate)
	case c.AdoptFormat != nil:
		return s.adoptFormat(c.AdoptFormat)
	}
	return errors.New("the command is empty")
}

// Snapshot implements port.StateMachine.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	data, err := cbor.Marshal(s.state)
	return data, errors.Wrap(err, "encode state of the cell")
}

// Restore implements port.StateMachine.
func (s *Store) Restore(_ uint64, snapshot []byte) error {
	var st state
	if err := cbor.Unmarshal(snapshot, &st); err != nil {
		return errors.Wrap(err, "decode state of the cell")
	}
	s.mu.Lock()
	s.replaceState(st)
	s.mu.Unlock()
	if s.onApplied != nil {
		s.onApplied(&Command{})
	}
	return nil
}

// View calls read with the read lock held.
func (s *Store) View(read func(v *View)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	read(&View{s})
}

// View gives read access to the state while the read lock is held. Values that its
// methods return must not be modified, nor used after the lock is released. Queues, the
// steps of jobs and the labels of workers never change, so these may be kept.
type View struct{ s *Store }

// Configuration returns the configuration in force, or nil if none was accepted yet.
func (v *View) Configuration() *Configuration { return v.s.Configuration }

// Job returns the job with the id, or nil if there is none.
func (v *View) Job(id string) *Job { return v.s.Jobs[id] }

// Jobs returns all jobs by their ids.
func (v *View) Jobs() map[string]*Job { return v.s.Jobs }

// Worker returns the newest incarnation of the worker with the id, or nil if there
// is none.
func (v *View) Worker(id string) *Worker { return v.s.Workers[id] }

// Workers returns the newest incarnations of all workers by their ids.
func (v *View) Workers() map[string]*Worker { return v.s.Workers }

// Ready returns the steps that have tasks which may be started now.
func (v *View) Ready() map[StepKey]*StepOccurrence { return v.s.readySteps }

// Scheduled returns the active jobs that have occurrences which are not due yet, by
// their ids.
func (v *View) Scheduled() map[string]*Job { return v.s.scheduledJobs }

// QueueOf returns the queue that a job belongs to, or nil if it is not configured.
func (v *View) QueueOf(j *Job) *Queue { return v.s.queueOf(j) }

// HasService reports whether a service is configured.
func (v *View) HasService(name string) bool { return v.s.configIndex.services[name] }

// Headroom returns the resources that a team may still start within its upper limit.
// A dimension is negative if the team exceeds its limit there, and close to the
// package's constant unlimited if the team has no limit there.
func (v *View) Headroom(team string) structs.Resources { return v.s.headroom(team) }
