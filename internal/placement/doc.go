// Package placement mirrors the workers of a data centre with what is committed
// to each, and chooses a worker for a task.
//
// Fleet.Choose takes a bounded number of candidates that can hold the task from
// an index by free size, and returns the one with the best score. Its cost
// therefore does not depend on the number of workers. The score prefers workers
// that the task fills well, fast workers for long-waiting tasks, and, for a
// service, racks and workers that run few tasks of it.
//
// A Hold reserves a worker for one owner. Only tasks of the owner, and tasks that
// do not delay it, are placed there.
//
// FirstFit, RandomFit and PowerOfK are simpler algorithms for comparison in
// benchmarks.
package placement
