package metrics

import (
	"bytes"
	"fmt"
	"runtime/metrics"
	"syscall"
)

// writeProcessMetrics writes the goroutines, memory and CPU time of the process
// itself, which are the overhead of the control plane on a VM.
func writeProcessMetrics(out *bytes.Buffer) {
	samples := []metrics.Sample{
		{Name: "/sched/goroutines:goroutines"},
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
	}
	metrics.Read(samples)
	names := []string{"go_goroutines", "go_memory_total_bytes", "go_memory_heap_bytes"}
	for i, name := range names {
		fmt.Fprintf(out, "# TYPE %s gauge\n", name)
		writeSample(out, name, "", float64(samples[i].Value.Uint64()))
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return
	}
	seconds := float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
	out.WriteString("# TYPE process_cpu_seconds_total counter\n")
	writeSample(out, "process_cpu_seconds_total", "", seconds)
}
