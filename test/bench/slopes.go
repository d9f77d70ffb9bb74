package main

import (
	"fmt"
	"runtime"
	"time"
)

// heapInUse returns the heap memory in use after a garbage collection, in
// bytes.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// slopeCase measures the memory that each worker, waiting job, running task and
// team adds, and the CPU time of a decision for two sizes of the fleet.
func slopeCase(t *table) {
	const name = "slopes"
	t.add(name, "memory of an empty scheduler*", "bytes", 0, memoryPerUnit(1, func() *load { return newLoad(0, 0) }))
	t.add(name, "memory per worker*", "bytes", 0, memoryPerUnit(10_000, func() *load { return newLoad(10_000, 0) }))
	withTeams := func() *load {
		l := newLoad(0, 1000)
		for range 20_000 {
			l.submitJob(1000)
		}
		for i := range l.nextID {
			l.scheduler.RemoveJob(jobID(i + 1))
		}
		return l
	}
	t.add(name, "memory per team with three documents*", "bytes", 0, memoryPerUnit(1000, withTeams))
	l := withTeams()
	t.add(name, "memory per waiting job*", "bytes", 0, memoryPerUnit(50_000, func() *load {
		for range 50_000 {
			l.submitJob(1000)
		}
		return l
	}))
	t.add(name, "memory per running task*", "bytes", 0, memoryPerRunningTask())
	for _, workers := range []int{1_400, 14_000} {
		t.add(name, "planning per decision, workers "+thousands(workers)+"*", "ns", 0, decisionCost(workers))
	}
}

// memoryPerUnit returns the memory that grow adds, in bytes, divided by units.
func memoryPerUnit(units int, grow func() *load) float64 {
	before := heapInUse()
	l := grow()
	after := heapInUse()
	runtime.KeepAlive(l)
	return (after - before) / float64(units)
}

// memoryPerRunningTask returns the memory that each running task adds, in
// bytes.
func memoryPerRunningTask() float64 {
	l := newLoad(10_000, 1000)
	l.fill(10_000, 1000)
	before, n := heapInUse(), l.scheduler.Running()
	l.fill(60_000, 1000)
	after := heapInUse()
	slope := (after - before) / float64(l.scheduler.Running()-n)
	runtime.KeepAlive(l)
	return slope
}

// decisionCost returns the planning time per decision in a steady state, in
// nanoseconds.
func decisionCost(workers int) float64 {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	l := newLoad(workers, 100)
	l.fill(workers*scaleRunningTasks/scaleWorkers, 100)
	placed, planning := 0, time.Duration(0)
	for range 2000 {
		l.now += scalePlacementsPerPlan * time.Second / 10_000
		for range scalePlacementsPerPlan {
			l.endRandomTask()
			l.submitJob(100)
		}
		before := time.Now()
		b := l.scheduler.Plan(l.now, scalePlacementsPerPlan)
		planning += time.Since(before)
		placed += len(b.Placements)
		l.running = append(l.running, b.Placements...)
	}
	return float64(planning.Nanoseconds()) / float64(placed)
}

func jobID(n int) string { return fmt.Sprintf("j%08d", n) }

func thousands(n int) string { return fmt.Sprintf("%d,%03d", n/1000, n%1000) }
