package disk

import (
	"errors"
	"io"
	"path/filepath"
	"sync"

	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
)

const (
	identityFile = "identity"
	walFile      = "wal"
	snapshotFile = "snapshot"
	tempSuffix   = ".tmp"
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
	// payload and record are buffers that Append reuses.
	payload []byte
	record  []byte
}

// Create initializes the folder for a new replica of the group and opens it.
// The id must never have been used before. Existing log and snapshot files are
// overwritten.
func Create(files FileSystem, folder, group, id string) (*Storage, error) {
	if err := files.MakeFolder(folder); err != nil {
		return nil, &IOError{File: folder, Step: "create folder", Err: err}
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
	if err := s.readSnapshot(); err != nil {
		return nil, err
	}
	if err := s.readWAL(); err != nil {
		if s.wal != nil {
			s.wal.Close()
		}
		return nil, err
	}
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
	data, err := readAll(f)
	if err != nil {
		return &IOError{File: path, Step: "read", Err: err}
	}
	intact, err := parseRecords(path, data, s.state.replay)
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
		s.state.compactTo(s.snapshot)
	}
	if intact < int64(len(data)) {
		if err := f.Truncate(intact); err != nil {
			return &IOError{File: path, Step: "truncate", Err: err}
		}
		if err := f.Sync(); err != nil {
			return &IOError{File: path, Step: "sync", Err: err}
		}
	}
	if _, err := f.Seek(intact, io.SeekStart); err != nil {
		return &IOError{File: path, Step: "seek", Err: err}
	}
	if s.state.baseIndex == base {
		return nil
	}
	if err := s.rewriteWAL(); !errors.Is(err, port.ErrNotStored) {
		return err
	}
	return nil // the file still holds all entries
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
	payload, err := appendParts(s.payload[:0], hard, entries)
	if err != nil {
		return err
	}
	s.payload = payload
	s.record = appendRecord(s.record[:0], payload)
	if err := s.state.putAll(entries); err != nil {
		return err
	}
	if hard != nil {
		s.state.hard = hard
	}
	return writeAndSync(s.wal, s.path(walFile), s.record)
}

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
	payload, err := proto.Marshal(snapshot)
	if err != nil {
		return err
	}
	if err := s.replaceFile(snapshotFile, appendRecord(nil, payload)); err != nil {
		return err
	}
	s.snapshot = snapshot
	s.state.compactTo(snapshot)
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
	if err := s.publish(walFile); err != nil {
		return err
	}
	wal, err := s.files.Open(s.path(walFile))
	if err != nil {
		return &IOError{File: s.path(walFile), Step: "open", Err: err}
	}
	s.wal = wal
	if _, err := s.wal.Seek(0, io.SeekEnd); err != nil {
		return &IOError{File: s.path(walFile), Step: "seek", Err: err}
	}
	return nil
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

// writeTemp writes and syncs the data under the temporary name of a file. The error wraps
// port.ErrNotStored.
func (s *Storage) writeTemp(name string, data []byte) error {
	path := s.path(name)
	f, err := s.files.Open(path + tempSuffix)
	if err != nil {
		return notStored(&IOError{File: path, Step: "create", Err: err})
	}
	if err := f.Truncate(0); err != nil {
		f.Close()
		return notStored(&IOError{File: path, Step: "truncate", Err: err})
	}
	err = writeAndSync(f, path, data)
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

// publish gives a file that writeTemp has written its name, and syncs the folder.
func (s *Storage) publish(name string) error {
	path := s.path(name)
	if err := s.files.Rename(path+tempSuffix, path); err != nil {
		return &IOError{File: path, Step: "rename", Err: err}
	}
	if err := s.files.SyncFolder(s.folder); err != nil {
		return &IOError{File: s.folder, Step: "sync", Err: err}
	}
	return nil
}

// notStored marks an error after which all that was stored is still there.
func notStored(err error) error { return errors.Join(port.ErrNotStored, err) }

func writeAndSync(f File, path string, data []byte) error {
	n, err := f.Write(data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return &IOError{File: path, Step: "write", Err: err}
	}
	if err := f.Sync(); err != nil {
		return &IOError{File: path, Step: "sync", Err: err}
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
