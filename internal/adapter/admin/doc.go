// Package admin runs the HTTP server on the admin address of a process. It
// serves the metrics, the time line of events, the liveness and readiness
// checks, and Go profiles. Requests are not authenticated, so the address must
// be reachable by operators only.
package admin
