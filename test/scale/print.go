package main

import (
	"fmt"
	"time"
)

const header = "workers tasks/worker starts/s | control CPU  entry CPU  (cores) | control MB entry MB | per worker: msg/s  B/s out   B/s in  control CPU%  control+entry CPU%"

func (r *result) row() string {
	n := float64(r.workers)
	tasks := float64(r.tasks)
	if r.rate > 0 {
		tasks = r.placements * r.runTime.Seconds() / n
	}
	return fmt.Sprintf("%7d %12.1f %8.1f | %11.3f %10.3f          | %10.1f %8.1f | %17.2f %8.0f %8.0f %13.4f %19.4f",
		r.workers, tasks, r.placements, r.controlCPU, r.entryCPU, mb(r.controlMemory), mb(r.entryMemory),
		r.messages/n, r.sent/n, r.received/n, 100*r.controlCPU/n, 100*(r.controlCPU+r.entryCPU)/n)
}

func mb(bytes int64) float64 { return float64(bytes) / 1e6 }

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(time.Millisecond)
}

func (r *result) printLoaded() {
	fmt.Printf("loaded: %d jobs started, %d refused, %d failed or not started; submission to start p50 %v p99 %v max %v; urgent (%d) p50 %v max %v\n",
		len(r.waits), r.refused, r.failed, quantile(r.waits, 0.5), quantile(r.waits, 0.99), quantile(r.waits, 1),
		len(r.urgent), quantile(r.urgent, 0.5), quantile(r.urgent, 1))
	fmt.Printf("the worker with the most bytes exchanged %.0f B/s in both directions\n", r.maxWorkerBytesPerSecond)
	fmt.Printf("targets: 2000 B/s per worker (mean): %s; 1.1%% of a core per worker: %s; 256 MB: %s; urgent within 6.1 s: %s\n",
		met((r.sent+r.received)/float64(r.workers) <= 2000), met(100*(r.controlCPU+r.entryCPU)/float64(r.workers) <= 1.1),
		met(max(mb(r.controlMemory), mb(r.entryMemory)) <= 256), met(len(r.urgent) > 0 && quantile(r.urgent, 1) <= 6100*time.Millisecond))
}

func met(ok bool) string {
	if ok {
		return "met"
	}
	return "not met"
}

// printSlopes prints the cost per worker, task and placement, from differences
// between points. The points are in the order of run: the loaded one; 100, 300
// and all workers with 4 tasks each; all workers with 1 and with 16 tasks each.
func printSlopes(r []*result) {
	loaded, small, large, one, many := r[0], r[1], r[3], r[4], r[5]
	workers := float64(large.workers - small.workers)
	tasks := float64(many.tasks-one.tasks) * float64(many.workers)
	fmt.Printf("per worker with 4 tasks: control CPU %.5f cores, entry CPU %.5f cores, control memory %.1f KB, entry memory %.1f KB\n",
		(large.controlCPU-small.controlCPU)/workers, (large.entryCPU-small.entryCPU)/workers,
		float64(large.controlMemory-small.controlMemory)/workers/1e3, float64(large.entryMemory-small.entryMemory)/workers/1e3)
	fmt.Printf("per running task: control CPU %.6f cores, entry CPU %.6f cores, control memory %.2f KB, %.1f B/s on the wire\n",
		(many.controlCPU-one.controlCPU)/tasks, (many.entryCPU-one.entryCPU)/tasks, float64(many.controlMemory-one.controlMemory)/tasks/1e3,
		(many.sent+many.received-one.sent-one.received)/tasks)
	if loaded.placements > 0 {
		fmt.Printf("per placement (submission, start and end, against %d workers with 4 tasks and no starts): control CPU %.3f ms, entry CPU %.3f ms\n",
			large.workers, 1e3*(loaded.controlCPU-large.controlCPU)/loaded.placements, 1e3*(loaded.entryCPU-large.entryCPU)/loaded.placements)
	}
}
