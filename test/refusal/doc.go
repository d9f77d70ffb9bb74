// Package refusal holds a soak that runs the programs of a cell on loopback addresses and
// checks that no job runs that was rejected. It needs Linux.
package refusal
