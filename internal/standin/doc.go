// Package standin emulates targets for the demo, tests and measurements: workers
// that run tasks under leases, and instances that answer calls.
//
// Behaviour sets their speed and faults. Records keeps the targets' own account of
// what ran where and when, so that tests can check the system without relying on
// what it reports about itself.
package standin
