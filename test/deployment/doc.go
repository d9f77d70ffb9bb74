// Package deployment runs the programs of a cell on loopback addresses, with stand-ins for
// workers, for tests. It needs Linux.
package deployment
