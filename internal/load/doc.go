// Package load sends calls and jobs to the system at planned times and measures
// how long each took from its planned time, so that a slow answer does not delay
// the measurement of the next one.
package load
