// Package process holds what every process of the system has besides its
// services: logger, metrics, time line, admin server and shutdown signals.
package process
