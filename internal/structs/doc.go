// Package structs holds the data types shared by the state machines, the scheduler
// and the services.
//
// Snapshots of the state machines encode these types with encoding/gob under their
// field names, so an exported field keeps its name.
package structs
