// Package structs holds the typed state shared by the state machines, the
// scheduler and the services.
package structs
