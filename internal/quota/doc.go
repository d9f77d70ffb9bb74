// Package quota divides a team's limit, which holds over all data centres,
// between them, and selects attempts to end or throttle when a limit or a
// worker's capacity falls below what is running.
//
// The part of the limit that a data centre holds is the team's allotment there.
// The leader of the fleet group calls Divide to find what to grant to each data
// centre and what to ask back. The leader of each data centre group calls
// Reconcile to bring its allotment in line. Because grants and returns are
// numbered and committed on both sides, the allotments of all data centres never
// add up to more than the limit, whatever messages are lost or repeated.
package quota
