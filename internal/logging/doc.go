// Package logging builds the JSON loggers of the processes and defines the names
// of the fields that log records have in common. Secret wraps keys so that they
// are never printed, and BoundedWriter keeps a slow or overloaded log output from
// delaying the process.
package logging
