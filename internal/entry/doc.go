// Package entry is the service of an lg-entry process: callers, operators and
// targets connect to it. It checks keys, admits, routes and forwards; it holds
// no durable state.
package entry
