// Package host runs the replicas of one process: it finds out whether a replica
// continues from its data folder, founds its group or joins it.
package host
