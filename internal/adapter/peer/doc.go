// Package peer connects the system's own processes by twirp.
package peer
