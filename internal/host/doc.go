// Package host runs the replicas of one process, one for each group. For each of them
// it determines whether the replica continues from its data folder, bootstraps its
// group or joins it, and it connects the replicas to those of other processes.
package host
