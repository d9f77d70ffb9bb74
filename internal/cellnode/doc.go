// Package cellnode runs a control process of a cell. A Node contains a replica of the
// cell's Raft group, the scheduler of internal/dispatch, which works while the replica
// leads, and the HTTP handler for the calls of other processes.
//
// The first replicas bootstrap the group from the configured seeds; later ones join it: they
// announce themselves to the leader, which adds them to the group and replaces voters
// that have failed. A leader whose disk is slow transfers leadership.
package cellnode
