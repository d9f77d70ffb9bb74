// Package intake bounds the memory of the requests that a process has received and not
// yet answered.
//
// A Budget is what all connections of a process may hold together. It has two pools, so
// that small requests do not compete with large bodies. Each connection has an Account,
// which charges the bytes of its current request as they arrive. When a pool runs short,
// the connections whose incomplete request has gone longest without progress are closed;
// a request that was received completely is never closed. ReadBody reads a body into
// memory within the account of its connection.
package intake
