package placement

import (
	"math/bits"

	"laburnumgrade/internal/structs"
)

// Levels of the index by free size. Each doubling of the processors is divided
// into 8 levels and each doubling of the memory into 4. The free size of a worker
// in a higher level than the request is always large enough; in the same level it
// may be slightly too small.
const (
	cpuFirstBit  = 6 // 64 thousandths of a core
	cpuSteps     = 3 // log2 of the number of levels per doubling
	cpuLevels    = 96
	memFirstBit  = 24 // 16 MiB
	memSteps     = 2
	memLevels    = 72
	memWords     = (memLevels + 63) / 64
	cpuWords     = (cpuLevels + 63) / 64
	accelLevels  = 17 // 0 to 15 devices, then 16 or more
	cellsPerGrid = cpuLevels * memLevels
)

// Workers are listed in pools by speed and by whether they have accelerators. A
// task that needs no accelerators is placed on a worker with accelerators only
// if none was found without.
const (
	speedTiers           = 3
	poolCount            = 2 * speedTiers
	poolNone        int8 = -1
	poolHeld        int8 = -2
	poolTrial       int8 = -3
	minFastSpeed         = 1.25
	minNominalSpeed      = 0.8
	firstAccelPool       = speedTiers
)

func poolOf(w *Worker) int8 {
	tier := int8(1)
	switch {
	case w.Speed >= minFastSpeed:
		tier = 0
	case w.Speed < minNominalSpeed:
		tier = 2
	}
	if w.Capacity.Accelerators > 0 {
		return tier + firstAccelPool
	}
	return tier
}

// level returns the logarithmic level of v: 0 below 2^firstBit, then 2^steps
// levels per doubling, up to levels-1.
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

// grid lists the workers of a pool in cells by the levels of their free
// accelerators, processors and memory. Bitmaps of the cells in use make the cost
// of a search independent of the number of workers. A cell is a circular list
// linked through the nodes.
type grid struct {
	accelLevels int      // 1 in a pool without accelerators
	heads       []Slot   // by cell: [accel][cpu][mem]
	mem         []uint64 // bitmaps of memory levels in use, [accel][cpu][memWords]
	cpu         []uint64 // bitmaps of processor levels in use, [accel][cpuWords]
}

func newGrid(pool int) *grid {
	g := &grid{accelLevels: 1}
	if pool >= firstAccelPool {
		g.accelLevels = accelLevels
	}
	g.mem = make([]uint64, g.accelLevels*cpuLevels*memWords)
	g.cpu = make([]uint64, g.accelLevels*cpuWords)
	return g
}

// allocate creates the heads of all cells. It is called for the first worker of a
// pool, because most data centres have workers in few of the pools.
func (g *grid) allocate() {
	g.heads = make([]Slot, g.accelLevels*cellsPerGrid)
	for i := range g.heads {
		g.heads[i] = NoSlot
	}
}

func (g *grid) insert(nodes []node, s Slot, free structs.Resources) {
	if g.heads == nil {
		g.allocate()
	}
	a := min(accelLevel(free.Accelerators), g.accelLevels-1)
	c := cpuLevel(free.MilliCPU)
	m := memLevel(free.MemoryBytes)
	cell := (a*cpuLevels+c)*memLevels + m
	n := &nodes[s]
	n.position = int32(cell)
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
	cell := int(n.position)
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

// Limits that bound the cost of a search.
const (
	candidatesPerPool = 12
	candidatesPerCell = 3
	// probesPerCell bounds the workers examined in a cell. A cell of the same level
	// as the request can contain workers that are slightly too small. If none of
	// those examined is accepted, the next search of the cell starts after them,
	// so it finds a worker that this one missed.
	probesPerCell = 32
)

// search calls visit for workers that may have room for size, until visit has
// accepted candidatesPerPool workers. It starts with the lowest levels of free
// accelerators, then of processors, then of memory.
func (g *grid) search(nodes []node, size structs.Resources, visit func(Slot) bool) {
	if size.Accelerators > 0 && g.accelLevels == 1 {
		return
	}
	found := 0
	c0 := cpuLevel(size.MilliCPU)
	m0 := memLevel(size.MemoryBytes)
	for a := accelLevel(size.Accelerators); a < g.accelLevels; a++ {
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

// probe calls visit for workers of a cell that is in use and returns how many of
// them visit accepted.
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
