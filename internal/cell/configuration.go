package cell

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"laburnumgrade/internal/structs"
)

// Configuration is what operators put as a whole. The highest version wins.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	Limits   RequestLimits
	// Source is the configuration as the operator sent it; it is read back
	// byte for byte.
	Source []byte
}

// Queue accepts jobs under a host and a path prefix for one service.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 is served first.
	Priority int
	// MaxFailures is how often a task may fail before its job fails.
	MaxFailures int `cbor:"Attempts"`
	// TimeoutMS bounds a request to the queue, in milliseconds.
	TimeoutMS int64
	// Stretch times the longest chain of work, plus ObjectiveMS, is the time in
	// which a job is meant to be complete.
	Stretch     float64
	ObjectiveMS int64
	// Advice is set if only some workers may run a step of the queue.
	Advice *AdviceTerms
	// Public queues take jobs without a key.
	Public bool `cbor:"Open"`
}

// AdviceTerms state what a call for advice costs, in milliseconds.
type AdviceTerms struct {
	DecideMS    float64
	PerWorkerMS float64
	ValidityMS  int64
}

// Cost returns how long a call that names so many workers takes.
func (t *AdviceTerms) Cost(workers int) time.Duration {
	return time.Duration((t.DecideMS + t.PerWorkerMS*float64(workers)) * float64(time.Millisecond))
}

// Service is a pool of workers.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one worker.
	MaxConnections int
	// ChecksAdmission is set if workers refuse what does not fit.
	ChecksAdmission bool
	Standby         bool
}

// Team owns keys and has a share and an upper limit.
type Team struct {
	Name   string
	Keys   []string
	Weight float64
	// Limit bounds what the team has running; a dimension of 0 is unlimited.
	Limit structs.Resources
}

// RequestLimits bound what a client may send, in bytes and milliseconds; 0
// means the server's default.
type RequestLimits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMS int64
	IdleTimeoutMS   int64
}

// Validate returns why the configuration cannot be put in force.
func (c *Configuration) Validate() error {
	if c.Version <= 0 {
		return errors.Errorf("version %d is not positive", c.Version)
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return errors.Errorf("service %q is unnamed or defined twice", s.Name)
		}
		services[s.Name] = true
	}
	if err := c.validateQueues(services); err != nil {
		return err
	}
	return c.validateTeams()
}

func (c *Configuration) validateQueues(services map[string]bool) error {
	places, names := map[string]string{}, map[string]bool{}
	for _, q := range c.Queues {
		place := q.Host + " " + q.Prefix
		switch {
		case q.Name == "" || names[q.Name]:
			return errors.Errorf("queue %q is unnamed or defined twice", q.Name)
		case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
			return errors.Errorf("queue %q has host %q and prefix %q", q.Name, q.Host, q.Prefix)
		case !services[q.Service]:
			return errors.Errorf("queue %q names unknown service %q", q.Name, q.Service)
		case q.TimeoutMS <= 0:
			return errors.Errorf("queue %q has timeout %d ms", q.Name, q.TimeoutMS)
		case places[place] != "":
			return errors.Errorf("queues %q and %q share host %q and prefix %q", places[place], q.Name, q.Host, q.Prefix)
		}
		places[place], names[q.Name] = q.Name, true
	}
	return nil
}

func (c *Configuration) validateTeams() error {
	owners, names := map[string]string{}, map[string]bool{}
	for _, t := range c.Teams {
		if t.Name == "" || names[t.Name] {
			return errors.Errorf("team %q is unnamed or defined twice", t.Name)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if owner, taken := owners[k]; taken && owner != t.Name {
				return errors.Errorf("teams %q and %q share a key", owner, t.Name)
			}
			owners[k] = t.Name
		}
	}
	return nil
}

// index finds queues by place and teams by key.
type index struct {
	byHost   map[string][]*Queue
	byName   map[string]*Queue
	services map[string]bool
	owners   map[string]*Team
	teams    map[string]*Team
}

func newIndex(c *Configuration) *index {
	x := &index{
		byHost: map[string][]*Queue{}, byName: map[string]*Queue{}, services: map[string]bool{},
		owners: map[string]*Team{}, teams: map[string]*Team{},
	}
	if c == nil {
		return x
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		x.byHost[q.Host] = append(x.byHost[q.Host], q)
		x.byName[q.Name] = q
	}
	for _, s := range c.Services {
		x.services[s.Name] = true
	}
	for i := range c.Teams {
		t := &c.Teams[i]
		x.teams[t.Name] = t
		for _, k := range t.Keys {
			x.owners[k] = t
		}
	}
	return x
}

// resolve returns the queue with the longest prefix of the path, and the rest
// of the path.
func (x *index) resolve(host, path string) (*Queue, string) {
	var best *Queue
	for _, q := range x.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}
