// Package lease defines the durations of leases and the tables in which their
// granters record them. The clocks of a granter and a holder may run at rates
// that differ by at most MaxClockDriftPercent. A holder counts its lease from
// when it sent the request, the granter from when it granted the lease, so a
// delayed reply cannot make the holder use the lease after the granter has
// ended it.
//
// Table serves leases of one duration (workers, instances, slots). ConfigTable
// serves configuration leases and also records which index each holder has
// applied.
package lease

import "time"

const (
	// MaxClockDriftPercent is the largest assumed difference between the rates of
	// two clocks.
	MaxClockDriftPercent = 1
	// WorkerDuration is how long a worker may run its tasks after it sent the
	// heartbeat that renewed its lease.
	WorkerDuration = 4 * time.Second
	// StopMargin is the time that a worker has for stopping its tasks before its
	// lease expires. The lease duration sent to workers is shorter by it.
	StopMargin = 200 * time.Millisecond
	// ConfigDuration is how long a process may serve under its copy of the
	// configuration after it sent the request that renewed its lease.
	ConfigDuration = 1500 * time.Millisecond
	// SlotDuration is how long an entry may hand out the slots of its instances
	// after it sent the request that renewed its lease.
	SlotDuration = 3 * time.Second
	// InstanceDuration is how long an announcement of an instance stays valid
	// after it arrived.
	InstanceDuration = 2 * time.Second
)

// AddDriftMargin returns the time, by the granter's clock, after which a lease
// of the given length has expired by the holder's clock, even if that clock runs
// slow by the allowed drift.
func AddDriftMargin(length time.Duration) time.Duration {
	return length + length*MaxClockDriftPercent/100 + time.Millisecond
}
