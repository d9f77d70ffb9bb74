// Package raft is the deterministic core of a replicated log: elections with
// pre-vote, quorum commit, pipelined appends, snapshots, one-at-a-time
// membership change with learners, leadership transfer and a leader lease.
//
// The core has no I/O, clock or goroutine. Time enters as Tick and as the
// monotonic timestamps passed to it, messages enter by Step, and everything to
// persist, send or apply leaves by Ready. The caller handles a Ready completely
// and calls Advance before it calls any other method.
//
// A replica id names one incarnation of a replica. A replica that lost its
// state (no disk, emptied folder) must come back under an id that was never
// used before: the core cannot tell a forgetful voter from a new one.
package raft
