// Package dispatch is the leader's part of a cell: it answers calls from the
// replicated state, plans which task goes where, orders workers to start and
// stop attempts, keeps their leases and takes in the ends that they list.
//
// Three facts make a second run of a task impossible. An attempt is committed
// before its order is sent. Every order carries a fence, the term of the leader
// that sends it, and a deadline on the worker's own clock, so an order that is
// carried out late is refused. A committed attempt is given up only after the
// worker has listed its end, has shown that it cannot start any more, or its
// lease has certainly run out.
package dispatch
