// Package peer implements the calls between the processes of the system over
// twirp. GroupClient calls the leader of a replicated group, RaftTransport and
// RaftServer exchange raft messages, and NewInstanceClient makes the client for
// calls to instances of services.
package peer
