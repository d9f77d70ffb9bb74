// Package replica runs one replica of a replicated log. It connects the consensus
// core (package raft) with the clock, the storage, the network and the state
// machine.
//
// One goroutine per replica owns the core. In each turn it takes everything that is
// queued (proposals, messages, calls), stores the resulting state with one sync (group
// commit), sends messages and hands the committed entries to a second goroutine, which
// owns the state machine. Heartbeats are also sent and answered while the state is being
// stored. A slow state machine or disk therefore delays no heartbeats. Other
// goroutines read a view of the core that is published in each turn.
//
// While the disk is full, the replica neither leads nor campaigns, and tells others only what
// it has stored; see file full.go.
package replica
