// Package routing decides which instance serves a call.
//
// The control process assigns each instance to one entry, which alone grants the
// instance's slots. Table counts the slots that this entry grants, queues the
// calls that wait for one, forwards calls to other entries when that is expected
// to be faster, and keeps the retry budget of each service. Admission limits the
// calls in progress and divides them between the teams.
//
// The package does no I/O and starts no goroutines. Callers pass the time, by the
// monotonic clock of the entry.
package routing
