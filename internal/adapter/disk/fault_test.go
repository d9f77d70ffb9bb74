package disk

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
)

// faultFS makes one kind of operation fail on the files with a given base name.
type faultFS struct {
	OS
	step string
	name string
	err  error
	// truncateFails makes Truncate fail as well.
	truncateFails bool
}

func (f *faultFS) fails(step, path string) bool {
	return f.step == step && filepath.Base(path) == f.name
}

func (f *faultFS) Open(path string) (File, error) {
	if f.fails("open", path) {
		return nil, f.err
	}
	file, err := f.OS.Open(path)
	return &faultFile{File: file, fs: f, path: path}, err
}

func (f *faultFS) Rename(from, to string) error {
	if f.fails("rename", to) {
		return f.err
	}
	return f.OS.Rename(from, to)
}

func (f *faultFS) SyncFolder(path string) error {
	if f.step == "sync folder" {
		return f.err
	}
	return f.OS.SyncFolder(path)
}

type faultFile struct {
	File
	fs   *faultFS
	path string
}

func (f *faultFile) Write(data []byte) (int, error) {
	if f.fs.fails("write", f.path) {
		n, _ := f.File.Write(data[:len(data)/2])
		return n, f.fs.err
	}
	return f.File.Write(data)
}

func (f *faultFile) Truncate(size int64) error {
	if f.fs.truncateFails {
		return f.fs.err
	}
	return f.File.Truncate(size)
}

func (f *faultFile) Sync() error {
	if f.fs.fails("sync", f.path) {
		return f.fs.err
	}
	return f.File.Sync()
}

// TestFailedWrites guards against a storage that accepts calls after a failed
// write or sync, and against acknowledged entries that are missing after a
// restart.
func TestFailedWrites(t *testing.T) {
	cases := []struct {
		step, name string
		err        error
		snapshot   bool // the failing call is SaveSnapshot instead of Append
	}{
		{"write", walFile, syscall.EIO, false},
		{"sync", walFile, syscall.EIO, false},
		{"sync", walFile, syscall.ENOSPC, false},
		{"sync folder", "", syscall.ENOSPC, true},
		{"rename", snapshotFile, syscall.EIO, true},
		{"sync folder", "", syscall.EIO, true},
		{"rename", walFile, syscall.EIO, true},
	}
	for _, c := range cases {
		t.Run(c.step+" "+c.name, func(t *testing.T) {
			folder := t.TempDir()
			fs := &faultFS{name: c.name, err: c.err}
			s, err := Create(fs, folder, "g", "a.1")
			assert.NilError(t, err)
			assert.NilError(t, s.Append(hardState(1, "a"), entries(1, 4, 1)))
			fs.step = c.step
			if c.snapshot {
				err = s.SaveSnapshot(&peerv1.RaftSnapshot{Index: 2, Term: 1})
			} else {
				err = s.Append(nil, entries(5, 5, 1))
			}
			var failed *IOError
			assert.Assert(t, errors.As(err, &failed), "error %v", err)
			assert.ErrorIs(t, err, c.err)
			fs.step = ""
			assert.ErrorIs(t, s.Append(nil, entries(5, 5, 1)), ErrUnusable)
			assert.NilError(t, s.Close())

			s, err = Open(OS{}, folder, "g")
			assert.NilError(t, err)
			defer s.Close()
			hard, snapshot, got, err := s.Load()
			assert.NilError(t, err)
			assert.Equal(t, hard.GetTerm(), uint64(1))
			assert.Assert(t, snapshot.GetIndex()+uint64(len(got)) >= 4, "entries 1 to 4 were acknowledged")
		})
	}
}

// Guards against a replica that stops because a temporary file could not be opened or
// written, against calls that fail afterwards, and against entries that are missing after
// a restart.
func TestSnapshotThatIsNotStoredLeavesStorageUsable(t *testing.T) {
	for _, name := range []string{snapshotFile + tempSuffix, walFile + tempSuffix} {
		for step, cause := range map[string]error{"open": syscall.EMFILE, "write": syscall.ENOSPC, "sync": syscall.EIO} {
			t.Run(step+" "+name, func(t *testing.T) {
				folder := t.TempDir()
				fs := &faultFS{name: name, err: cause}
				s, err := Create(fs, folder, "g", "a.1")
				assert.NilError(t, err)
				assert.NilError(t, s.Append(hardState(1, "a"), entries(1, 4, 1)))
				fs.step = step
				err = s.SaveSnapshot(&peerv1.RaftSnapshot{Index: 2, Term: 1})
				assert.ErrorIs(t, err, port.ErrNotStored)
				var failed *IOError
				assert.Assert(t, errors.As(err, &failed), "error %v", err)
				assert.ErrorIs(t, err, cause)
				assert.NilError(t, s.Append(nil, entries(5, 5, 1)))
				fs.step = ""
				reopened, err := Open(OS{}, folder, "g")
				assert.NilError(t, err)
				checkStored(t, reopened, 5)
				assert.NilError(t, reopened.Close())

				assert.NilError(t, s.SaveSnapshot(&peerv1.RaftSnapshot{Index: 3, Term: 1}))
				assert.NilError(t, s.Append(nil, entries(6, 6, 1)))
				assert.NilError(t, s.Close())
				reopened, err = Open(OS{}, folder, "g")
				assert.NilError(t, err)
				defer reopened.Close()
				checkStored(t, reopened, 6)
			})
		}
	}
}

// checkStored checks that the storage has the hard state of term 1 and all entries up to
// last.
func checkStored(t *testing.T, s *Storage, last uint64) {
	t.Helper()
	hard, snapshot, got, err := s.Load()
	assert.NilError(t, err)
	assert.Equal(t, hard.GetTerm(), uint64(1))
	assert.Equal(t, snapshot.GetIndex()+uint64(len(got)), last)
}

// crashFS records the synced content of each file, so that a test can simulate
// a crash in which only synced data reached the disk.
type crashFS struct {
	OS
	synced map[string][]byte
}

type crashFile struct {
	File
	fs   *crashFS
	path string
}

func (f *crashFS) Open(path string) (File, error) {
	file, err := f.OS.Open(path)
	return &crashFile{File: file, fs: f, path: path}, err
}

func (f *crashFile) Sync() error {
	data, err := os.ReadFile(f.path)
	f.fs.synced[f.path] = data
	return err
}

func (f *crashFS) Rename(from, to string) error {
	f.synced[to] = f.synced[from]
	return f.OS.Rename(from, to)
}

// TestCrash guards against an Append or SaveSnapshot that returns before its
// data is synced.
func TestCrash(t *testing.T) {
	folder := t.TempDir()
	fs := &crashFS{synced: map[string][]byte{}}
	s, err := Create(fs, folder, "g", "a.1")
	assert.NilError(t, err)
	assert.NilError(t, s.Append(hardState(1, "a"), entries(1, 5, 1)))
	assert.NilError(t, s.SaveSnapshot(&peerv1.RaftSnapshot{Index: 2, Term: 1}))
	assert.NilError(t, s.Append(hardState(2, "b"), entries(6, 7, 2)))
	assert.NilError(t, s.Close())
	for _, name := range []string{identityFile, snapshotFile, walFile} {
		path := filepath.Join(folder, name)
		assert.NilError(t, os.WriteFile(path, fs.synced[path], fileMode))
	}
	s, err = Open(OS{}, folder, "g")
	assert.NilError(t, err)
	defer s.Close()
	check(t, s, hardState(2, "b"), 2, append(entries(3, 5, 1), entries(6, 7, 2)...))
}

// TestDamage guards against corruption that is treated as a torn tail, and the
// reverse. Truncating a torn tail must keep all acknowledged records,
// corruption must be reported, and a folder without an identity must not be
// opened.
func TestDamage(t *testing.T) {
	flip := func(offset int) func([]byte) []byte {
		return func(data []byte) []byte {
			data[(offset+len(data))%len(data)] ^= 0x40
			return data
		}
	}
	cut := func(n int) func([]byte) []byte { return func(data []byte) []byte { return data[:len(data)-n] } }
	// lastRecord is the length in bytes of each of the records of entries 6 and 7.
	const lastRecord = recordHeaderBytes + partHeaderBytes + 8
	var corrupt *CorruptError
	cases := []struct {
		name, file string
		damage     func([]byte) []byte // nil removes the file
		want       any                 // the error, or the number of remaining entries
	}{
		{"incomplete payload", walFile, cut(1), 4},
		{"incomplete header", walFile, cut(lastRecord - 3), 4},
		{"zeros after the end", walFile, func(d []byte) []byte { return append(d, make([]byte, 100)...) }, 5},
		{"last payload not written", walFile, flip(-1), 4},
		{"payload before the tail", walFile, flip(-lastRecord - 1), &corrupt},
		{"length before the tail", walFile, flip(-2*lastRecord + 1), &corrupt},
		{"first payload", walFile, flip(recordHeaderBytes + 3), &corrupt},
		{"emptied wal", walFile, func([]byte) []byte { return nil }, &corrupt},
		{"missing wal", walFile, nil, &corrupt},
		{"snapshot cut", snapshotFile, cut(1), &corrupt},
		{"snapshot payload", snapshotFile, flip(-1), &corrupt},
		{"missing snapshot", snapshotFile, nil, &corrupt},
		{"identity payload", identityFile, flip(-1), &corrupt},
		{"missing identity", identityFile, nil, ErrIdentityMissing},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			s, err := Create(OS{}, folder, "g", "a.1")
			assert.NilError(t, err)
			assert.NilError(t, s.Append(hardState(1, "a"), entries(1, 5, 1)))
			assert.NilError(t, s.SaveSnapshot(&peerv1.RaftSnapshot{Index: 2, Term: 1, Data: []byte("state")}))
			assert.NilError(t, s.Append(nil, entries(6, 6, 1)))
			assert.NilError(t, s.Append(nil, entries(7, 7, 1)))
			assert.NilError(t, s.Close())

			path := filepath.Join(folder, c.file)
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			if c.damage == nil {
				assert.NilError(t, os.Remove(path))
			} else {
				assert.NilError(t, os.WriteFile(path, c.damage(data), fileMode))
			}
			s, err = Open(OS{}, folder, "g")
			switch want := c.want.(type) {
			case int:
				assert.NilError(t, err)
				left := entries(3, 2+uint64(want), 1)
				check(t, s, hardState(1, "a"), 2, left)
				next := 3 + uint64(want)
				assert.NilError(t, s.Append(nil, entries(next, next, 2)))
				assert.NilError(t, s.Close())
				s, err = Open(OS{}, folder, "g")
				assert.NilError(t, err)
				defer s.Close()
				check(t, s, hardState(1, "a"), 2, append(left, entry(next, 2)))
			case **CorruptError:
				assert.Assert(t, errors.As(err, want), "error %v", err)
			case error:
				assert.ErrorIs(t, err, want)
			}
		})
	}
}

// TestOtherGroup guards against a folder that is opened for a group to which it
// does not belong.
func TestOtherGroup(t *testing.T) {
	folder := t.TempDir()
	s, err := Create(OS{}, folder, "g", "a.1")
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	_, err = Open(OS{}, folder, "h")
	var other *IdentityError
	assert.Assert(t, errors.As(err, &other), "error %v", err)
}
