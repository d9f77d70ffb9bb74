// Package hlc is a hybrid logical clock. Its stamps follow the wall clock as long
// as that moves forward, and stay consistent with causality when it does not.
// Transport and Handler carry the stamps between processes in an HTTP header.
// Stamps only order events for display; no scheduling decision depends on them.
package hlc
