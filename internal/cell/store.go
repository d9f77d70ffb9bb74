package cell

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"laburnumgrade/internal/port"
	"laburnumgrade/internal/structs"
)

// Store is the state machine of a cell. Readers hold the read lock.
type Store struct {
	mu sync.RWMutex
	state
	index *index
	// usage is what each team has running.
	usage map[string]structs.Resources
	// ready holds the steps with tasks that may be started now.
	ready map[StepKey]*StepOccurrence
	// scheduled holds the jobs with occurrences that are not due yet.
	scheduled map[string]*Job
	// applied is called with each applied command, nil if nothing listens.
	applied func(*Command)
}

// state is what a snapshot holds.
type state struct {
	Configuration *Configuration
	Jobs          map[string]*Job
	Workers       map[string]*Worker
	Waves         map[int64]*Wave
}

var _ port.StateMachine = (*Store)(nil)

// NewStore returns an empty state. The function, if any, is called after each
// command was applied, without a lock held; it must not block.
func NewStore(applied func(*Command)) *Store {
	s := &Store{applied: applied}
	s.reset(state{})
	return s
}

// reset replaces the state and rebuilds what is derived from it.
func (s *Store) reset(st state) {
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
	s.index = newIndex(st.Configuration)
	s.usage = map[string]structs.Resources{}
	s.ready = map[StepKey]*StepOccurrence{}
	s.scheduled = map[string]*Job{}
	for _, w := range s.Workers {
		w.used = structs.Resources{}
		if w.Attempts == nil {
			w.Attempts = map[TaskKey]Attempt{}
		}
		for _, a := range w.Attempts {
			w.used = w.used.Add(a.claim())
			s.usage[a.Team] = s.usage[a.Team].Add(a.Size)
		}
	}
	for _, j := range s.Jobs {
		s.refresh(j)
		s.indexScheduled(j)
	}
}

// Apply implements port.StateMachine.
func (s *Store) Apply(index uint64, data []byte) any {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return errors.Wrap(err, "decode command")
	}
	s.mu.Lock()
	result := s.apply(index, &c)
	s.mu.Unlock()
	if s.applied != nil {
		s.applied(&c)
	}
	return result
}

func (s *Store) apply(index uint64, c *Command) any {
	switch {
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.Submit != nil:
		return s.submit(index, c.Submit)
	case c.Cancel != nil:
		return s.cancel(c.Cancel)
	case c.Register != nil:
		return s.register(c.Register)
	case c.Start != nil:
		return s.start(c.Start)
	case c.RecordEnds != nil:
		return s.note(c.RecordEnds)
	case c.ExpireLease != nil:
		return s.lapse(c.ExpireLease)
	case c.OpenOccurrences != nil:
		return s.openDue(c.OpenOccurrences)
	case c.DeleteJobs != nil:
		return s.forget(c.DeleteJobs)
	case c.StartWave != nil:
		return s.startWave(c.StartWave)
	case c.SettleMachine != nil:
		return s.settle(c.SettleMachine)
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
	s.reset(st)
	s.mu.Unlock()
	if s.applied != nil {
		s.applied(&Command{})
	}
	return nil
}

// View gives read access to the state.
func (s *Store) View(read func(v *View)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	read(&View{s})
}

// View is the state under the read lock. What it returns must neither be
// changed nor kept.
type View struct{ s *Store }

// Configuration returns the configuration in force, nil before the first.
func (v *View) Configuration() *Configuration { return v.s.Configuration }

// Job returns a job, nil if it is not known.
func (v *View) Job(id string) *Job { return v.s.Jobs[id] }

// Jobs returns all jobs.
func (v *View) Jobs() map[string]*Job { return v.s.Jobs }

// Worker returns a worker, nil if it is not known.
func (v *View) Worker(id string) *Worker { return v.s.Workers[id] }

// Workers returns all workers.
func (v *View) Workers() map[string]*Worker { return v.s.Workers }

// Ready returns the steps that have tasks to start.
func (v *View) Ready() map[StepKey]*StepOccurrence { return v.s.ready }

// Scheduled returns the jobs with occurrences that are not due yet.
func (v *View) Scheduled() map[string]*Job { return v.s.scheduled }

// Queue returns a queue by name, nil if it is not configured.
func (v *View) Queue(name string) *Queue { return v.s.index.byName[name] }

// HasService reports whether a service is configured.
func (v *View) HasService(name string) bool { return v.s.index.services[name] }

// Headroom returns what a team may still start; a negative dimension says that
// its limit is exceeded. Unlimited dimensions are set to unlimited.
func (v *View) Headroom(team string) structs.Resources { return v.s.headroom(team) }
