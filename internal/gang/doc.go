// Package gang decides when work that needs several workers at once can start,
// and which other work may use those workers until then.
//
// A waiting gang holds nothing. It reserves a set of workers that will be able
// to hold all its tasks at a predicted time; all tasks are placed in one
// decision. A worker is reserved for one gang at a time and a set is reserved
// whole or not at all, so two gangs never wait for each other's half.
package gang
