// Package port holds the interfaces through which the packages that make
// decisions use clocks, disks and networks, and the errors that cross these
// interfaces. The adapters implement them. SystemClock and BootClock, the two
// implementations of Clock, and TraceSent, which clients of networks share, are here as
// well.
package port
