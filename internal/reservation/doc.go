// Package reservation decides when and where a gang finds room on workers that are in
// use, and which other work may start there before it.
//
// The load that it answers is large gangs among many small tasks on a full fleet. Room
// for a gang appears on one worker after the other as tasks end. If each piece went to
// the next small task, the gang would never start; if whole workers were kept free for
// it, most of their room would be unused until the last piece is there. A Timeline
// therefore knows when the tasks on a worker should end and from when gangs have
// reserved a part of it. Earliest finds the earliest time at which enough workers have
// room together, and work that ends before that time may still start.
//
// The package reads no clock and does no I/O. All times are on the caller's clock.
package reservation
