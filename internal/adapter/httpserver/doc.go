// Package httpserver runs HTTP servers and shuts them down without cutting off
// requests in progress.
package httpserver
