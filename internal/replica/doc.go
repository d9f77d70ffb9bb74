// Package replica drives a replica of a group's log.
package replica
