package disk

import (
	"encoding/binary"
	"hash/crc32"
	"io"
)

// recordHeaderBytes is the length of a record's header: the payload length, the
// CRC-32C of the payload, and the CRC-32C of these eight bytes.
const recordHeaderBytes = 12

// maxRecordBytes is the expected upper bound of a record; a snapshot is one
// record. The limit of readAll is derived from it.
const maxRecordBytes = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record with the payload to the buffer.
func appendRecord(buffer, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	header := buffer[len(buffer)-8:]
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(header, castagnoli))
	return append(buffer, payload...)
}

// parseRecords calls apply for each record and returns the length of the intact
// prefix. Reading ends without an error at a torn tail: a last record that is
// incomplete, or that is complete but has a wrong payload checksum because its
// content did not reach the disk before a crash. A wrong checksum that is
// followed by more data is reported as a *CorruptError.
func parseRecords(file string, data []byte, apply func(payload []byte) error) (int64, error) {
	offset := int64(0)
	for int(offset) < len(data) {
		rest := data[offset:]
		payload, reason := parseRecord(rest)
		if reason != "" {
			if isTornTail(rest) {
				return offset, nil
			}
			return offset, &CorruptError{File: file, Offset: offset, Reason: reason}
		}
		if err := apply(payload); err != nil {
			return offset, &CorruptError{File: file, Offset: offset, Reason: err.Error()}
		}
		offset += recordHeaderBytes + int64(len(payload))
	}
	return offset, nil
}

// parseRecord returns the payload of the record at the start of data, or the
// reason why that record is not valid.
func parseRecord(data []byte) (payload []byte, reason string) {
	if len(data) < recordHeaderBytes {
		return nil, "incomplete header"
	}
	if !headerValid(data) {
		return nil, "header checksum does not match"
	}
	length := binary.LittleEndian.Uint32(data)
	if int64(length) > int64(len(data)-recordHeaderBytes) {
		return nil, "incomplete record"
	}
	payload = data[recordHeaderBytes : recordHeaderBytes+int(length)]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, "payload checksum does not match"
	}
	return payload, ""
}

func headerValid(data []byte) bool {
	return crc32.Checksum(data[:8], castagnoli) == binary.LittleEndian.Uint32(data[8:])
}

// isTornTail reports whether the unreadable rest of a file was left by a crash
// during the last write. It was if the header is incomplete, if the header is
// valid and its record reaches or passes the end of the file, or if the rest is
// all zeros: a file system may extend a file before it writes the content.
func isTornTail(rest []byte) bool {
	if len(rest) < recordHeaderBytes {
		return true
	}
	if headerValid(rest) {
		length := int64(binary.LittleEndian.Uint32(rest))
		return recordHeaderBytes+length >= int64(len(rest))
	}
	for _, b := range rest {
		if b != 0 {
			return false
		}
	}
	return true
}

// readAll reads a file of the data folder, at most 4*maxRecordBytes of it.
func readAll(f File) ([]byte, error) {
	return io.ReadAll(io.LimitReader(f, 4*maxRecordBytes))
}
