package disk

import (
	"errors"
	"io"
	"path/filepath"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
)

const (
	identityFile = "identity"
	walFile      = "wal"
	snapshotFile = "snapshot"
	tempSuffix   = ".tmp"
	// maxKeptBuffer is the size in bytes up to which Append keeps its buffers: entries of
	// configurations have 1.5 MB and are rare, all others a few kilobytes.
	maxKeptBuffer = 256 << 10
)

// Storage is a port.LogStorage that keeps its files in one data folder.
type Storage struct {
	files  FileSystem
	folder string
	id     string

	mu sync.Mutex
	// failure is returned by every call once it is set.
	failure  error
	state    logState
	snapshot *peerv1.RaftSnapshot
	// wal is nil if it could not be opened again after it was replaced.
	wal File
	// walDiverges is set while the log file holds entries that a snapshot of another history
	// replaced. Entries after that snapshot do not follow them, so they must not be appended.
	walDiverges bool
	// reserved is the size of the reserve in bytes.
	reserved int64
	// payload and record are buffers that Append reuses.
	payload []byte
	record  []byte
	// logBytes is the length of the intact records in the log file, and snapshotBytes that
	// of the snapshot file.
	logBytes, snapshotBytes atomic.Int64
}

// Create initializes the folder for a new replica of the group and opens it.
// The id must never have been used before. Existing log and snapshot files are
// overwritten. The error wraps port.ErrNotStored if the disk is full; the call may then be
// repeated.
func Create(files FileSystem, folder, group, id string) (*Storage, error) {
	if err := files.MakeFolder(folder); err != nil {
		return nil, markNoSpace(&IOError{File: folder, Step: "create folder", Err: err})
	}
	s := &Storage{files: files, folder: folder, id: id}
	if err := s.replaceFile(snapshotFile, nil); err != nil {
		return nil, err
	}
	wal, err := s.state.encode()
	if err != nil {
		return nil, err
	}
	if err := s.replaceFile(walFile, wal); err != nil {
		return nil, err
	}
	identity, err := proto.Marshal(&peerv1.RaftIdentity{Group: group, Id: id})
	if err != nil {
		return nil, err
	}
	// The identity is written last, so that a folder with an identity is complete.
	if err := s.replaceFile(identityFile, appendRecord(nil, identity)); err != nil {
		return nil, err
	}
	return Open(files, folder, group)
}

// Open opens the folder of an existing replica. The error is ErrIdentityMissing
// if the folder has no replica, an *IdentityError if it belongs to another
// group, a *CorruptError if a file is damaged, or an *IOError.
func Open(files FileSystem, folder, group string) (*Storage, error) {
	s := &Storage{files: files, folder: folder}
	if err := s.readIdentity(group); err != nil {
		return nil, err
	}
	if err := s.emptyTemps(); err != nil {
		return nil, err
	}
	if err := s.openReserve(); err != nil {
		return nil, err
	}
	if err := s.readSnapshot(); err != nil {
		return nil, err
	}
	if err := s.readWAL(); err != nil {
		if s.wal != nil {
			s.wal.Close()
		}
		return nil, err
	}
	s.fillReserve()
	return s, nil
}

// ID returns the id of the replica that the folder belongs to.
func (s *Storage) ID() string { return s.id }

func (s *Storage) path(name string) string { return filepath.Join(s.folder, name) }

func (s *Storage) readIdentity(group string) error {
	path := s.path(identityFile)
	exists, err := s.files.Exists(path)
	if err != nil {
		return &IOError{File: path, Step: "read", Err: err}
	}
	if !exists {
		return ErrIdentityMissing
	}
	identity := &peerv1.RaftIdentity{}
	if err := s.readSingleRecord(path, identity); err != nil {
		return err
	}
	if identity.Group != group {
		return &IdentityError{Group: identity.Group, WantGroup: group}
	}
	s.id = identity.Id
	return nil
}

// emptyTemps frees the space of temporary files that a crash has left, which a full disk needs.
func (s *Storage) emptyTemps() error {
	for _, name := range []string{snapshotFile, walFile} {
		path := s.path(name) + tempSuffix
		if exists, err := s.files.Exists(path); err != nil {
			return &IOError{File: path, Step: "read", Err: err}
		} else if !exists {
			continue
		}
		f, err := s.files.Open(path)
		if err != nil {
			return &IOError{File: path, Step: "open", Err: err}
		}
		err = f.Truncate(0)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return &IOError{File: path, Step: "truncate", Err: err}
		}
	}
	return nil
}

// readSingleRecord decodes a file that holds one record. Such a file is written
// and synced under a temporary name before it is renamed, so an incomplete
// record in it is corruption and not a torn tail.
func (s *Storage) readSingleRecord(path string, m proto.Message) error {
	f, err := s.files.Open(path)
	if err != nil {
		return &IOError{File: path, Step: "open", Err: err}
	}
	defer f.Close()
	data, err := readAll(f)
	if err != nil {
		return &IOError{File: path, Step: "read", Err: err}
	}
	if payload, reason := parseRecord(data); reason != "" {
		return &CorruptError{File: path, Reason: reason}
	} else if err := proto.Unmarshal(payload, m); err != nil {
		return &CorruptError{File: path, Reason: err.Error()}
	}
	return nil
}

func (s *Storage) readSnapshot() error {
	path := s.path(snapshotFile)
	f, err := s.files.Open(path)
	if err != nil {
		return &IOError{File: path, Step: "open", Err: err}
	}
	size, err := f.Seek(0, io.SeekEnd)
	f.Close()
	if err != nil {
		return &IOError{File: path, Step: "read", Err: err}
	}
	if size == 0 {
		return nil // no snapshot was taken yet
	}
	s.snapshotBytes.Store(size)
	s.snapshot = &peerv1.RaftSnapshot{}
	return s.readSingleRecord(path, s.snapshot)
}

// readWAL replays the log, truncates a torn tail and drops the entries that the
// snapshot replaces. The log still holds them after a crash between writing the
// snapshot and rewriting the log.
func (s *Storage) readWAL() error {
	path := s.path(walFile)
	f, err := s.files.Open(path)
	if err != nil {
		return &IOError{File: path, Step: "open", Err: err}
	}
	s.wal = f
	size, err := f.Seek(0, io.SeekEnd)
	if err == nil {
		_, err = f.Seek(0, io.SeekStart)
	}
	if err != nil {
		return &IOError{File: path, Step: "seek", Err: err}
	}
	intact, err := readRecords(path, f, size, s.state.replay)
	if err != nil {
		return err
	}
	if !s.state.hasBase {
		return &CorruptError{File: path, Reason: "emptied"}
	}
	base := s.state.baseIndex
	if base > s.snapshot.GetIndex() {
		return &CorruptError{File: s.path(snapshotFile), Reason: "older than the log"}
	}
	if s.snapshot != nil {
		s.walDiverges = !s.state.compactTo(s.snapshot)
	}
	s.logBytes.Store(intact)
	if intact < size {
		if err := s.truncateWAL(); err != nil {
			return err
		}
	} else if err := s.seekWAL(); err != nil {
		return err
	}
	if s.state.baseIndex == base {
		return nil
	}
	if err := s.rewriteWAL(); !errors.Is(err, port.ErrNotStored) {
		return err
	}
	return nil // the file still holds all entries
}

// truncateWAL drops what follows the intact records of the log file. It needs no space. The
// sync makes sure that no torn record comes back before a later one after a crash.
func (s *Storage) truncateWAL() error {
	path := s.path(walFile)
	if err := s.wal.Truncate(s.logBytes.Load()); err != nil {
		return &IOError{File: path, Step: "truncate", Err: err}
	}
	if err := s.wal.Sync(); err != nil {
		return &IOError{File: path, Step: "sync", Err: err}
	}
	return s.seekWAL()
}

// seekWAL sets the position of the next write after the intact records.
func (s *Storage) seekWAL() error {
	if _, err := s.wal.Seek(s.logBytes.Load(), io.SeekStart); err != nil {
		return &IOError{File: s.path(walFile), Step: "seek", Err: err}
	}
	return nil
}

// Load implements port.LogStorage.
func (s *Storage) Load() (*peerv1.RaftHardState, *peerv1.RaftSnapshot, []*peerv1.RaftEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return nil, nil, nil, s.failure
	}
	return s.state.hard, s.snapshot, s.state.copyEntries(), nil
}

// Append implements port.LogStorage.
func (s *Storage) Append(hard *peerv1.RaftHardState, entries []*peerv1.RaftEntry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	return s.recordFailure(s.append(hard, entries))
}

func (s *Storage) append(hard *peerv1.RaftHardState, entries []*peerv1.RaftEntry) error {
	if err := s.state.check(entries); err != nil {
		return err
	}
	if s.walDiverges && len(entries) > 0 {
		err := s.rewriteWAL()
		s.fillReserve()
		if err != nil {
			return err
		}
	}
	payload, err := appendParts(s.payload[:0], hard, entries)
	if err != nil {
		return err
	}
	record := appendRecord(s.record[:0], payload)
	if cap(record) <= maxKeptBuffer {
		s.payload, s.record = payload, record
	}
	if err := s.appendToWAL(record); err != nil {
		return err
	}
	// The state has only what is synced, because it is written again on compaction.
	if hard != nil {
		s.state.hard = hard
	}
	return s.state.putAll(entries)
}

// Truncate implements port.LogStorage. The log file is replaced by one without the entries, for
// which the reserve has space unless the entries before them are larger.
func (s *Storage) Truncate(index uint64) (dropped bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return false, s.failure
	}
	if index <= s.state.baseIndex || index > s.state.lastIndex() {
		return false, nil
	}
	defer s.fillReserve()
	all := s.state.entries
	kept := index - s.state.baseIndex - 1
	s.state.entries = all[:kept:kept]
	if err = s.rewriteWAL(); err != nil {
		s.state.entries = all
		return false, s.recordFailure(err)
	}
	return true, nil
}

// appendToWAL writes a record to the log file and syncs it. If the write fails for lack of
// space, the part that was written is dropped, and the error wraps port.ErrNotStored.
func (s *Storage) appendToWAL(record []byte) error {
	path := s.path(walFile)
	if err := write(s.wal, path, record); err != nil {
		if !isNoSpace(err) {
			return err
		}
		if truncateErr := s.truncateWAL(); truncateErr != nil {
			return errors.Join(truncateErr, err)
		}
		return notStored(err)
	}
	if err := s.wal.Sync(); err != nil {
		return &IOError{File: path, Step: "sync", Err: err}
	}
	s.logBytes.Add(int64(len(record)))
	return nil
}

// Size implements port.LogStorage.
func (s *Storage) Size() (log, snapshot int64) { return s.logBytes.Load(), s.snapshotBytes.Load() }

// SaveSnapshot implements port.LogStorage.
func (s *Storage) SaveSnapshot(snapshot *peerv1.RaftSnapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	return s.recordFailure(s.saveSnapshot(snapshot))
}

func (s *Storage) saveSnapshot(snapshot *peerv1.RaftSnapshot) error {
	defer s.fillReserve()
	payload, err := proto.Marshal(snapshot)
	if err != nil {
		return err
	}
	record := appendRecord(nil, payload)
	if err := s.replaceFile(snapshotFile, record); err != nil {
		return err
	}
	s.snapshotBytes.Store(int64(len(record)))
	s.snapshot = snapshot
	if !s.state.compactTo(snapshot) {
		s.walDiverges = true
	}
	return s.rewriteWAL()
}

// rewriteWAL replaces the log file by one that holds the current state in one
// record, and opens it for appending.
func (s *Storage) rewriteWAL() error {
	data, err := s.state.encode()
	if err != nil {
		return err
	}
	if err := s.writeTemp(walFile, data); err != nil {
		return err
	}
	// The replaced file is closed first, so that the next steps have a descriptor.
	s.wal.Close()
	s.wal = nil
	publishErr := s.publish(walFile)
	if publishErr != nil && !errors.Is(publishErr, port.ErrNotStored) {
		return publishErr
	}
	wal, err := s.files.Open(s.path(walFile))
	if err != nil {
		return &IOError{File: s.path(walFile), Step: "open", Err: err}
	}
	s.wal = wal
	if publishErr == nil {
		s.logBytes.Store(int64(len(data)))
		s.walDiverges = false
	}
	if err := s.seekWAL(); err != nil {
		return err
	}
	return publishErr
}

// replaceFile replaces a file of the folder atomically: it writes and syncs the
// data under a temporary name, renames the file and syncs the folder. The error wraps
// port.ErrNotStored if the file is as it was.
func (s *Storage) replaceFile(name string, data []byte) error {
	if err := s.writeTemp(name, data); err != nil {
		return err
	}
	return s.publish(name)
}

// writeTemp writes and syncs the data under the temporary name of a file, in the space of the
// reserve if there is no other; the caller fills the reserve again. The error wraps
// port.ErrNotStored.
func (s *Storage) writeTemp(name string, data []byte) error {
	err := s.tryWriteTemp(name, data)
	if isNoSpace(err) && s.freeReserve() {
		err = s.tryWriteTemp(name, data)
	}
	return err
}

func (s *Storage) tryWriteTemp(name string, data []byte) error {
	path := s.path(name)
	f, err := s.files.Open(path + tempSuffix)
	if err != nil {
		return notStored(&IOError{File: path, Step: "create", Err: err})
	}
	if err := f.Truncate(0); err != nil {
		f.Close()
		return notStored(&IOError{File: path, Step: "truncate", Err: err})
	}
	err = write(f, path, data)
	if err == nil {
		if syncErr := f.Sync(); syncErr != nil {
			err = &IOError{File: path, Step: "sync", Err: syncErr}
		}
	}
	if err != nil {
		_ = f.Truncate(0) // a full disk needs the space
	}
	if closeErr := f.Close(); err == nil && closeErr != nil {
		err = &IOError{File: path, Step: "close", Err: closeErr}
	}
	if err != nil {
		return notStored(err)
	}
	return nil
}

// publish gives a file that writeTemp has written its name, and syncs the folder. The error
// wraps port.ErrNotStored if the folder has no space for the rename.
func (s *Storage) publish(name string) error {
	path := s.path(name)
	if err := s.files.Rename(path+tempSuffix, path); err != nil {
		_ = s.emptyTemps() // a full disk needs the space
		return markNoSpace(&IOError{File: path, Step: "rename", Err: err})
	}
	if err := s.files.SyncFolder(s.folder); err != nil {
		return &IOError{File: s.folder, Step: "sync", Err: err}
	}
	return nil
}

// notStored marks an error after which all that was stored is still there.
func notStored(err error) error { return errors.Join(port.ErrNotStored, err) }

// markNoSpace marks an error with notStored if it is due to a full disk.
func markNoSpace(err error) error {
	if isNoSpace(err) {
		return notStored(err)
	}
	return err
}

func write(f File, path string, data []byte) error {
	n, err := f.Write(data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return &IOError{File: path, Step: "write", Err: err}
	}
	return nil
}

// recordFailure makes the storage unusable if err is an error other than
// port.ErrNotStored, and returns err.
func (s *Storage) recordFailure(err error) error {
	if err != nil && !errors.Is(err, port.ErrNotStored) {
		s.failure = errors.Join(ErrUnusable, err)
	}
	return err
}

// Durable implements port.LogStorage.
func (s *Storage) Durable() bool { return true }

// Close implements port.LogStorage.
func (s *Storage) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = ErrUnusable
	}
	if s.wal == nil {
		return nil // closed when it could not be replaced
	}
	return s.wal.Close()
}
