// Package follower keeps a process's copy of the configuration and its
// configuration lease.
package follower
