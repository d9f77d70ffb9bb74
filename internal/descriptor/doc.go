// Package descriptor divides the file descriptors of a process over their uses.
//
// A Budget takes the limit of the process and keeps a number back for its files, so
// that a use which opens many connections never leaves the stored state without
// descriptors. Each Part bounds the open connections of one use: Dial opens outgoing
// ones and waits while the part is full, Listen accepts incoming ones and rejects
// those beyond it. A part that is full asks its use to close idle connections first.
package descriptor
