// Package health separates faulty workers from faulty jobs by the results of
// tasks: a worker on which several different jobs fail in a row is put on
// probation, and a job that fails on several different workers is stopped. A
// worker on probation gets single trial tasks and returns to service after enough
// of them have succeeded.
//
// Monitor keeps the failures and decides. Backoff computes the delays between
// trials and between restarts of a task. Budget bounds the rate of restarts.
//
// Times are offsets on the caller's clock.
package health
