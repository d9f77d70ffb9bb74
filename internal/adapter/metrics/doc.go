// Package metrics provides the tally scope of a process and serves its values
// in the Prometheus text format. tally's own Prometheus reporter is not used
// because it brings the whole Prometheus client.
package metrics
