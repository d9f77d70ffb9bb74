// Package pause detects that the process was paused, by a signal or because its VM was
// suspended. A request that waited in a socket during a pause does not show its age: its
// client may have left and sent something else since.
package pause
