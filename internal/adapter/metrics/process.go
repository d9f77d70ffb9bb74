package metrics

import (
	"bytes"
	"fmt"
	"runtime/metrics"
	"syscall"
)

// writeProcess adds the process's own use of its VM, which is the control
// overhead.
func writeProcess(out *bytes.Buffer) {
	samples := []metrics.Sample{
		{Name: "/sched/goroutines:goroutines"},
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
	}
	metrics.Read(samples)
	names := []string{"go_goroutines", "go_memory_total_bytes", "go_memory_heap_bytes"}
	for i, name := range names {
		fmt.Fprintf(out, "# TYPE %s gauge\n", name)
		line(out, name, "", float64(samples[i].Value.Uint64()))
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return
	}
	seconds := float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
	out.WriteString("# TYPE process_cpu_seconds_total counter\n")
	line(out, "process_cpu_seconds_total", "", seconds)
}
