// Package follower keeps a process's copy of the configuration up to date and renews
// the process's configuration lease. Both happen in one call to the leader of the fleet
// group: the reply renews the lease and contains the changes that the copy lacks.
// Every process that accepts work under the configuration has a Follower.
package follower
