// Package adviser makes a process's calls to the advice service, which handles one call of
// a VM at a time. A Queue passes the leader's requests on one at a time, those with the
// nearest time limit first.
package adviser
