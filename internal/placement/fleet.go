package placement

import (
	"time"

	"laburnumgrade/internal/structs"
)

// Worker is what placement knows about a worker.
type Worker struct {
	ID          string
	Incarnation uint64
	Rack        string
	Capacity    structs.Resources
	// Speed is the learned speed relative to a nominal worker; 0 means 1.
	Speed   float64
	Leaving bool
	Lost    bool
	// Probation keeps new work away, except for one trial task if TrialDue is set.
	Probation bool
	TrialDue  bool
}

// Slot identifies a worker within a Fleet. It is stable until the worker is
// removed and its last committed task is released.
type Slot int32

// NoSlot is the absence of a worker.
const NoSlot Slot = -1

// Hold keeps a worker for one owner from a point in time; other work may use
// the worker if it is predicted to end by then, or within what the owner is
// predicted to leave.
type Hold struct {
	Owner         uint64
	BackfillUntil time.Duration
	Spare         structs.Resources
}

// permits reports whether r may use a worker with this hold.
func (h *Hold) permits(r *Request) bool {
	return h.Owner == 0 || h.Owner == r.Owner || r.End <= h.BackfillUntil || r.Size.Fits(h.Spare)
}

type node struct {
	Worker
	committed structs.Resources
	tasks     int32
	hold      Hold
	rack      int32
	next      Slot
	prev      Slot
	cell      int32
	pool      int8
	inRack    bool
	live      bool
	removed   bool
}

func (n *node) free() structs.Resources { return n.Capacity.Sub(n.committed) }

func (n *node) usable() bool {
	return n.live && !n.removed && !n.Leaving && !n.Lost && !n.Probation
}

// Fleet mirrors the workers and what is committed to each. It has one owner.
type Fleet struct {
	nodes    []node
	byID     map[string]Slot
	unused   []Slot
	racks    [][]Slot
	rackByID map[string]int32
	pools    [poolCount]*grid
	held     []Slot
	trials   []Slot
	shapes   map[structs.Resources]int
	total    structs.Resources
	largest  structs.Resources
	rackTurn int
	heldTurn int
	version  uint64
}

// NewFleet returns a fleet without workers.
func NewFleet() *Fleet {
	f := &Fleet{
		byID:     map[string]Slot{},
		rackByID: map[string]int32{},
		shapes:   map[structs.Resources]int{},
	}
	for i := range f.pools {
		f.pools[i] = newGrid(i)
	}
	return f
}

// Upsert adds a worker or replaces what is known about it. Committed work and
// holds are kept.
func (f *Fleet) Upsert(w Worker) Slot {
	if w.Speed <= 0 {
		w.Speed = 1
	}
	s, known := f.byID[w.ID]
	if !known {
		s = f.allocate()
		f.byID[w.ID] = s
	}
	n := &f.nodes[s]
	f.detach(s)
	if n.live && !n.removed {
		f.countShape(n.Capacity, -1)
	}
	f.leaveRack(s)
	n.Worker = w
	n.live = true
	n.removed = false
	f.countShape(w.Capacity, 1)
	f.joinRack(s)
	f.attach(s)
	f.version++
	return s
}

// Remove forgets a worker. Its slot remains until committed work is released.
func (f *Fleet) Remove(id string) {
	s, known := f.byID[id]
	if !known || f.nodes[s].removed {
		return
	}
	f.detach(s)
	f.leaveRack(s)
	n := &f.nodes[s]
	n.removed = true
	n.hold = Hold{}
	f.countShape(n.Capacity, -1)
	f.reclaim(s)
}

// Lookup returns the slot of a worker.
func (f *Fleet) Lookup(id string) (Slot, bool) {
	s, known := f.byID[id]
	if !known || f.nodes[s].removed {
		return NoSlot, false
	}
	return s, true
}

// Worker returns what is known about the worker at s.
func (f *Fleet) Worker(s Slot) *Worker { return &f.nodes[s].Worker }

// Free returns the capacity of the worker at s that is not committed. It is
// negative if capacity was reduced below what is committed.
func (f *Fleet) Free(s Slot) structs.Resources { return f.nodes[s].free() }

// Committed returns what is committed to the worker at s.
func (f *Fleet) Committed(s Slot) structs.Resources { return f.nodes[s].committed }

// Usable reports whether ordinary new work may be placed on the worker at s.
func (f *Fleet) Usable(s Slot) bool { return f.nodes[s].usable() }

// HoldOf returns the hold on the worker at s; the zero Hold means none.
func (f *Fleet) HoldOf(s Slot) Hold { return f.nodes[s].hold }

// Slots returns the number of slots; valid slots are below it.
func (f *Fleet) Slots() int { return len(f.nodes) }

// Len returns the number of workers.
func (f *Fleet) Len() int { return len(f.byID) }

// Total returns the capacity of all workers.
func (f *Fleet) Total() structs.Resources { return f.total }

// Version changes whenever a task that did not fit before may fit.
func (f *Fleet) Version() uint64 { return f.version }

// RoomFor returns how many tasks of a size the usable worker at s has room for.
func (f *Fleet) RoomFor(s Slot, size structs.Resources) int {
	n := &f.nodes[s]
	free := n.free()
	if !n.usable() || !size.Fits(free) {
		return 0
	}
	return int(tasksPer(free, size))
}

// TrialsDue returns the number of workers on probation that may run a trial.
func (f *Fleet) TrialsDue() int { return len(f.trials) }

// Commit adds a task of a size to the worker at s.
func (f *Fleet) Commit(s Slot, size structs.Resources) {
	n := &f.nodes[s]
	f.detach(s)
	n.committed = n.committed.Add(size)
	n.tasks++
	f.attach(s)
}

// Release removes a task of a size from the worker at s.
func (f *Fleet) Release(s Slot, size structs.Resources) {
	n := &f.nodes[s]
	f.detach(s)
	n.committed = n.committed.Sub(size)
	n.tasks--
	f.version++
	if n.removed {
		f.reclaim(s)
		return
	}
	f.attach(s)
}

// SetHold keeps the worker at s for an owner; the zero Hold ends the hold.
func (f *Fleet) SetHold(s Slot, h Hold) {
	n := &f.nodes[s]
	if n.hold == h || n.removed {
		return
	}
	f.detach(s)
	n.hold = h
	f.attach(s)
	f.version++
}

// TakeSpare takes what r uses of a hold for another owner beyond its start, and
// returns it, for ReturnSpare.
func (f *Fleet) TakeSpare(s Slot, r *Request) structs.Resources {
	h := &f.nodes[s].hold
	if h.Owner == 0 || h.Owner == r.Owner || r.End <= h.BackfillUntil {
		return structs.Resources{}
	}
	h.Spare = h.Spare.Sub(r.Size)
	return r.Size
}

// ReturnSpare undoes TakeSpare.
func (f *Fleet) ReturnSpare(s Slot, size structs.Resources) {
	h := &f.nodes[s].hold
	h.Spare = h.Spare.Add(size)
}

// ClearTrialDue ends the permission of a worker on probation to run a trial.
func (f *Fleet) ClearTrialDue(s Slot) {
	f.detach(s)
	f.nodes[s].TrialDue = false
	f.attach(s)
}

// Shapes returns the distinct capacities of the workers and their number.
func (f *Fleet) Shapes() map[structs.Resources]int { return f.shapes }

// attach enters a worker into the one list that its state calls for.
func (f *Fleet) attach(s Slot) {
	n := &f.nodes[s]
	n.pool = poolNone
	free := n.free()
	if free.MilliCPU < 0 || free.MemoryBytes < 0 || free.Accelerators < 0 {
		return
	}
	switch {
	case n.usable() && n.hold.Owner == 0:
		n.pool = poolOf(&n.Worker)
		f.pools[n.pool].insert(f.nodes, s, free)
	case n.usable():
		n.pool = poolHeld
		n.cell = int32(len(f.held))
		f.held = append(f.held, s)
	case n.live && !n.removed && n.Probation && n.TrialDue && !n.Leaving && !n.Lost:
		n.pool = poolTrial
		n.cell = int32(len(f.trials))
		f.trials = append(f.trials, s)
	}
}

func (f *Fleet) detach(s Slot) {
	n := &f.nodes[s]
	switch {
	case n.pool == poolNone:
	case n.pool == poolHeld:
		f.held = f.dropFrom(f.held, s)
	case n.pool == poolTrial:
		f.trials = f.dropFrom(f.trials, s)
	default:
		f.pools[n.pool].remove(f.nodes, s)
	}
	n.pool = poolNone
}

func (f *Fleet) dropFrom(list []Slot, s Slot) []Slot {
	at := f.nodes[s].cell
	last := list[len(list)-1]
	list[at] = last
	f.nodes[last].cell = at
	return list[:len(list)-1]
}

func (f *Fleet) allocate() Slot {
	if n := len(f.unused); n > 0 {
		s := f.unused[n-1]
		f.unused = f.unused[:n-1]
		return s
	}
	f.nodes = append(f.nodes, node{pool: poolNone, rack: -1})
	return Slot(len(f.nodes) - 1)
}

func (f *Fleet) reclaim(s Slot) {
	n := &f.nodes[s]
	if n.tasks > 0 {
		return
	}
	delete(f.byID, n.ID)
	*n = node{pool: poolNone, rack: -1}
	f.unused = append(f.unused, s)
}

func (f *Fleet) countShape(capacity structs.Resources, by int) {
	f.shapes[capacity] += by
	if f.shapes[capacity] == 0 {
		delete(f.shapes, capacity)
	}
	f.total = f.total.Add(capacity.Scale(int64(by)))
	f.largest = structs.Resources{}
	for shape := range f.shapes {
		f.largest = f.largest.Max(shape)
	}
}

func (f *Fleet) joinRack(s Slot) {
	n := &f.nodes[s]
	r, known := f.rackByID[n.Rack]
	if !known {
		r = int32(len(f.racks))
		f.rackByID[n.Rack] = r
		f.racks = append(f.racks, nil)
	}
	n.rack = r
	n.inRack = true
	f.racks[r] = append(f.racks[r], s)
}

func (f *Fleet) leaveRack(s Slot) {
	n := &f.nodes[s]
	if !n.inRack {
		return
	}
	members := f.racks[n.rack]
	for i, m := range members {
		if m == s {
			f.racks[n.rack] = append(members[:i], members[i+1:]...)
			break
		}
	}
	n.inRack = false
}
