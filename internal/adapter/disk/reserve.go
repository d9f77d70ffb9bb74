package disk

import (
	"io"
)

const (
	reserveFile = "reserve"
	// minReserveBytes is the size of the reserve beside the snapshot: enough for a log that a
	// snapshot has replaced, and for a snapshot that is a little larger than the last one.
	minReserveBytes = 4096
	// reserveChunk is how much of the reserve is written at once.
	reserveChunk = 64 << 10
)

// The reserve is a file whose space is given up when the disk is full, for a temporary file that
// replaces a larger one. Without it, records of votes and terms use the last bytes of a full
// disk, no snapshot fits any more, and the log, whose compaction would make space, stays.

// openReserve reads the size of the reserve.
func (s *Storage) openReserve() error {
	path := s.path(reserveFile)
	if exists, err := s.files.Exists(path); err != nil {
		return &IOError{File: path, Step: "read", Err: err}
	} else if !exists {
		return nil
	}
	f, err := s.files.Open(path)
	if err != nil {
		return &IOError{File: path, Step: "open", Err: err}
	}
	defer f.Close()
	if s.reserved, err = f.Seek(0, io.SeekEnd); err != nil {
		return &IOError{File: path, Step: "seek", Err: err}
	}
	return nil
}

// fillReserve extends the reserve to minReserveBytes and five fourths of the snapshot, or by what
// fits. A failure is not reported: nothing that is stored depends on the reserve.
func (s *Storage) fillReserve() {
	want := minReserveBytes + s.snapshotBytes.Load()*5/4
	if s.reserved >= want {
		return
	}
	f, err := s.files.Open(s.path(reserveFile))
	if err != nil {
		return
	}
	defer f.Close()
	if _, err := f.Seek(s.reserved, io.SeekStart); err != nil {
		return
	}
	zeros := make([]byte, min(want-s.reserved, reserveChunk))
	for s.reserved < want && err == nil {
		var n int
		n, err = f.Write(zeros[:min(want-s.reserved, reserveChunk)])
		s.reserved += int64(n)
	}
	_ = f.Sync() // some file systems allocate space only then
}

// freeReserve gives up the space of the reserve, and reports whether there was any.
func (s *Storage) freeReserve() bool {
	if s.reserved == 0 {
		return false
	}
	f, err := s.files.Open(s.path(reserveFile))
	if err != nil {
		return false
	}
	defer f.Close()
	if f.Truncate(0) != nil {
		return false
	}
	s.reserved = 0
	return true
}
