// Package membership decides how the replicas of a group change: which joining replica
// becomes a voter, and which voter it replaces. It does no I/O: the group's leader builds a
// View, calls Next, and carries out the returned Change.
package membership
