// Package cellnode runs a control process of a cell: its replica of the cell's
// group, founded from the seeds or joined, the repair of the group's membership
// and the calls of other processes.
package cellnode
