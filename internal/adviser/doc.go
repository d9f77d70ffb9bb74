// Package adviser makes a process's calls to the advice service, which handles one call of
// a VM at a time. A Queue passes the leader's requests on in the order in which they
// arrive, one at a time.
package adviser
