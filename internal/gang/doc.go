// Package gang decides when work that needs several workers at once can start,
// and which other work may use those workers until then.
//
// A waiting gang has no resources committed to it. EarliestReservation selects
// a set of workers that are predicted to have room for all its tasks at one
// time, and the caller then places all tasks in one decision. The caller
// reserves a worker for at most one gang at a time, and the workers of a
// reservation all together or not at all, so two gangs cannot deadlock with
// each holding some of the workers that the other needs.
//
// BackfillEnd, BackfillOverdue and ExpectedEnd decide how other work may use
// reserved workers until the reservation starts.
//
// Times are offsets on the caller's clock.
package gang
