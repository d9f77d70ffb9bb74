package process

import "runtime/debug"

// collectorShare is the share of the memory limit from which the collector works harder
// rather than let the heap grow. The rest is for buffers of the kernel that count too.
const (
	collectorShareNumerator   = 3
	collectorShareDenominator = 4
	callCollectorNumerator    = 5
	callCollectorDenominator  = 8
)

// LimitMemory keeps the process below a limit in bytes, 0 for none, as far as live data
// allow.
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(limit / collectorShareDenominator * collectorShareNumerator)
	}
}

// LimitCallMemory is LimitMemory for lg-entry and lg-control. The libraries for calls leave more
// garbage than the collector keeps up with when it begins at three quarters: with 64 MiB and 30,000
// streams over HTTP/2, lg-entry reaches 63 MiB. With five eighths the limit of a VM with 256 MB is
// that of lg-entry without the setting, 160 MB.
func LimitCallMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(limit / callCollectorDenominator * callCollectorNumerator)
	}
}
