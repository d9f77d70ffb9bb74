package process

import "runtime/debug"

// collectorShare is the share of the memory limit from which the collector works harder
// rather than let the heap grow. The rest is for buffers of the kernel that count too.
const (
	collectorShareNumerator   = 3
	collectorShareDenominator = 4
)

// LimitMemory keeps the process below a limit in bytes, 0 for none, as far as live data
// allow.
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(limit / collectorShareDenominator * collectorShareNumerator)
	}
}
