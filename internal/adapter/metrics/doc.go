// Package metrics provides the root tally scope of a process and an HTTP
// handler that serves its values in the Prometheus text format. The Prometheus
// reporter of tally is not used because it depends on the whole Prometheus
// client.
package metrics
