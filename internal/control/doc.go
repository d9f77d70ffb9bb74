// Package control is the service of an lg-control process: it serves the
// groups that the process holds replicas of, and schedules for the data centre
// groups that it leads.
package control
