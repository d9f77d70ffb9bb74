// Package lives holds a soak that runs the programs of a cell on loopback addresses while
// workers crash and start again under their IDs, and checks on the workers' own account that no
// task runs twice and that none is lost. It needs Linux.
package lives
