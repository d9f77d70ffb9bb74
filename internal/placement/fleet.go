package placement

import (
	"time"

	"laburnumgrade/internal/structs"
)

// Worker describes a worker as far as placement needs it.
type Worker struct {
	ID string
	// Incarnation tells restarts of the worker apart. Placement only stores it.
	Incarnation uint64
	Rack        string
	Capacity    structs.Resources
	// Speed is the speed relative to that of a nominal worker; 0 means 1.
	Speed float64
	// Leaving and Lost exclude the worker from new work.
	Leaving bool
	Lost    bool
	// Probation excludes the worker from new work, except for one trial task if
	// TrialDue is set.
	Probation bool
	TrialDue  bool
}

// Slot identifies a worker within a Fleet. It is stable until the worker is
// removed and its last committed task is released.
type Slot int32

// NoSlot stands for no worker.
const NoSlot Slot = -1

// Hold reserves a worker for one owner. Other tasks may use the worker only as
// backfill, that is, if they are predicted not to delay the owner.
type Hold struct {
	// Owner is an identifier of the caller's; 0 means no hold.
	Owner uint64
	// BackfillUntil is when other tasks must be predicted to have ended.
	BackfillUntil time.Duration
	// Spare is what the owner is predicted to leave unused. Other tasks that fit
	// into it may run beyond BackfillUntil.
	Spare structs.Resources
}

// permits reports whether r may use a worker with this hold.
func (h *Hold) permits(r *Request) bool {
	return h.Owner == 0 || h.Owner == r.Owner || r.End <= h.BackfillUntil || r.Size.Fits(h.Spare)
}

// node is the state of a slot.
type node struct {
	Worker
	committed structs.Resources
	tasks     int32 // number of sizes in committed
	hold      Hold
	rack      int32 // index in Fleet.racks
	// next and prev link the workers of a cell of a grid.
	next Slot
	prev Slot
	// position is the cell in a grid, or the index in Fleet.held or Fleet.trials.
	position int32
	// pool is the index of the pool that lists the worker, or poolNone, poolHeld or
	// poolTrial.
	pool    int8
	inRack  bool
	live    bool // the slot is in use
	removed bool // the worker was removed while it had tasks
}

func (n *node) free() structs.Resources { return n.Capacity.Sub(n.committed) }

func (n *node) usable() bool {
	return n.live && !n.removed && !n.Leaving && !n.Lost && !n.Probation
}

// Fleet mirrors the workers and what is committed to each. It is not safe for
// concurrent use.
type Fleet struct {
	nodes     []node // by slot
	byID      map[string]Slot
	freeSlots []Slot
	racks     [][]Slot // workers by rack
	rackByID  map[string]int32
	pools     [poolCount]*grid // usable workers without a hold
	held      []Slot           // usable workers with a hold
	trials    []Slot           // workers on probation with a due trial
	shapes    map[structs.Resources]int
	total     structs.Resources
	largest   structs.Resources
	// rackCursor and heldCursor are where the last visit of racks and held ended.
	rackCursor int
	heldCursor int
	version    uint64
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

// Upsert adds a worker or replaces its description. What is committed to it and
// its hold are kept.
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
	f.removeFromIndex(s)
	if n.live && !n.removed {
		f.countShape(n.Capacity, -1)
	}
	f.leaveRack(s)
	n.Worker = w
	n.live = true
	n.removed = false
	f.countShape(w.Capacity, 1)
	f.joinRack(s)
	f.addToIndex(s)
	f.version++
	return s
}

// Remove removes a worker and its hold. Its slot is reused only after everything
// committed to it has been released; until then Upsert of the same ID continues
// with it.
func (f *Fleet) Remove(id string) {
	s, known := f.byID[id]
	if !known || f.nodes[s].removed {
		return
	}
	f.removeFromIndex(s)
	f.leaveRack(s)
	n := &f.nodes[s]
	n.removed = true
	n.hold = Hold{}
	f.countShape(n.Capacity, -1)
	f.reclaim(s)
}

// Lookup returns the slot of a worker, or false if there is no such worker.
func (f *Fleet) Lookup(id string) (Slot, bool) {
	s, known := f.byID[id]
	if !known || f.nodes[s].removed {
		return NoSlot, false
	}
	return s, true
}

// Worker returns the description of the worker at s. The caller must not change
// it.
func (f *Fleet) Worker(s Slot) *Worker { return &f.nodes[s].Worker }

// Free returns the capacity of the worker at s that is not committed. It is
// negative if capacity was reduced below what is committed.
func (f *Fleet) Free(s Slot) structs.Resources { return f.nodes[s].free() }

// Committed returns what is committed to the worker at s.
func (f *Fleet) Committed(s Slot) structs.Resources { return f.nodes[s].committed }

// Usable reports whether new work other than a trial may be placed on the worker
// at s, apart from its free size and its hold.
func (f *Fleet) Usable(s Slot) bool { return f.nodes[s].usable() }

// HoldOf returns the hold on the worker at s; the zero Hold means none.
func (f *Fleet) HoldOf(s Slot) Hold { return f.nodes[s].hold }

// Slots returns the number of slots, used or not. All slots are below it.
func (f *Fleet) Slots() int { return len(f.nodes) }

// Len returns the number of workers, with those that were removed and still have
// something committed to them.
func (f *Fleet) Len() int { return len(f.byID) }

// Total returns the capacity of all workers.
func (f *Fleet) Total() structs.Resources { return f.total }

// Version returns a number that changes whenever a task that did not fit before
// may fit.
func (f *Fleet) Version() uint64 { return f.version }

// RoomFor returns how many tasks of a size the worker at s has room for. It is 0
// if the worker is not usable; a hold is not considered.
func (f *Fleet) RoomFor(s Slot, size structs.Resources) int {
	n := &f.nodes[s]
	free := n.free()
	if !n.usable() || !size.Fits(free) {
		return 0
	}
	return int(tasksPerWorker(free, size))
}

// TrialsDue returns the number of workers on probation that may run a trial task.
func (f *Fleet) TrialsDue() int { return len(f.trials) }

// Commit adds a task of a size to the worker at s.
func (f *Fleet) Commit(s Slot, size structs.Resources) {
	n := &f.nodes[s]
	f.removeFromIndex(s)
	n.committed = n.committed.Add(size)
	n.tasks++
	f.addToIndex(s)
}

// Release removes a task of a size from the worker at s.
func (f *Fleet) Release(s Slot, size structs.Resources) {
	n := &f.nodes[s]
	f.removeFromIndex(s)
	n.committed = n.committed.Sub(size)
	n.tasks--
	f.version++
	if n.removed {
		f.reclaim(s)
		return
	}
	f.addToIndex(s)
}

// SetHold replaces the hold on the worker at s; the zero Hold ends it. It does
// nothing if the worker was removed.
func (f *Fleet) SetHold(s Slot, h Hold) {
	n := &f.nodes[s]
	if n.hold == h || n.removed {
		return
	}
	f.removeFromIndex(s)
	n.hold = h
	f.addToIndex(s)
	f.version++
}

// TakeSpare subtracts the size of r from the spare of the hold on the worker at
// s, if r is backfill that runs beyond BackfillUntil. It returns what it
// subtracted, for ReturnSpare.
func (f *Fleet) TakeSpare(s Slot, r *Request) structs.Resources {
	h := &f.nodes[s].hold
	if h.Owner == 0 || h.Owner == r.Owner || r.End <= h.BackfillUntil {
		return structs.Resources{}
	}
	h.Spare = h.Spare.Sub(r.Size)
	return r.Size
}

// ReturnSpare undoes TakeSpare, which returned size.
func (f *Fleet) ReturnSpare(s Slot, size structs.Resources) {
	h := &f.nodes[s].hold
	h.Spare = h.Spare.Add(size)
}

// ClearTrialDue records that the worker at s must not get a trial task until
// Upsert sets TrialDue again.
func (f *Fleet) ClearTrialDue(s Slot) {
	f.removeFromIndex(s)
	f.nodes[s].TrialDue = false
	f.addToIndex(s)
}

// Shapes returns the distinct capacities of the workers and the number of workers
// of each. The caller must not change the map.
func (f *Fleet) Shapes() map[structs.Resources]int { return f.shapes }

// addToIndex adds a worker to the list or pool in which Choose finds it. One that
// gets no work, or has more committed than its capacity, is in none.
func (f *Fleet) addToIndex(s Slot) {
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
		n.position = int32(len(f.held))
		f.held = append(f.held, s)
	case n.live && !n.removed && n.Probation && n.TrialDue && !n.Leaving && !n.Lost:
		n.pool = poolTrial
		n.position = int32(len(f.trials))
		f.trials = append(f.trials, s)
	}
}

func (f *Fleet) removeFromIndex(s Slot) {
	n := &f.nodes[s]
	switch {
	case n.pool == poolNone:
	case n.pool == poolHeld:
		f.held = f.removeFromList(f.held, s)
	case n.pool == poolTrial:
		f.trials = f.removeFromList(f.trials, s)
	default:
		f.pools[n.pool].remove(f.nodes, s)
	}
	n.pool = poolNone
}

// removeFromList removes the worker at s from held or trials, without keeping the
// order.
func (f *Fleet) removeFromList(list []Slot, s Slot) []Slot {
	at := f.nodes[s].position
	last := list[len(list)-1]
	list[at] = last
	f.nodes[last].position = at
	return list[:len(list)-1]
}

func (f *Fleet) allocate() Slot {
	if n := len(f.freeSlots); n > 0 {
		s := f.freeSlots[n-1]
		f.freeSlots = f.freeSlots[:n-1]
		return s
	}
	f.nodes = append(f.nodes, node{pool: poolNone, rack: -1})
	return Slot(len(f.nodes) - 1)
}

// reclaim makes the slot of a removed worker available, unless it has tasks.
func (f *Fleet) reclaim(s Slot) {
	n := &f.nodes[s]
	if n.tasks > 0 {
		return
	}
	delete(f.byID, n.ID)
	*n = node{pool: poolNone, rack: -1}
	f.freeSlots = append(f.freeSlots, s)
}

// countShape adds delta to the number of workers with a capacity and updates the
// total and the largest capacity.
func (f *Fleet) countShape(capacity structs.Resources, delta int) {
	f.shapes[capacity] += delta
	if f.shapes[capacity] == 0 {
		delete(f.shapes, capacity)
	}
	f.total = f.total.Add(capacity.Scale(int64(delta)))
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
