// Package cell implements the replicated state machine of one scheduling cell: the
// configuration set by operators, the jobs with their steps and tasks, the workers
// with the attempts committed to them, the waves of machine upkeep and the data
// centres that are evacuated.
//
// A Command is encoded with Encode, replicated through the log, and applied by
// Store.Apply on every replica in log order. Each command is checked against the
// state when it is applied, so a plan that was made on an older view cannot
// overcommit a worker, exceed a team's upper limit or start a task twice. Readers
// use Store.View.
//
// A job consists of steps, a step of equal tasks. A scheduled job runs all of its
// steps several times; each of these is an occurrence. Every attempt to execute a
// task has a run number (Run), which grows with each attempt of the task and is
// the same for all tasks of a gang. A worker that restarts is a new incarnation
// under the same id, told apart by its start time (Born).
//
// The package performs no I/O, reads no clock and starts no goroutine, so that all
// replicas reach the same state.
package cell
