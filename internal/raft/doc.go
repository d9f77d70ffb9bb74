// Package raft implements the Raft consensus protocol as a deterministic state
// machine: elections with pre-vote, quorum commit, pipelined appends, snapshots,
// membership changes one at a time with learners, leadership transfer and a leader
// lease.
//
// A Node has no I/O, clock or goroutine of its own. Time enters by Tick and by the
// monotonic timestamps that the methods take, messages enter by Step, and
// everything to store, send or apply leaves by Ready. The caller handles a Ready
// completely and calls Advance before it calls any other method. Only applying may
// take longer: it is confirmed by Applied.
//
// The lease relies on two timers. A voter that answers a heartbeat grants no vote
// for PromiseDuration, except to a candidate to which the leader itself transfers
// leadership. The leader in turn holds its lease for LeaseDuration after it sent
// the newest heartbeat round that a quorum has answered. PromiseDuration exceeds
// LeaseDuration by the greatest drift between two clocks, so no other leader can be
// elected while a lease is valid.
//
// A replica id identifies one incarnation of a replica. A replica that lost its
// state (no disk, emptied folder) must come back under an id that was never used
// before, because a voter that has lost the record of its vote could vote twice in
// a term.
package raft
