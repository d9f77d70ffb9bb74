// Package httpserver runs HTTP servers and shuts them down gracefully: requests
// in flight are completed, or answered with an error when the time is over.
package httpserver
