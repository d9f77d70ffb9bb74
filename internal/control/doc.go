// Package control implements the service of an lg-control process. It serves the
// RPCs of the groups of which the process hosts replicas, and runs the periodic
// work of the groups that it leads: scheduling, expiry of leases, assignment of
// instance slots to entries, services, allotments and membership changes.
//
// Durable state lives in internal/state (data centre groups) and internal/fleet
// (the fleet group) and changes only through commands proposed to their logs. The
// tables in this package exist only in the leader; a new leader starts with empty
// ones. The parameter since of many functions is the time since which the process
// has led the group without interruption; it identifies the leadership.
//
// An entry (lg-entry) is a process that accepts work from clients and hands out the
// slots of instances. A worker runs tasks; an instance is a server that handles
// calls.
package control
