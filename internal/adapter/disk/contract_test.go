package disk

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
)

func entry(index, term uint64) *peerv1.RaftEntry {
	return &peerv1.RaftEntry{Index: index, Term: term, Data: []byte{byte(index), byte(term)}}
}

func entries(from, to, term uint64) []*peerv1.RaftEntry {
	var found []*peerv1.RaftEntry
	for i := from; i <= to; i++ {
		found = append(found, entry(i, term))
	}
	return found
}

func hardState(term uint64, vote string) *peerv1.RaftHardState {
	return &peerv1.RaftHardState{Term: term, Vote: vote}
}

// check compares the content of the storage with the expected one.
func check(t *testing.T, s port.LogStorage, hard *peerv1.RaftHardState, snapshot uint64, want []*peerv1.RaftEntry) {
	t.Helper()
	gotHard, gotSnapshot, got, err := s.Load()
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(gotHard, hard), "hard state %v, want %v", gotHard, hard)
	assert.Equal(t, gotSnapshot.GetIndex(), snapshot)
	assert.Equal(t, len(got), len(want))
	for i := range want {
		assert.Assert(t, proto.Equal(got[i], want[i]), "entry %v, want %v", got[i], want[i])
	}
}

// TestContract runs the same cases on Memory, on Storage, and on Storage after
// its folder was opened again. It guards against entries that are lost, kept
// after they were replaced, or kept together with a snapshot of another
// history.
func TestContract(t *testing.T) {
	cases := []struct {
		name     string
		run      func(s port.LogStorage) error
		hard     *peerv1.RaftHardState
		snapshot uint64
		want     []*peerv1.RaftEntry
	}{
		{name: "empty", run: func(port.LogStorage) error { return nil }},
		{
			name: "append",
			run: func(s port.LogStorage) error {
				if err := s.Append(hardState(1, "a"), entries(1, 3, 1)); err != nil {
					return err
				}
				return s.Append(nil, entries(4, 5, 1))
			},
			hard: hardState(1, "a"), want: entries(1, 5, 1),
		},
		{
			name: "truncate",
			run: func(s port.LogStorage) error {
				if err := s.Append(hardState(1, "a"), entries(1, 5, 1)); err != nil {
					return err
				}
				for index, want := range map[uint64]bool{0: false, 6: false, 4: true} {
					if dropped, err := s.Truncate(index); err != nil || dropped != want {
						return fmt.Errorf("truncation from %d: dropped %t, error %w", index, dropped, err)
					}
				}
				return s.Append(nil, entries(4, 4, 2))
			},
			hard: hardState(1, "a"), want: append(entries(1, 3, 1), entry(4, 2)),
		},
		{
			name: "replace a suffix",
			run: func(s port.LogStorage) error {
				if err := s.Append(hardState(1, "a"), entries(1, 5, 1)); err != nil {
					return err
				}
				return s.Append(hardState(2, ""), entries(3, 3, 2))
			},
			hard: hardState(2, ""), want: append(entries(1, 2, 1), entry(3, 2)),
		},
		{
			name: "snapshot of the log's history keeps later entries",
			run: func(s port.LogStorage) error {
				if err := s.Append(hardState(1, "a"), entries(1, 5, 1)); err != nil {
					return err
				}
				if err := s.SaveSnapshot(&peerv1.RaftSnapshot{Index: 3, Term: 1}); err != nil {
					return err
				}
				return s.Append(nil, entries(6, 6, 1))
			},
			hard: hardState(1, "a"), snapshot: 3, want: entries(4, 6, 1),
		},
		{
			name: "snapshot of another history drops all entries",
			run: func(s port.LogStorage) error {
				if err := s.Append(hardState(3, "a"), entries(1, 5, 1)); err != nil {
					return err
				}
				return s.SaveSnapshot(&peerv1.RaftSnapshot{Index: 3, Term: 2})
			},
			hard: hardState(3, "a"), snapshot: 3,
		},
		{
			name: "snapshot past the log",
			run: func(s port.LogStorage) error {
				if err := s.Append(hardState(3, "a"), entries(1, 5, 1)); err != nil {
					return err
				}
				if err := s.SaveSnapshot(&peerv1.RaftSnapshot{Index: 9, Term: 2}); err != nil {
					return err
				}
				return s.Append(nil, entries(10, 11, 3))
			},
			hard: hardState(3, "a"), snapshot: 9, want: entries(10, 11, 3),
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			memory := NewMemory()
			assert.NilError(t, c.run(memory))
			check(t, memory, c.hard, c.snapshot, c.want)

			folder := t.TempDir()
			s, err := Create(OS{}, folder, "g", "a.1")
			assert.NilError(t, err)
			assert.NilError(t, c.run(s))
			check(t, s, c.hard, c.snapshot, c.want)
			assert.NilError(t, s.Close())
			s, err = Open(OS{}, folder, "g")
			assert.NilError(t, err)
			defer s.Close()
			assert.Equal(t, s.ID(), "a.1")
			check(t, s, c.hard, c.snapshot, c.want)
		})
	}
}

// TestGap guards against a storage that accepts an entry which does not follow
// the last one, and against one that is still used after that error.
func TestGap(t *testing.T) {
	s, err := Create(OS{}, t.TempDir(), "g", "a.1")
	assert.NilError(t, err)
	defer s.Close()
	for _, storage := range []port.LogStorage{NewMemory(), s} {
		assert.ErrorContains(t, storage.Append(nil, entries(2, 2, 1)), "does not follow")
		assert.ErrorIs(t, storage.Append(nil, entries(1, 1, 1)), ErrUnusable)
	}
}
