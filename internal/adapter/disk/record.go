package disk

import (
	"encoding/binary"
	"hash/crc32"
	"io"
)

// headerSize is the length of a record's header: payload length, crc32c of the
// payload, crc32c of the eight bytes before.
const headerSize = 12

// maxRecordSize bounds a record; a snapshot is one record.
const maxRecordSize = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends the record of a payload to a buffer.
func appendRecord(buffer, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	header := buffer[len(buffer)-8:]
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(header, castagnoli))
	return append(buffer, payload...)
}

// parseRecords calls use for each record and returns the length of the intact
// prefix. A torn tail is an incomplete last record, or one that ends with the
// file but whose content did not reach the disk before a crash; a record with a
// wrong checksum that is followed by more data is corruption.
func parseRecords(file string, data []byte, use func(payload []byte) error) (int64, error) {
	offset := int64(0)
	for int(offset) < len(data) {
		rest := data[offset:]
		payload, reason := parseRecord(rest)
		if reason != "" {
			if tornTail(rest) {
				return offset, nil
			}
			return offset, &CorruptError{File: file, Offset: offset, Reason: reason}
		}
		if err := use(payload); err != nil {
			return offset, &CorruptError{File: file, Offset: offset, Reason: err.Error()}
		}
		offset += headerSize + int64(len(payload))
	}
	return offset, nil
}

// parseRecord returns the payload of the record at the start of data, or the
// reason why there is none.
func parseRecord(data []byte) (payload []byte, reason string) {
	if len(data) < headerSize {
		return nil, "incomplete header"
	}
	if !headerValid(data) {
		return nil, "header checksum does not match"
	}
	length := binary.LittleEndian.Uint32(data)
	if int64(length) > int64(len(data)-headerSize) {
		return nil, "incomplete record"
	}
	payload = data[headerSize : headerSize+int(length)]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, "payload checksum does not match"
	}
	return payload, ""
}

func headerValid(data []byte) bool {
	return crc32.Checksum(data[:8], castagnoli) == binary.LittleEndian.Uint32(data[8:])
}

// tornTail reports whether an unreadable rest of a file is what a crash during
// the last write leaves: a header cut short, a valid header whose record
// reaches or passes the end of the file, or zeros up to the end, which a file
// system shows where the length was extended before the content was written.
func tornTail(rest []byte) bool {
	if len(rest) < headerSize {
		return true
	}
	if headerValid(rest) {
		length := int64(binary.LittleEndian.Uint32(rest))
		return headerSize+length >= int64(len(rest))
	}
	for _, b := range rest {
		if b != 0 {
			return false
		}
	}
	return true
}

// readAll reads a file of the folder up to maxRecordSize bytes more than one
// record.
func readAll(f File) ([]byte, error) {
	return io.ReadAll(io.LimitReader(f, 4*maxRecordSize))
}
