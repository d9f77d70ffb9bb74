package admission

import (
	"fmt"
	"time"

	"laburnumgrade/internal/structs"
)

// Limits bound the number of waiting tasks of a data centre.
type Limits struct {
	// Total is the number of waiting tasks that is divided between the teams by
	// weight. The part of a team is its entitlement.
	Total int
	// OverloadFraction is the part of Total above which teams beyond their
	// entitlement are refused. Below it a team may exceed its entitlement and use
	// what other teams leave.
	OverloadFraction float64
	// PerTeam bounds the waiting tasks of one team at all times.
	PerTeam int
}

// DefaultLimits returns the default limits of a data centre.
func DefaultLimits() Limits {
	return Limits{Total: 200_000, OverloadFraction: 0.8, PerTeam: 100_000}
}

// queueKey identifies the queue of a document, which describes a team's service.
type queueKey struct {
	team    string
	service string
}

type team struct {
	weight  float64
	waiting int
	starts  startRate
}

// Controller decides on admission and counts the waiting tasks. It is not safe
// for concurrent use. Admission keeps the number of waiting tasks at or below
// Total x (1 + OverloadFraction): above Total x OverloadFraction only teams
// within their entitlement are admitted, and the entitlements add up to Total.
type Controller struct {
	limits   Limits
	workers  Capacities
	teams    map[string]*team
	services map[queueKey]int
	weights  float64
	waiting  int
}

// NewController returns a controller without teams that reads the capacities of
// the workers from workers at each decision.
func NewController(limits Limits, workers Capacities) *Controller {
	return &Controller{limits: limits, workers: workers, teams: map[string]*team{}, services: map[queueKey]int{}}
}

// SetTeam sets a team's weight. Its entitlement is Limits.Total times its weight
// over the sum of the weights of all teams.
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

// Refusal is the reason why work is not accepted.
type Refusal struct {
	// Reason is a message for the submitter; it starts with "not run: ".
	Reason string
	// Infeasible is set if the present workers could not hold the work even if
	// they were empty, so that a retry is refused as well.
	Infeasible bool
}

// Error implements error by returning the reason.
func (r *Refusal) Error() string { return r.Reason }

// Admit returns nil and counts the tasks as waiting, or returns why the work is
// refused and counts nothing. deadline is the time from now within which the
// first task must start; 0 means none.
func (c *Controller) Admit(spec *structs.WorkSpec, tasks int, deadline, now time.Duration) *Refusal {
	atOnce := 1
	if spec.Class == structs.ClassGang {
		atOnce = tasks
	}
	if reason, never := Infeasible(c.workers, spec.Size, atOnce); never {
		return &Refusal{Reason: reason, Infeasible: true}
	}
	if reason := c.queueFull(spec, tasks); reason != "" {
		return &Refusal{Reason: reason}
	}
	if reason := c.tooLate(spec, deadline, now); reason != "" {
		return &Refusal{Reason: reason}
	}
	c.count(spec, tasks)
	return nil
}

// queueFull returns why the queues have no room for the tasks, or "".
func (c *Controller) queueFull(spec *structs.WorkSpec, tasks int) string {
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

// entitlement returns the number of waiting tasks that a team may have under
// overload.
func (c *Controller) entitlement(t *team) int {
	if c.weights <= 0 {
		return 0
	}
	return int(float64(c.limits.Total) * t.weight / c.weights)
}

// tooLate returns why the work is expected to start after its deadline, or "".
func (c *Controller) tooLate(spec *structs.WorkSpec, deadline, now time.Duration) string {
	t := c.team(spec.Team)
	wait, known := t.starts.estimateWait(t.waiting, now)
	if deadline <= 0 || !known || wait <= deadline {
		return ""
	}
	return fmt.Sprintf("not run: team %q has %d tasks waiting, about %v of work; the deadline is in %v",
		spec.Team, t.waiting, wait.Round(time.Millisecond), deadline)
}

// count adds tasks to the number of waiting tasks; it may be negative.
func (c *Controller) count(spec *structs.WorkSpec, tasks int) {
	key := queueKey{spec.Team, spec.Service}
	c.waiting += tasks
	c.team(spec.Team).waiting += tasks
	c.services[key] += tasks
	if c.services[key] == 0 {
		delete(c.services, key)
	}
}

// Started records that waiting tasks started. They count towards the start rate
// from which the waiting time of new work is estimated.
func (c *Controller) Started(spec *structs.WorkSpec, tasks int, now time.Duration) {
	c.team(spec.Team).starts.add(tasks, now)
	c.count(spec, -tasks)
}

// Removed records that waiting tasks left the queue without starting.
func (c *Controller) Removed(spec *structs.WorkSpec, tasks int) { c.count(spec, -tasks) }

// Requeued records that tasks wait again after an attempt, or are counted for
// the first time after they were accepted. It never refuses them, because their
// job has been accepted before.
func (c *Controller) Requeued(spec *structs.WorkSpec, tasks int) { c.count(spec, tasks) }

// Waiting returns the number of waiting tasks.
func (c *Controller) Waiting() int { return c.waiting }
