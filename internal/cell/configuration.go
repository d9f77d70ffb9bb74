package cell

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"laburnumgrade/internal/structs"
)

// Configuration is the configuration of a cell, which operators replace as a whole. A
// configuration takes effect only if its version is higher than the current one.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	Limits   RequestLimits
	// Source is the configuration as the operator sent it. Reading the configuration
	// returns exactly these bytes.
	Source []byte
}

// Queue accepts jobs under a host and a path prefix and runs them on the workers of
// one service.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority orders the queues; 0 is the highest priority.
	Priority int
	// MaxFailures is the number of failures of one task, or of one gang, at which the
	// job fails; less than 1 counts as 1.
	MaxFailures int `cbor:"Attempts"`
	// TimeoutMS is the timeout of a request to the queue, in milliseconds. It is checked
	// to be positive and stored, but the gateway does not apply it.
	TimeoutMS int64
	// The target for the time until a job is complete is Stretch times the duration of
	// the longest chain of dependent steps, plus ObjectiveMS milliseconds.
	Stretch     float64
	ObjectiveMS int64
	// Advice is set if the advice service decides which workers may run a step of the
	// queue.
	Advice *AdviceTerms
	// Public queues accept requests without a valid key.
	Public bool `cbor:"Open"`
}

// queuePath identifies a queue to its clients, which do not know its name.
type queuePath struct{ host, prefix string }

func (q *Queue) path() queuePath { return queuePath{q.Host, q.Prefix} }

// AdviceTerms states the duration of a call to the advice service, which is DecideMS
// plus PerWorkerMS for each worker in the request, and how long its answer is valid,
// all in milliseconds.
type AdviceTerms struct {
	DecideMS    float64
	PerWorkerMS float64
	ValidityMS  int64
}

// Cost returns the expected duration of a call that asks about the given number of
// workers.
func (t *AdviceTerms) Cost(workers int) time.Duration {
	return time.Duration((t.DecideMS + t.PerWorkerMS*float64(workers)) * float64(time.Millisecond))
}

// Service is a pool of workers that run the tasks of its queues. The fields other than
// Name are stored; the scheduler does not use them.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one worker.
	MaxConnections int
	// ChecksAdmission is set if the workers themselves refuse tasks that exceed their
	// capacity.
	ChecksAdmission bool
	Standby         bool
}

// Team is a customer. Its clients use its keys. Weight is its share against other teams
// while the cell is overloaded.
type Team struct {
	Name   string
	Keys   []string
	Weight float64
	// Limit is the upper limit for the sum of the sizes of the team's attempts in
	// flight; a dimension of 0 is unlimited.
	Limit structs.Resources
}

// RequestLimits are limits for the requests of clients. The value 0 stands for the
// server's default. They are stored; the gateway does not apply them.
type RequestLimits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMS int64
	IdleTimeoutMS   int64
}

// Validate returns an error that states the first fault found in the configuration,
// or nil.
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
	queueAt, names := map[string]string{}, map[string]bool{}
	for _, q := range c.Queues {
		route := q.Host + " " + q.Prefix
		switch {
		case q.Name == "" || names[q.Name]:
			return errors.Errorf("queue %q is unnamed or defined twice", q.Name)
		case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
			return errors.Errorf("queue %q has host %q and prefix %q", q.Name, q.Host, q.Prefix)
		case !services[q.Service]:
			return errors.Errorf("queue %q names unknown service %q", q.Name, q.Service)
		case q.TimeoutMS <= 0:
			return errors.Errorf("queue %q has timeout %d ms", q.Name, q.TimeoutMS)
		case queueAt[route] != "":
			return errors.Errorf("queues %q and %q share host %q and prefix %q", queueAt[route], q.Name, q.Host, q.Prefix)
		}
		queueAt[route], names[q.Name] = q.Name, true
	}
	return nil
}

func (c *Configuration) validateTeams() error {
	owners, names := map[string]string{}, map[string]bool{}
	for _, t := range c.Teams {
		switch {
		case t.Name == "" || names[t.Name]:
			return errors.Errorf("team %q is unnamed or defined twice", t.Name)
		case strings.Contains(t.Name, formerTeamSeparator):
			return errors.Errorf("the name of team %q contains a zero byte", t.Name)
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

// configurationIndex looks up the entries of a configuration. teamsByKey has the teams
// by their clients' keys.
type configurationIndex struct {
	queuesByHost map[string][]*Queue
	queuesByName map[string]*Queue
	queuesByPath map[queuePath]*Queue
	services     map[string]bool
	teamsByKey   map[string]*Team
	teamsByName  map[string]*Team
}

// newConfigurationIndex returns the index of a configuration, which may be nil.
func newConfigurationIndex(c *Configuration) *configurationIndex {
	x := &configurationIndex{
		queuesByHost: map[string][]*Queue{}, queuesByName: map[string]*Queue{}, queuesByPath: map[queuePath]*Queue{}, services: map[string]bool{},
		teamsByKey: map[string]*Team{}, teamsByName: map[string]*Team{},
	}
	if c == nil {
		return x
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		x.queuesByHost[q.Host] = append(x.queuesByHost[q.Host], q)
		x.queuesByName[q.Name] = q
		x.queuesByPath[q.path()] = q
	}
	for _, s := range c.Services {
		x.services[s.Name] = true
	}
	for i := range c.Teams {
		t := &c.Teams[i]
		x.teamsByName[t.Name] = t
		for _, k := range t.Keys {
			x.teamsByKey[k] = t
		}
	}
	return x
}

// find returns the queue at the host and prefix. If there is none, or they are not known, it
// returns the queue with the name, nil if there is none.
func (x *configurationIndex) find(path queuePath, name string) *Queue {
	if q := x.queuesByPath[path]; q != nil {
		return q
	}
	return x.queuesByName[name]
}

// resolve returns the queue of the host with the longest prefix that matches the path,
// and the rest of the path. It returns nil if no queue matches.
func (x *configurationIndex) resolve(host, path string) (*Queue, string) {
	var best *Queue
	for _, q := range x.queuesByHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}
