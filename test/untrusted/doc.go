// Package untrusted holds tests that send a crowd of untrusted clients to a process of a cell, or to
// lg-entry or lg-control, and check that it stays within its memory and descriptors and still serves
// others. The processes run on loopback addresses. It needs Linux.
package untrusted
