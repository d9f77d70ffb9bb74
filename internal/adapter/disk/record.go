package disk

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"slices"
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

// readRecords calls apply for each record of a file of size bytes and returns the length of
// the intact prefix. It holds one record at a time, since a log may be larger than the memory
// that is left; apply must not keep the payload. Reading ends without an error at a torn tail:
// a last record that is incomplete, or that is complete but has a wrong payload checksum
// because its content did not reach the disk before a crash. A wrong checksum that is followed
// by more data is reported as a *CorruptError.
func readRecords(file string, f io.Reader, size int64, apply func(payload []byte) error) (int64, error) {
	reader := bufio.NewReader(io.LimitReader(f, size))
	var data []byte
	for offset := int64(0); offset < size; offset += int64(len(data)) {
		var err error
		if data, err = readRecord(reader, data[:0], size-offset); err != nil {
			return offset, &IOError{File: file, Step: "read", Err: err}
		}
		payload, reason := parseRecord(data)
		if reason != "" {
			torn, err := isTornTail(data, reader, size-offset)
			if err != nil {
				return offset, &IOError{File: file, Step: "read", Err: err}
			}
			if torn {
				return offset, nil
			}
			return offset, &CorruptError{File: file, Offset: offset, Reason: reason}
		}
		if err := apply(payload); err != nil {
			return offset, &CorruptError{File: file, Offset: offset, Reason: err.Error()}
		}
	}
	return size, nil
}

// readRecord reads the next record into the buffer. rest is what is left of the file. The
// result is shorter than a record if the file ends in it or the header is not valid.
func readRecord(reader io.Reader, buffer []byte, rest int64) ([]byte, error) {
	buffer, err := readMore(reader, buffer, min(rest, recordHeaderBytes))
	if err != nil || len(buffer) < recordHeaderBytes || !headerValid(buffer) {
		return buffer, err
	}
	length := int64(binary.LittleEndian.Uint32(buffer))
	return readMore(reader, buffer, min(rest-recordHeaderBytes, length))
}

// readMore appends the next n bytes to the buffer.
func readMore(reader io.Reader, buffer []byte, n int64) ([]byte, error) {
	have := len(buffer)
	buffer = slices.Grow(buffer, int(n))[:have+int(n)]
	_, err := io.ReadFull(reader, buffer[have:])
	return buffer, err
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
// all zeros: a file system may extend a file before it writes the content. data is
// what readRecord has read of the rest, and reader has what follows.
func isTornTail(data []byte, reader io.Reader, rest int64) (bool, error) {
	if len(data) < recordHeaderBytes {
		return true, nil
	}
	if headerValid(data) {
		length := int64(binary.LittleEndian.Uint32(data))
		return recordHeaderBytes+length >= rest, nil
	}
	buffer := make([]byte, 4096)
	for {
		for _, b := range data {
			if b != 0 {
				return false, nil
			}
		}
		n, err := reader.Read(buffer)
		if err == io.EOF && n == 0 {
			return true, nil
		}
		if err != nil && err != io.EOF {
			return false, err
		}
		data = buffer[:n]
	}
}

// readAll reads a file of the data folder, at most 4*maxRecordBytes of it.
func readAll(f File) ([]byte, error) {
	return io.ReadAll(io.LimitReader(f, 4*maxRecordBytes))
}
