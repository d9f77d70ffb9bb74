// Package ctl is the command line of operators and teams, lgctl: its verbs,
// its exit codes, and how it tries several entries in turn.
package ctl
