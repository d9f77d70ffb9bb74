// Package membership decides how the replicas of a group change: which joining
// replica becomes a voter, and which one it replaces. It has no I/O.
package membership
