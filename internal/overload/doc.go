// Package overload decides which new jobs a cell accepts while it is offered more than it can
// run. Everything that is accepted has to be completed, so a job is accepted only if it is
// expected to complete within its objective.
//
// Load is what the cell bears and what it has accepted. Admit decides on one job. StartRate
// estimates how many task starts a second the leader can bear. Nothing in the package reads a
// clock, takes a lock or does I/O.
package overload
