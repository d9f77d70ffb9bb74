// Package cellapi holds the calls between the processes of a cell: gateways and
// followers call the leader, the leader asks other processes to obtain advice.
// Bodies are CBOR over HTTP/1.1. Every call is idempotent, so it is repeated at
// another process until it is answered or its time is over.
package cellapi
