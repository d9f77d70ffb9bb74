// Package fleet is the replicated state machine of the fleet group: documents,
// keys and the division of each team's upper limit into allotments. The same
// state, fed with changes instead of commands, is each process's copy of the
// configuration.
package fleet
