// Package disk implements port.LogStorage, the Raft log storage of a replica.
// Storage keeps the log in a data folder; Memory keeps it in memory, for a VM
// without a disk.
//
// A data folder holds four files: identity (the group and id of the replica),
// wal (one record for each Append, with the hard state and the entries),
// snapshot, and reserve, whose space is used when the disk is full. A record consists of the length of the payload, the CRC-32C of the
// payload, the CRC-32C of these two fields, and the payload. The checksum of the
// header distinguishes a torn tail, which is left by a crash during the last
// write, from a corrupt record.
package disk
