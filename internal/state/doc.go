// Package state is the replicated state machine of a data centre group. It
// decides all commitments on the data centre's workers: every plan is checked
// against the state when it is applied, so a scheduler may work on a stale copy.
package state
