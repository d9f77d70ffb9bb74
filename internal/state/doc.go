// Package state is the replicated state machine of a data centre group: workers,
// jobs and their attempts, team allotments, records of requests and service
// instances. Apply runs the commands of the group's log, so it must be
// deterministic: it reads no clock and no random source. Time enters as the log
// time, which the leader advances by AdvanceTime commands.
//
// All resources of the data centre's workers are committed here. Every plan is
// checked against the state when it is applied, so the scheduler may plan from a
// stale copy: a placement that no longer fits is refused.
//
// The state is encoded with encoding/gob in snapshots, so the fields of the
// stored types (data, teamUsage and those of package structs) keep their names.
// Refusals and task details also reach clients and workers.
package state
