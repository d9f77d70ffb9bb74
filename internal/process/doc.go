// Package process holds the parts that the long-running processes have in
// common.
//
// Start builds a Process for lg-control and lg-entry: logger, metrics, time
// line, HTTP client and admin server. NewTelemetry builds the smaller Telemetry
// for lg-cell and lg-gateway, which serve their metrics themselves. The other
// functions handle shutdown signals, start and stop the HTTP servers, and reload
// settings files.
package process
