// Package control implements the service of an lg-control process. It serves the
// RPCs of the groups of which the process hosts replicas, and runs the periodic
// work of the groups that it leads: scheduling, expiry of leases, assignment of
// instance slots to entries, services, allotments and membership changes.
//
// Durable state lives in internal/state (data centre groups) and internal/fleet
// (the fleet group) and changes only through commands proposed to their logs. The
// tables in this package are the leader's own; a new leader rebuilds them.
package control
