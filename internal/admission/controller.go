package admission

import (
	"fmt"
	"time"

	"laburnumgrade/internal/structs"
)

// Limits bound the waiting tasks of a data centre.
type Limits struct {
	// Total is the number of waiting tasks that the teams' entitlements add up
	// to. A team's entitlement is its share of Total.
	Total int
	// OverloadFraction is the part of Total from which teams beyond their entitlement are
	// refused. Up to there a team may use what others leave.
	OverloadFraction float64
	// PerTeam bounds the waiting tasks of one team at all times.
	PerTeam int
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{Total: 200_000, OverloadFraction: 0.8, PerTeam: 100_000}
}

// queueKey identifies the queue of a document.
type queueKey struct {
	team    string
	service string
}

type team struct {
	weight  float64
	waiting int
	drain   drain
}

// Controller decides on admission. It has one owner. The number of waiting
// tasks is at most Total x (1 + Overload): beyond Overload only teams within
// their entitlement are admitted, and entitlements add up to Total.
type Controller struct {
	limits   Limits
	workers  Capacities
	teams    map[string]*team
	services map[queueKey]int
	weights  float64
	waiting  int
}

// NewController returns a controller for the given workers.
func NewController(limits Limits, workers Capacities) *Controller {
	return &Controller{limits: limits, workers: workers, teams: map[string]*team{}, services: map[queueKey]int{}}
}

// SetTeam sets a team's share, relative to the sum over all teams.
func (c *Controller) SetTeam(name string, weight float64) {
	t := c.team(name)
	c.weights += weight - t.weight
	t.weight = weight
}

func (c *Controller) team(name string) *team {
	t, known := c.teams[name]
	if !known {
		t = &team{}
		c.teams[name] = t
	}
	return t
}

// Refusal is why work is not accepted. It is an answer of kind "not run".
type Refusal struct {
	Reason string
	// Infeasible is set if waiting or trying again cannot help while the workers stay
	// as they are.
	Infeasible bool
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }

// Admit returns nil and counts the tasks as waiting, or says why the work is
// refused. deadline is the time within which a task must start; 0 means none.
func (c *Controller) Admit(spec *structs.WorkSpec, tasks int, deadline, now time.Duration) *Refusal {
	atOnce := 1
	if spec.Class == structs.ClassGang {
		atOnce = tasks
	}
	if reason, never := Infeasible(c.workers, spec.Size, atOnce); never {
		return &Refusal{Reason: reason, Infeasible: true}
	}
	if reason := c.full(spec, tasks); reason != "" {
		return &Refusal{Reason: reason}
	}
	if reason := c.tooLate(spec, deadline, now); reason != "" {
		return &Refusal{Reason: reason}
	}
	c.count(spec, tasks)
	return nil
}

func (c *Controller) full(spec *structs.WorkSpec, tasks int) string {
	t := c.team(spec.Team)
	queued := c.services[queueKey{spec.Team, spec.Service}]
	switch {
	case spec.QueueLimit > 0 && queued+tasks > spec.QueueLimit:
		return fmt.Sprintf("not run: %d tasks of service %q wait; its queue holds %d", queued, spec.Service, spec.QueueLimit)
	case t.waiting+tasks > c.limits.PerTeam:
		return fmt.Sprintf("not run: %d tasks of team %q wait; a team's queue holds %d", t.waiting, spec.Team, c.limits.PerTeam)
	}
	entitled := c.entitlement(t)
	overloaded := float64(c.waiting+tasks) > c.limits.OverloadFraction*float64(c.limits.Total)
	if overloaded && t.waiting+tasks > entitled {
		return fmt.Sprintf("not run: overloaded with %d waiting tasks; team %q has %d waiting, its share is %d",
			c.waiting, spec.Team, t.waiting, entitled)
	}
	return ""
}

func (c *Controller) entitlement(t *team) int {
	if c.weights <= 0 {
		return 0
	}
	return int(float64(c.limits.Total) * t.weight / c.weights)
}

func (c *Controller) tooLate(spec *structs.WorkSpec, deadline, now time.Duration) string {
	t := c.team(spec.Team)
	wait, known := t.drain.wait(t.waiting, now)
	if deadline <= 0 || !known || wait <= deadline {
		return ""
	}
	return fmt.Sprintf("not run: team %q has %d tasks waiting, about %v of work; the deadline is in %v",
		spec.Team, t.waiting, wait.Round(time.Millisecond), deadline)
}

func (c *Controller) count(spec *structs.WorkSpec, tasks int) {
	key := queueKey{spec.Team, spec.Service}
	c.waiting += tasks
	c.team(spec.Team).waiting += tasks
	c.services[key] += tasks
	if c.services[key] == 0 {
		delete(c.services, key)
	}
}

// Started counts tasks that wait no longer because they started.
func (c *Controller) Started(spec *structs.WorkSpec, tasks int, now time.Duration) {
	c.team(spec.Team).drain.add(tasks, now)
	c.count(spec, -tasks)
}

// Removed counts tasks that wait no longer for another reason.
func (c *Controller) Removed(spec *structs.WorkSpec, tasks int) { c.count(spec, -tasks) }

// Requeued counts tasks that wait again after an attempt; they are always
// admitted, because they were accepted before.
func (c *Controller) Requeued(spec *structs.WorkSpec, tasks int) { c.count(spec, tasks) }

// Waiting returns the number of waiting tasks.
func (c *Controller) Waiting() int { return c.waiting }
