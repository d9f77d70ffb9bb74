// Package ctl implements lgctl, the command line of operators and teams.
//
// Each verb is a type with its options and an Execute method, and returns a report
// with an exit code, a message and the next step for the user. A request is sent to
// the entries in turn until one of them answers; a change carries an id, so that
// sending it again has no further effect. Exit codes distinguish work that was
// refused from work whose outcome is unknown.
package ctl
