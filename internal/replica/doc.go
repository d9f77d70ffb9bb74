// Package replica drives one replica of a replicated log (internal/raft): it
// adds the clock, storage, network and state machine.
//
// One goroutine per replica owns the core and the state machine. In each turn
// it takes everything that is queued (proposals, messages, calls), stores all
// resulting state with one sync (group commit), sends messages and applies what
// was committed.
package replica
