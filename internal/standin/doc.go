// Package standin emulates targets for the demo, tests and measurement: workers
// that run tasks under leases, and instances that answer calls. It keeps its own
// records, which do not depend on what the system reports.
package standin
