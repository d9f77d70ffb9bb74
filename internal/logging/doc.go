// Package logging makes the JSON loggers of the processes and names the fields
// that every record uses.
package logging
