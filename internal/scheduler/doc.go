// Package scheduler puts ordering, placement, gangs and preemption behind one
// type. The caller mirrors workers, teams, waiting jobs and running attempts
// into it by small idempotent updates, and commits the batches it plans.
package scheduler
