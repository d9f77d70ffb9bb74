// Package cell is the replicated state of one scheduling cell: the configuration
// that operators put, the jobs with their steps and tasks, and the workers with
// the attempts committed to them. Commands are checked when they are applied, so
// a plan made on an older view cannot overcommit a worker, exceed a team's upper
// limit or start a task twice. The package has no I/O, clock or goroutine.
package cell
