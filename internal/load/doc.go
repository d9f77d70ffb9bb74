// Package load sends calls and jobs to the system at planned times and measures
// their latency from the planned time. A slow answer therefore does not delay later
// arrivals, and its effect on them is measured (no coordinated omission).
//
// A Stream is a kind of work with a mean rate; Run sends groups of streams in turn
// and returns a Report of each stream. Sender and DirectCall provide the functions
// that send one call or job.
package load
