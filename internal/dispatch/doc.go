// Package dispatch implements the leader of a cell. It answers client calls from
// the replicated state, plans which task runs on which worker, orders workers to
// start and stop attempts, renews the workers' leases and commits the ends of
// attempts that workers list.
//
// A Leader runs in every control process and acts only while its process holds the
// leadership. Each period of leadership is a term: it polls the state, makes plans
// with a planner and runs one session per worker incarnation. A session sends the
// orders and renews the lease. Everything that a term holds beyond the replicated
// state is rebuilt by the next leader.
//
// An incarnation is one period of operation of a worker, from its start until it
// stops or is replaced. cell.Worker.Born identifies it; a later incarnation has a
// greater value.
//
// Three rules ensure that a task never runs twice at the same time. An attempt is
// committed before its start order is sent. Every order carries a fence, which rises
// with the leader's term, and a deadline on the worker's own clock, so a worker
// rejects an order that arrives late. A committed attempt is closed only after the
// worker has listed its end, has shown that it can no longer start, or its lease has
// certainly expired on the worker's clock.
//
// Orders name a worker by its ID, so a later incarnation under the ID may carry out
// what was sent to an earlier one, and its clock starts anew. Therefore the fence rises
// with each incarnation too, a later one is called before anything is placed on it, and
// attempts that the earlier one has not certainly started pass over to it. spec/lives.pml
// models this; successor.go has the bounds.
package dispatch
