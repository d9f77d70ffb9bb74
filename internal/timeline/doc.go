// Package timeline keeps the recent events of a process in memory, each with a
// hybrid logical stamp, serves them, and merges the lists of several processes
// in causal order.
package timeline
