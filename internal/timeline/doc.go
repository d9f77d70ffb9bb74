// Package timeline keeps the recent events of a process in memory, each with a
// hybrid logical stamp. Ring stores the events, Handler serves those that a Filter
// selects, and Merge combines the lists of several processes in causal order.
package timeline
