// Package routing decides which instance serves a call, counts the slots that
// this entry hands out, queues the calls that wait for a slot, and holds the
// retry budget and the admission of calls by team. It has no I/O and starts no
// goroutine; the caller passes the time.
package routing
