// Package share decides in which order waiting work is placed.
//
// Work is ordered by Rank first. Within a rank, Policy computes a score from the
// time that a job has waited, the run time that History predicts for it, and the
// share of the capacity that its team uses according to Ledger, by weighted
// dominant-resource fairness. One weight sets the balance between waiting time
// and fairness.
//
// Times are offsets on the caller's clock.
package share
