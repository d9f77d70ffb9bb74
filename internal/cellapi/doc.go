// Package cellapi defines the calls between the processes of a cell. Gateways and
// followers send a Call to the leader; the leader sends an AdviceRequest to other
// processes, which forward it to the advice service. Handler serves both kinds, Client
// sends them. Bodies are CBOR over HTTP/1.1.
//
// Every Call is idempotent, so Client repeats it, at other processes if needed, until
// the leader answers or the context ends.
package cellapi
