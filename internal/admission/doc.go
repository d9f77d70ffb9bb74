// Package admission decides whether a data centre accepts new work. It refuses
// work that no worker, or for a gang no set of workers, could ever hold, bounds
// the waiting tasks of each document and each team, refuses work that is
// expected to start after its deadline, and under overload accepts only work of
// teams within their share of the queue.
//
// Controller counts the waiting tasks and makes the decision. Infeasible is the
// part that depends only on the capacities of the workers; the scheduler uses it
// as well, to explain why a job waits.
package admission
