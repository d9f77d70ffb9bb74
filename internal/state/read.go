package state

import (
	"maps"
	"slices"
	"strings"

	"laburnumgrade/internal/structs"
)

// LogTime returns the log time, in ms since the Unix epoch: the clock of the group,
// which the leader advances by committed commands and which never goes back.
func (s *Store) LogTime() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.LogTime
}

// Job returns a copy of the job, which shares its payload; false if it is not known.
func (s *Store) Job(id string) (structs.Job, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	j := s.data.Jobs[id]
	if j == nil {
		return structs.Job{}, false
	}
	copied := *j
	copied.Tasks = slices.Clone(j.Tasks)
	return copied, true
}

// OpenJobs returns the sorted ids of the jobs that have not ended.
func (s *Store) OpenJobs() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var ids []string
	for id, j := range s.data.Jobs {
		if !j.Ended() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Worker returns a copy of the worker; false if it is not known.
func (s *Store) Worker(id string) (structs.Worker, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w := s.data.Workers[id]
	if w == nil {
		return structs.Worker{}, false
	}
	copied := *w
	copied.Attempts = maps.Clone(w.Attempts)
	copied.Charged = maps.Clone(w.Charged)
	return copied, true
}

// WorkerIDs returns the sorted ids of all workers.
func (s *Store) WorkerIDs() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Sorted(maps.Keys(s.data.Workers))
}

// Request returns a copy of a request's record; false if there is none.
func (s *Store) Request(id string) (structs.Request, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r := s.data.Requests[id]
	if r == nil {
		return structs.Request{}, false
	}
	return *r, true
}

// Instances returns copies of all instances, ordered by id.
func (s *Store) Instances() []structs.Instance {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]structs.Instance, 0, len(s.data.Instances))
	for _, in := range s.data.Instances {
		list = append(list, *in)
	}
	slices.SortFunc(list, func(a, b structs.Instance) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Team is the usage and the limit of a team in the data centre.
type Team struct {
	Name string
	// Running is the sum of the sizes of the team's open attempts.
	Running structs.Resources
	// Waiting is the sum of the sizes of the team's waiting tasks.
	Waiting structs.Resources
	// Allotment is the limit of Running in this data centre.
	Allotment structs.Resources
	// Grant and Transfer are the numbers of the last grant received from the
	// fleet group and of the last transfer taken out of the allotment.
	Grant        uint64
	Transfer     uint64
	WaitingTasks int
	RunningTasks int
	// FirstGiven is the lowest number of a transfer whose return to the fleet
	// group is not confirmed, 0 if there is none.
	FirstGiven uint64
}

// Teams returns all teams in order of their names.
func (s *Store) Teams() []Team {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]Team, 0, len(s.data.Teams))
	for _, name := range slices.Sorted(maps.Keys(s.data.Teams)) {
		list = append(list, s.data.Teams[name].view(name))
	}
	return list
}

// Team returns one team. A team that is not known has zero amounts.
func (s *Store) Team(name string) Team {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := s.data.Teams[name]
	if t == nil {
		return Team{Name: name}
	}
	return t.view(name)
}

func (t *teamUsage) view(name string) Team {
	first := uint64(0)
	for number := range t.Given {
		if first == 0 || number < first {
			first = number
		}
	}
	return Team{
		FirstGiven: first,
		Name:       name, Running: t.Running, Waiting: t.Waiting, Allotment: t.Allotment,
		Grant: t.Grant, Transfer: t.Transfer, WaitingTasks: t.WaitingTasks, RunningTasks: t.RunningTasks,
	}
}

// Instance returns a copy of an instance; false if it is not known.
func (s *Store) Instance(id string) (structs.Instance, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	in := s.data.Instances[id]
	if in == nil {
		return structs.Instance{}, false
	}
	return *in, true
}

// Attempt returns a copy of an open attempt; false if no open attempt has the id.
func (s *Store) Attempt(id uint64) (structs.Attempt, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a := s.data.Attempts[id]
	if a == nil {
		return structs.Attempt{}, false
	}
	return *a, true
}
