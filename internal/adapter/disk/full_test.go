package disk

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
)

// Guards against an append that fails on a full disk and leaves the storage unusable, leaves
// a torn record before the next one, or counts as stored, also after a restart.
func TestAppendOnFullDiskStoresNothing(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EDQUOT} {
		t.Run(cause.Error(), func(t *testing.T) {
			folder := t.TempDir()
			fs := &faultFS{name: walFile, err: cause}
			s, err := Create(fs, folder, "g", "a.1")
			assert.NilError(t, err)
			assert.NilError(t, s.Append(hardState(1, "a"), entries(1, 4, 1)))
			logBytes, _ := s.Size()
			fs.step = "write"
			for range 2 {
				err = s.Append(hardState(2, "b"), entries(3, 9, 2))
				assert.ErrorIs(t, err, port.ErrNotStored)
				assert.ErrorIs(t, err, cause)
			}
			check(t, s, hardState(1, "a"), 0, entries(1, 4, 1))
			after, _ := s.Size()
			assert.Equal(t, after, logBytes)
			reopened, err := Open(OS{}, folder, "g")
			assert.NilError(t, err)
			check(t, reopened, hardState(1, "a"), 0, entries(1, 4, 1))
			assert.NilError(t, reopened.Close())

			fs.step = ""
			assert.NilError(t, s.Append(hardState(3, "c"), entries(5, 5, 3)))
			assert.NilError(t, s.Close())
			s, err = Open(OS{}, folder, "g")
			assert.NilError(t, err)
			defer s.Close()
			check(t, s, hardState(3, "c"), 0, append(entries(1, 4, 1), entry(5, 3)))
		})
	}
}

// Guards against a storage that goes on after a torn record could not be truncated: a later
// record would follow damaged data.
func TestTornRecordThatCannotBeTruncatedEndsStorage(t *testing.T) {
	folder := t.TempDir()
	fs := &faultFS{name: walFile, err: syscall.ENOSPC}
	s, err := Create(fs, folder, "g", "a.1")
	assert.NilError(t, err)
	assert.NilError(t, s.Append(hardState(1, "a"), entries(1, 4, 1)))
	fs.step, fs.truncateFails = "write", true
	err = s.Append(nil, entries(5, 5, 1))
	assert.ErrorIs(t, err, syscall.ENOSPC)
	assert.Assert(t, !errors.Is(err, port.ErrNotStored), "error %v", err)
	fs.step, fs.truncateFails = "", false
	assert.ErrorIs(t, s.Append(nil, entries(5, 5, 1)), ErrUnusable)
	assert.NilError(t, s.Close())
	s, err = Open(OS{}, folder, "g")
	assert.NilError(t, err)
	defer s.Close()
	check(t, s, hardState(1, "a"), 0, entries(1, 4, 1))
}

// Guards against a snapshot that ends the storage, or loses the log or the old snapshot, when
// the folder has no space for a rename.
func TestRenameOnFullDiskLeavesStorageUsable(t *testing.T) {
	for _, name := range []string{snapshotFile, walFile} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			fs := &faultFS{name: name, err: syscall.ENOSPC}
			s, err := Create(fs, folder, "g", "a.1")
			assert.NilError(t, err)
			assert.NilError(t, s.Append(hardState(1, "a"), entries(1, 4, 1)))
			fs.step = "rename"
			for _, index := range []uint64{2, 3} {
				assert.ErrorIs(t, s.SaveSnapshot(&peerv1.RaftSnapshot{Index: index, Term: 1}), port.ErrNotStored)
				assert.NilError(t, s.Append(nil, entries(3+index, 3+index, 1)))
				reopened, err := Open(fs, folder, "g") // cannot compact the log under the open storage
				assert.NilError(t, err)
				checkStored(t, reopened, 3+index)
				assert.NilError(t, reopened.Close())
			}
			assertTempsEmpty(t, folder)
			fs.step = ""
			assert.NilError(t, s.SaveSnapshot(&peerv1.RaftSnapshot{Index: 4, Term: 1}))
			assert.NilError(t, s.Append(nil, entries(7, 7, 1)))
			assert.NilError(t, s.Close())
			s, err = Open(OS{}, folder, "g")
			assert.NilError(t, err)
			defer s.Close()
			check(t, s, hardState(1, "a"), 4, entries(5, 7, 1))
		})
	}
}

// assertTempsEmpty checks that temporary files take no space.
func assertTempsEmpty(t *testing.T, folder string) {
	t.Helper()
	for _, name := range []string{snapshotFile, walFile} {
		info, err := os.Stat(filepath.Join(folder, name+tempSuffix))
		if os.IsNotExist(err) {
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, info.Size(), int64(0), name)
	}
}

// Guards against a temporary file that a crash has left and that keeps its space.
func TestTemporaryFilesAreEmptiedOnOpen(t *testing.T) {
	folder := t.TempDir()
	s, err := Create(OS{}, folder, "g", "a.1")
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	for _, name := range []string{snapshotFile, walFile} {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name+tempSuffix), make([]byte, 1000), fileMode))
	}
	s, err = Open(OS{}, folder, "g")
	assert.NilError(t, err)
	defer s.Close()
	assertTempsEmpty(t, folder)
}

// Guards against a new replica that takes a full disk for damage and cannot try again.
func TestCreateOnFullDisk(t *testing.T) {
	for _, step := range []string{"open", "write", "rename"} {
		for _, name := range []string{snapshotFile, walFile, identityFile} {
			t.Run(step+" "+name, func(t *testing.T) {
				folder := t.TempDir()
				fs := &faultFS{name: name + tempSuffix, err: syscall.ENOSPC, step: step}
				if step == "rename" {
					fs.name = name
				}
				_, err := Create(fs, folder, "g", "a.1")
				assert.ErrorIs(t, err, port.ErrNotStored)
				_, err = Open(fs, folder, "g")
				assert.ErrorIs(t, err, ErrIdentityMissing)
				fs.step = ""
				s, err := Create(fs, folder, "g", "a.1")
				assert.NilError(t, err)
				defer s.Close()
				check(t, s, nil, 0, nil)
			})
		}
	}
}

// Guards against an entry after a received snapshot that is appended to a log which does not
// reach up to the snapshot: the log could not be read again.
func TestEntryAfterReceivedSnapshotWaitsForCompaction(t *testing.T) {
	for _, reopen := range []bool{false, true} {
		t.Run(fmt.Sprint("reopen ", reopen), func(t *testing.T) {
			folder := t.TempDir()
			fs := &faultFS{name: walFile + tempSuffix, err: syscall.ENOSPC}
			s, err := Create(fs, folder, "g", "a.1")
			assert.NilError(t, err)
			assert.NilError(t, s.Append(hardState(1, "a"), entries(1, 4, 1)))
			fs.step = "write"
			assert.ErrorIs(t, s.SaveSnapshot(&peerv1.RaftSnapshot{Index: 9, Term: 1}), port.ErrNotStored)
			if reopen {
				assert.NilError(t, s.Close())
				s, err = Open(fs, folder, "g")
				assert.NilError(t, err)
			}
			assert.ErrorIs(t, s.Append(nil, entries(10, 10, 1)), port.ErrNotStored)
			fs.step = ""
			assert.NilError(t, s.Append(nil, entries(10, 10, 1)))
			assert.NilError(t, s.Close())
			s, err = Open(OS{}, folder, "g")
			assert.NilError(t, err)
			defer s.Close()
			check(t, s, hardState(1, "a"), 9, entries(10, 10, 1))
		})
	}
}

// smallFS is a file system with a limited number of bytes. A write stores what fits.
type smallFS struct {
	OS
	folder string
	limit  int64
}

type smallFile struct {
	File
	fs *smallFS
}

func (f *smallFS) Open(path string) (File, error) {
	file, err := f.OS.Open(path)
	return &smallFile{File: file, fs: f}, err
}

func (f *smallFS) used() int64 {
	found, _ := os.ReadDir(f.folder)
	total := int64(0)
	for _, e := range found {
		if info, err := e.Info(); err == nil {
			total += info.Size()
		}
	}
	return total
}

func (f *smallFile) Write(data []byte) (int, error) {
	room := max(0, f.fs.limit-f.fs.used())
	if int64(len(data)) <= room {
		return f.File.Write(data)
	}
	n, err := f.File.Write(data[:room])
	return n, errors.Join(err, syscall.ENOSPC)
}

// Guards against a full disk on which small records leave no space for the snapshot whose
// compaction would make space: the log stays full for good.
func TestSmallRecordsLeaveSpaceForSnapshot(t *testing.T) {
	fs := &smallFS{folder: t.TempDir(), limit: 60_000}
	s, err := Create(fs, fs.folder, "g", "a.1")
	assert.NilError(t, err)
	last, term := uint64(0), uint64(1)
	for _, snapshotBytes := range []int{10, 3000, 6000, 10_000} {
		for err = nil; err == nil; {
			if err = s.Append(hardState(term, "a"), []*peerv1.RaftEntry{{Index: last + 1, Term: term, Data: make([]byte, 1000)}}); err == nil {
				last++
			}
		}
		assert.ErrorIs(t, err, port.ErrNotStored)
		for err = nil; err == nil; {
			if err = s.Append(hardState(term+1, "a"), nil); err == nil {
				term++
			}
		}
		assert.ErrorIs(t, err, port.ErrNotStored)
		assert.Assert(t, fs.limit-fs.used() < 40, "%d bytes free", fs.limit-fs.used())
		assert.NilError(t, s.Close())
		s, err = Open(fs, fs.folder, "g")
		assert.NilError(t, err)
		_, _, stored, _ := s.Load()
		snapshot := &peerv1.RaftSnapshot{Index: last, Term: stored[len(stored)-1].Term, Data: make([]byte, snapshotBytes)}
		assert.NilError(t, s.SaveSnapshot(snapshot), "snapshot of %d bytes", snapshotBytes)
		assert.Assert(t, fs.used() <= fs.limit)
		check(t, s, hardState(term, "a"), last, nil)
	}
	assert.NilError(t, s.Close())
}

// Guards against a full disk on which entries cannot be replaced: they would have to be dropped
// before there is space for those that replace them.
func TestEntriesAreReplacedOnFullDisk(t *testing.T) {
	fs := &smallFS{folder: t.TempDir(), limit: 60_000}
	s, err := Create(fs, fs.folder, "g", "a.1")
	assert.NilError(t, err)
	large := func(index, term uint64, size int) []*peerv1.RaftEntry {
		return []*peerv1.RaftEntry{{Index: index, Term: term, Data: make([]byte, size)}}
	}
	assert.NilError(t, s.Append(hardState(1, "a"), entries(1, 5, 1)))
	assert.NilError(t, s.SaveSnapshot(&peerv1.RaftSnapshot{Index: 5, Term: 1}))
	for last := uint64(5); err == nil; last++ {
		err = s.Append(nil, large(last+1, 1, 1000))
	}
	assert.ErrorIs(t, err, port.ErrNotStored)
	term := uint64(1)
	for err = nil; err == nil; term++ {
		err = s.Append(hardState(term+1, "a"), nil)
	}
	assert.ErrorIs(t, err, port.ErrNotStored)
	term--
	kept := append(large(6, 1, 1000), large(7, 1, 1000)...)

	dropped, err := s.Truncate(8)
	assert.NilError(t, err)
	assert.Assert(t, dropped)
	check(t, s, hardState(term, "a"), 5, kept)
	dropped, err = s.Truncate(8)
	assert.NilError(t, err)
	assert.Assert(t, !dropped)
	replacing := large(8, term+1, 5000)
	assert.NilError(t, s.Append(hardState(term+1, "b"), replacing))
	for range 2 {
		check(t, s, hardState(term+1, "b"), 5, append(kept, replacing...))
		assert.Assert(t, fs.used() <= 20_000, "%d bytes on disk", fs.used())
		assert.NilError(t, s.Close())
		s, err = Open(fs, fs.folder, "g")
		assert.NilError(t, err)
	}
	assert.NilError(t, s.Close())
}

// Guards against a difference between what was acknowledged and what a reopened storage holds,
// and against a storage that ends, while a disk is full at random times and the process
// restarts at random times.
func TestReopenedStateIsWhatWasAcknowledged(t *testing.T) {
	refused := 0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		fs := &smallFS{folder: t.TempDir(), limit: 1 << 20}
		s, err := Create(fs, fs.folder, "g", "a.1")
		assert.NilError(t, err)
		var want Memory
		last, term, snapshot := uint64(0), uint64(1), uint64(0)
		for range 200 {
			fs.limit = max(0, fs.used()+rng.Int64N(3000)-500)
			switch rng.IntN(10) {
			case 0:
				assert.NilError(t, s.Close())
				s, err = Open(fs, fs.folder, "g")
				assert.NilError(t, err, "seed %d", seed)
			case 1:
				if snapshot+1 > last {
					continue
				}
				index := snapshot + 1 + rng.Uint64N(last-snapshot)
				image := &peerv1.RaftSnapshot{Index: index, Term: want.state.entries[index-want.state.baseIndex-1].Term, Data: make([]byte, rng.IntN(500))}
				err = s.SaveSnapshot(image)
				if _, stored, _, _ := s.Load(); stored.GetIndex() == index { // the compaction may have failed
					assert.NilError(t, want.SaveSnapshot(image))
					snapshot = index
				}
			case 2:
				index := last + 1 - rng.Uint64N(min(3, last-snapshot+1))
				var dropped bool
				if dropped, err = s.Truncate(index); dropped {
					_, wantErr := want.Truncate(index)
					assert.NilError(t, wantErr)
					last = index - 1
				}
			default:
				term += rng.Uint64N(2)
				first := last + 1 - rng.Uint64N(min(3, last-snapshot+1))
				appended := entries(first, first+rng.Uint64N(4), term)
				for _, e := range appended {
					e.Data = make([]byte, rng.IntN(400))
				}
				if err = s.Append(hardState(term, "a"), appended); err == nil {
					assert.NilError(t, want.Append(hardState(term, "a"), appended))
					last = appended[len(appended)-1].Index
				}
			}
			if err != nil {
				assert.ErrorIs(t, err, port.ErrNotStored, "seed %d", seed)
				refused++
			}
			wantHard, _, wantEntries, _ := want.Load()
			check(t, s, wantHard, snapshot, wantEntries)
		}
		assert.NilError(t, s.Close())
	}
	assert.Assert(t, refused > 200, "only %d calls were refused", refused)
}

// Guards against a log that is held in memory several times when it is read: processes with
// little memory were killed while they started.
func TestLogIsReadWithLittleMoreMemoryThanItsEntries(t *testing.T) {
	const entryBytes, count = 1_500_000, 40
	folder := t.TempDir()
	s, err := Create(OS{}, folder, "g", "a.1")
	assert.NilError(t, err)
	for i := range uint64(count) {
		assert.NilError(t, s.Append(nil, []*peerv1.RaftEntry{{Index: i + 1, Term: 1, Data: make([]byte, entryBytes)}}))
	}
	assert.NilError(t, s.Close())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	s, err = Open(OS{}, folder, "g")
	assert.NilError(t, err)
	defer s.Close()
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < (count+8)*entryBytes, "%d bytes allocated for entries of %d", allocated, count*entryBytes)
}

// Guards against a process that ends when it starts on a full disk, and against one that waits
// for space although something else is wrong or it is to end.
func TestStartWaitsForSpaceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := &faultFS{name: walFile + tempSuffix, step: "write", err: syscall.ENOSPC}
		folder := t.TempDir()
		began := time.Now()
		create := func() error {
			if time.Since(began) >= 5*time.Second {
				fs.step = ""
			}
			s, err := Create(fs, folder, "g", "a.1")
			if err == nil {
				err = s.Close()
			}
			return err
		}
		logger := slog.New(slog.DiscardHandler)
		assert.NilError(t, RetryWhileFull(t.Context(), logger, create))
		assert.Assert(t, time.Since(began) >= 5*time.Second && time.Since(began) <= 6*time.Second)

		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		fs.step, began = "write", time.Now()
		assert.ErrorIs(t, RetryWhileFull(ctx, logger, create), syscall.ENOSPC)

		fs.err = syscall.EACCES
		began = time.Now()
		assert.ErrorIs(t, RetryWhileFull(t.Context(), logger, create), syscall.EACCES)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}
