// Package disk implements port.LogStorage: in a data folder (Storage) and in
// memory for a VM without a disk (Memory).
//
// A data folder holds three files: identity (the replica's group and id), wal
// (one record of hard state and entries per Append) and snapshot. Each record of a file is a
// length, the crc32c of the payload, a checksum of these two, and the payload,
// so that a torn tail can be told from a corrupt record.
package disk
