package dispatch

import (
	"cmp"
	"slices"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/structs"
)

// candidate is a worker as the planner sees it.
type candidate struct {
	id      string
	born    int64
	service string
	worker  *cell.Worker
	free    structs.Resources
	// factor is how much longer than expected work takes here.
	factor float64
	// doubt is the chance that the worker fails whatever it is given.
	doubt float64
	// leased is how long the worker's lease may go on if it is lost now, and busy
	// whether anything runs there.
	leased time.Duration
	busy   bool
	// serves is set if tasks with a bound on their tails run there, filling is what
	// this plan has placed of fillers.
	serves  bool
	filling structs.Resources
	// placed counts what this plan has placed there, by step.
	placed map[cell.StepKey]int
	// kept is set if the room is kept for a gang of higher rank, reserved names
	// the gang for which the last plan kept it.
	kept     bool
	reserved cell.StepKey
}

// gather fills in the workers.
func (t *term) gather(v *cell.View, p *planner) {
	for id, w := range v.Workers() {
		if !w.Usable() {
			continue
		}
		s := t.session(id, w.Born)
		if s == nil || !s.usable(p.now) || t.isCordoned(id) {
			continue
		}
		p.candidates = append(p.candidates, &candidate{
			id: id, born: w.Born, service: w.Service, worker: w, free: w.Free(), reserved: t.reserved[id],
			leased: s.leased(p.now), busy: len(w.Attempts) > 0, serves: s.serving(),
		})
	}
	p.candidates = t.speeds.describe(p.candidates, p.now)
	for _, c := range p.candidates {
		p.byID[c.id] = c
	}
	slices.SortFunc(p.candidates, func(a, b *candidate) int { return cmp.Compare(a.id, b.id) })
}

// notePlaced counts what this plan has placed of a step on the worker.
func (c *candidate) notePlaced(k cell.StepKey, n int) {
	if n == 0 {
		return
	}
	if c.placed == nil {
		c.placed = map[cell.StepKey]int{}
	}
	c.placed[k] += n
}

// crowding is what a filler pays for the processors that it has to share.
func (c *candidate) crowding(w *wish) float64 {
	unused := c.free.Sub(c.filling).Sub(w.step.Size)
	for _, a := range c.worker.Attempts {
		if a.Filler {
			unused = unused.Sub(a.Size)
		}
	}
	cost := -float64(unused.MilliCPU) / float64(max(1, c.worker.Capacity.MilliCPU))
	if c.serves {
		cost += besideCost
	}
	return cost
}

// mixes reports whether the step would put brief work under a long lease, or the
// brief work of a worker under the long lease that the step needs.
func (c *candidate) mixes(w *wish) bool {
	long := c.leased > briefLease+briefLease/10
	return w.brief && long || !w.brief && c.busy && !long
}
