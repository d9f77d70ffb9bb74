// Package lease holds the arithmetic of leases between processes whose clocks
// run at rates that differ by a bounded drift. The holder counts from when it
// asked, the granter from when it granted, so a delayed reply is always safe.
package lease

import "time"

const (
	// MaxClockDriftPercent bounds how far the rates of two clocks differ.
	MaxClockDriftPercent = 1
	// WorkerDuration is how long a worker may run its tasks after it asked.
	WorkerDuration = 4 * time.Second
	// StopMargin is how long before the end of its lease a worker begins to stop
	// its tasks, since stopping takes time; it is told a lease shorter by it.
	StopMargin = 200 * time.Millisecond
	// ConfigDuration is how long a process may serve under a configuration.
	ConfigDuration = 1500 * time.Millisecond
	// SlotDuration is how long an entry may hand out an instance's slots.
	SlotDuration = 3 * time.Second
	// InstanceDuration is how long an announcement of an instance stays valid.
	InstanceDuration = 2 * time.Second
)

// AddDriftMargin returns the time after which a lease of the length has surely run out
// by the holder's clock, counted by the granter's.
func AddDriftMargin(length time.Duration) time.Duration {
	return length + length*MaxClockDriftPercent/100 + time.Millisecond
}
