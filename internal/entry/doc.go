// Package entry is the service of an lg-entry process, to which callers, operators
// and targets connect.
//
// The entry checks the caller's key, admits the call, obtains a slot of an instance
// from the routing table, and sends the call to the instance or forwards it to the
// entry that grants the instance's slots. An idempotent call may be sent again to
// another instance. A call that is not idempotent is first recorded in its home
// data centre, so that it runs at most once. Jobs, operator requests and heartbeats
// are passed to the leader of the group concerned. The entry keeps no durable
// state.
package entry
