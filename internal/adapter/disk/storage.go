package disk

import (
	"errors"
	"io"
	"path/filepath"
	"sync"

	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/peerv1"
)

const (
	identityFile = "identity"
	walFile      = "wal"
	snapshotFile = "snapshot"
	tempSuffix   = ".tmp"
)

// Storage is a port.LogStorage in one data folder.
type Storage struct {
	files  FileSystem
	folder string
	id     string

	mu       sync.Mutex
	failed   error
	state    logState
	snapshot *peerv1.RaftSnapshot
	wal      File
	// payload and record are buffers kept between calls.
	payload []byte
	record  []byte
}

// Create makes a new replica with an id that was never used before. What the
// folder holds without an identity is discarded.
func Create(files FileSystem, folder, group, id string) (*Storage, error) {
	if err := files.MakeFolder(folder); err != nil {
		return nil, &IOError{File: folder, Step: "create folder", Err: err}
	}
	s := &Storage{files: files, folder: folder, id: id}
	if err := s.replace(snapshotFile, nil); err != nil {
		return nil, err
	}
	wal, err := s.state.encode()
	if err != nil {
		return nil, err
	}
	if err := s.replace(walFile, wal); err != nil {
		return nil, err
	}
	identity, err := proto.Marshal(&peerv1.RaftIdentity{Group: group, Id: id})
	if err != nil {
		return nil, err
	}
	// The identity comes last: a folder with an identity is complete.
	if err := s.replace(identityFile, appendRecord(nil, identity)); err != nil {
		return nil, err
	}
	return Open(files, folder, group)
}

// Open opens the folder of an existing replica. The error is
// ErrIdentityMissing if there is none, an *IdentityError if the folder belongs
// to another group, a *CorruptError, or a *IOError.
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
	if err := s.readOne(path, identity); err != nil {
		return err
	}
	if identity.Group != group {
		return &IdentityError{Group: identity.Group, WantGroup: group}
	}
	s.id = identity.Id
	return nil
}

// readOne reads a file that was written completely before it got its name: a
// torn record in it is corruption.
func (s *Storage) readOne(path string, m proto.Message) error {
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
		return nil // none taken yet
	}
	s.snapshot = &peerv1.RaftSnapshot{}
	return s.readOne(path, s.snapshot)
}

// readWAL replays the log, truncates a torn tail and drops what the snapshot
// covers: a crash may have come between the writing of snapshot and log.
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
		s.state.cover(s.snapshot)
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
	return s.rewriteWAL()
}

// Load implements port.LogStorage.
func (s *Storage) Load() (*peerv1.RaftHardState, *peerv1.RaftSnapshot, []*peerv1.RaftEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return nil, nil, nil, s.failed
	}
	return s.state.hard, s.snapshot, s.state.copyEntries(), nil
}

// Append implements port.LogStorage.
func (s *Storage) Append(hard *peerv1.RaftHardState, entries []*peerv1.RaftEntry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	return s.fail(s.append(hard, entries))
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
	return writeSynced(s.wal, s.path(walFile), s.record)
}

// SaveSnapshot implements port.LogStorage.
func (s *Storage) SaveSnapshot(snapshot *peerv1.RaftSnapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	return s.fail(s.saveSnapshot(snapshot))
}

func (s *Storage) saveSnapshot(snapshot *peerv1.RaftSnapshot) error {
	payload, err := proto.Marshal(snapshot)
	if err != nil {
		return err
	}
	if err := s.replace(snapshotFile, appendRecord(nil, payload)); err != nil {
		return err
	}
	s.snapshot = snapshot
	s.state.cover(snapshot)
	return s.rewriteWAL()
}

// rewriteWAL replaces the log file by one that holds the state only.
func (s *Storage) rewriteWAL() error {
	data, err := s.state.encode()
	if err != nil {
		return err
	}
	if err := s.replace(walFile, data); err != nil {
		return err
	}
	s.wal.Close() // the replaced file
	if s.wal, err = s.files.Open(s.path(walFile)); err != nil {
		return &IOError{File: s.path(walFile), Step: "open", Err: err}
	}
	if _, err := s.wal.Seek(0, io.SeekEnd); err != nil {
		return &IOError{File: s.path(walFile), Step: "seek", Err: err}
	}
	return nil
}

// replace writes a file under a temporary name, syncs it, gives it its name and
// syncs the folder.
func (s *Storage) replace(name string, data []byte) error {
	path := s.path(name)
	f, err := s.files.Open(path + tempSuffix)
	if err != nil {
		return &IOError{File: path, Step: "create", Err: err}
	}
	if err := f.Truncate(0); err != nil {
		f.Close()
		return &IOError{File: path, Step: "truncate", Err: err}
	}
	err = writeSynced(f, path, data)
	if closeErr := f.Close(); err == nil && closeErr != nil {
		err = &IOError{File: path, Step: "close", Err: closeErr}
	}
	if err != nil {
		return err
	}
	if err := s.files.Rename(path+tempSuffix, path); err != nil {
		return &IOError{File: path, Step: "rename", Err: err}
	}
	if err := s.files.SyncFolder(s.folder); err != nil {
		return &IOError{File: s.folder, Step: "sync", Err: err}
	}
	return nil
}

func writeSynced(f File, path string, data []byte) error {
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

// fail makes the storage unusable after an error.
func (s *Storage) fail(err error) error {
	if err != nil {
		s.failed = errors.Join(ErrUnusable, err)
	}
	return err
}

// Durable implements port.LogStorage.
func (s *Storage) Durable() bool { return true }

// Close implements port.LogStorage.
func (s *Storage) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = ErrUnusable
	}
	return s.wal.Close()
}
