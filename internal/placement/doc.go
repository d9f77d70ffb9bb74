// Package placement chooses the worker of a task: it filters the workers that
// can hold the task and scores the rest. An index by free size keeps the cost
// of a choice independent of the number of workers.
package placement
