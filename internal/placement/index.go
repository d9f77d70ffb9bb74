package placement

import (
	"math/bits"

	"laburnumgrade/internal/structs"
)

// Levels of the index by free size. A level spans an eighth of an octave of
// processors or a quarter of an octave of memory, so that the free size of a
// worker in a higher level than the request is certainly large enough.
const (
	cpuFirstBit  = 6 // 64 thousandths of a core
	cpuSteps     = 3 // log2 of the levels per octave
	cpuLevels    = 96
	memFirstBit  = 24 // 16 MiB
	memSteps     = 2
	memLevels    = 72
	memWords     = (memLevels + 63) / 64
	cpuWords     = (cpuLevels + 63) / 64
	accelLevels  = 17 // 0 to 15 devices, then 16 or more
	cellsPerGrid = cpuLevels * memLevels
)

// Pools separate workers by speed and by whether they have accelerators, so
// that work without accelerators reaches the latter last.
const (
	speedTiers       = 3
	poolCount        = 2 * speedTiers
	poolNone    int8 = -1
	poolHeld    int8 = -2
	poolTrial   int8 = -3
	fastSpeed        = 1.25
	slowSpeed        = 0.8
	accelOffset      = speedTiers
)

func poolOf(w *Worker) int8 {
	tier := int8(1)
	switch {
	case w.Speed >= fastSpeed:
		tier = 0
	case w.Speed < slowSpeed:
		tier = 2
	}
	if w.Capacity.Accelerators > 0 {
		return tier + accelOffset
	}
	return tier
}

// level returns the logarithmic level of v.
func level(v int64, firstBit, steps, levels int) int {
	if v < 1<<firstBit {
		return 0
	}
	exp := bits.Len64(uint64(v)) - 1
	step := int(v>>(exp-steps)) & (1<<steps - 1)
	return min((exp-firstBit)<<steps+step, levels-1)
}

func cpuLevel(v int64) int { return level(v, cpuFirstBit, cpuSteps, cpuLevels) }
func memLevel(v int64) int { return level(v, memFirstBit, memSteps, memLevels) }
func accelLevel(v int64) int {
	return int(min(max(v, 0), accelLevels-1))
}

// grid lists workers in cells by free accelerators, processors and memory.
// Bitmaps of the cells in use make the search independent of the number of
// workers. A cell is a circular list threaded through the nodes.
type grid struct {
	accels int
	heads  []Slot
	mem    []uint64 // [accel][cpu][memWords]
	cpu    []uint64 // [accel][cpuWords]
}

func newGrid(pool int) *grid {
	g := &grid{accels: 1}
	if pool >= accelOffset {
		g.accels = accelLevels
	}
	g.mem = make([]uint64, g.accels*cpuLevels*memWords)
	g.cpu = make([]uint64, g.accels*cpuWords)
	return g
}

// allocate makes the heads of all cells. A grid gets them with its first worker,
// because most data centres use few of the pools.
func (g *grid) allocate() {
	g.heads = make([]Slot, g.accels*cellsPerGrid)
	for i := range g.heads {
		g.heads[i] = NoSlot
	}
}

func (g *grid) insert(nodes []node, s Slot, free structs.Resources) {
	if g.heads == nil {
		g.allocate()
	}
	a := min(accelLevel(free.Accelerators), g.accels-1)
	c := cpuLevel(free.MilliCPU)
	m := memLevel(free.MemoryBytes)
	cell := (a*cpuLevels+c)*memLevels + m
	n := &nodes[s]
	n.cell = int32(cell)
	head := g.heads[cell]
	if head == NoSlot {
		n.next = s
		n.prev = s
		g.heads[cell] = s
		g.mem[(a*cpuLevels+c)*memWords+m/64] |= 1 << (m % 64)
		g.cpu[a*cpuWords+c/64] |= 1 << (c % 64)
		return
	}
	n.next = head
	n.prev = nodes[head].prev
	nodes[n.prev].next = s
	nodes[head].prev = s
}

func (g *grid) remove(nodes []node, s Slot) {
	n := &nodes[s]
	cell := int(n.cell)
	if n.next != s {
		nodes[n.prev].next = n.next
		nodes[n.next].prev = n.prev
		if g.heads[cell] == s {
			g.heads[cell] = n.next
		}
		return
	}
	g.heads[cell] = NoSlot
	m := cell % memLevels
	row := cell / memLevels
	g.mem[row*memWords+m/64] &^= 1 << (m % 64)
	for _, word := range g.mem[row*memWords : (row+1)*memWords] {
		if word != 0 {
			return
		}
	}
	c := row % cpuLevels
	g.cpu[row/cpuLevels*cpuWords+c/64] &^= 1 << (c % 64)
}

// Search limits. They bound the cost of a choice.
const (
	candidatesPerPool = 12
	candidatesPerCell = 3
	// A cell at the level of the request itself can hold workers that are a
	// little too small. The cell's list is turned by the workers probed, so a
	// fit that one search misses is found by a later one.
	probesPerCell = 32
)

// search calls visit for workers whose free size may hold size, smallest free
// accelerators and then processors first, until visit has accepted
// candidatesPerPool workers.
func (g *grid) search(nodes []node, size structs.Resources, visit func(Slot) bool) {
	if size.Accelerators > 0 && g.accels == 1 {
		return
	}
	found := 0
	c0 := cpuLevel(size.MilliCPU)
	m0 := memLevel(size.MemoryBytes)
	for a := accelLevel(size.Accelerators); a < g.accels; a++ {
		for c := nextBit(g.cpu[a*cpuWords:(a+1)*cpuWords], c0); c >= 0; c = nextBit(g.cpu[a*cpuWords:(a+1)*cpuWords], c+1) {
			row := a*cpuLevels + c
			words := g.mem[row*memWords : (row+1)*memWords]
			for m := nextBit(words, m0); m >= 0; m = nextBit(words, m+1) {
				found += g.probe(nodes, row*memLevels+m, visit)
				if found >= candidatesPerPool {
					return
				}
			}
		}
	}
}

func (g *grid) probe(nodes []node, cell int, visit func(Slot) bool) int {
	head := g.heads[cell]
	s := head
	accepted := 0
	for range probesPerCell {
		if visit(s) {
			accepted++
		}
		s = nodes[s].next
		if s == head || accepted == candidatesPerCell {
			break
		}
	}
	if accepted == 0 {
		g.heads[cell] = s
	}
	return accepted
}

// nextBit returns the lowest set bit at or above from, or -1.
func nextBit(words []uint64, from int) int {
	for w := from / 64; w < len(words); w++ {
		word := words[w]
		if w == from/64 {
			word &= ^uint64(0) << (from % 64)
		}
		if word != 0 {
			return w*64 + bits.TrailingZeros64(word)
		}
	}
	return -1
}
