// Package scheduler plans which waiting task runs on which worker of a data
// centre. It combines the order of package share, the choice of workers of
// package placement, and the reservations of package gang, and adds preemption.
//
// The caller, the leader of the data centre's group, mirrors the state of the
// group into a Scheduler: workers, teams, waiting jobs and running attempts. The
// updates are idempotent. Scheduler.Plan returns a Batch of placements, rejections
// and preemptions, which the caller commits to the group, and then mirrors back
// what was committed.
//
// A plan takes the jobs in order and places what fits. A gang, a starved job, or a
// job of a team well below its share that does not fit gets a reservation: a set of
// workers, on which other jobs may run only as backfill until it can start. For an
// urgent job, interruptible attempts are preempted.
//
// FIFO is a simple scheduler for comparison in benchmarks.
//
// Times are offsets on the caller's clock.
package scheduler
