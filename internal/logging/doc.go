// Package logging builds the JSON loggers of the processes and defines the names
// of the fields that log records have in common. Secret wraps keys so that they
// are never printed, and BoundedWriter keeps a slow or overloaded log output from
// delaying the process. A logger of NewBounded keeps rare messages when frequent
// ones exceed the writer's limit.
package logging
