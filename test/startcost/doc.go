// Package startcost measures the processor time that the leader of a cell uses for each start of
// a task, with real processes and simulated workers. With -startcost.base it compares the
// programs of another version in the same run; with -startcost.profile it writes a processor
// profile and its division by part. It needs Linux.
package startcost
