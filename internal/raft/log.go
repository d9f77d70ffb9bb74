package raft

import (
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/peerv1"
)

// entryLog is the part of the log that is in memory: the entries that follow the one
// with index prevIndex and term prevTerm.
type entryLog struct {
	prevIndex uint64
	prevTerm  uint64
	entries   []*peerv1.RaftEntry
	// snapshot is the newest snapshot. It covers the entries up to prevIndex or
	// further.
	snapshot *peerv1.RaftSnapshot
	stable   uint64 // highest index that is stored
	commit   uint64
	// handedOut is the highest index that a Ready has passed on to the state machine,
	// and applied the highest one that the state machine is known to have applied.
	handedOut uint64
	applied   uint64
}

func newEntryLog(snapshot *peerv1.RaftSnapshot, entries []*peerv1.RaftEntry) *entryLog {
	l := &entryLog{
		prevIndex: snapshot.GetIndex(),
		prevTerm:  snapshot.GetTerm(),
		entries:   entries,
		snapshot:  snapshot,
		commit:    snapshot.GetIndex(),
		handedOut: snapshot.GetIndex(),
		applied:   snapshot.GetIndex(),
	}
	l.stable = l.last()
	return l
}

func (l *entryLog) first() uint64 { return l.prevIndex + 1 }

func (l *entryLog) last() uint64 { return l.prevIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index; false if it is not in memory.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.prevIndex:
		return l.prevTerm, true
	case index < l.prevIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.first()].Term, true
}

// matches reports whether the entry at index is in memory and has the term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends at (index, term) is at least as
// complete as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// slice returns the entries from index from to index to, both included. It stops
// before the total size exceeds maxBytes, but returns at least one entry.
func (l *entryLog) slice(from, to uint64, maxBytes int) []*peerv1.RaftEntry {
	if from > to {
		return nil
	}
	found := l.entries[from-l.first() : to-l.first()+1]
	size := 0
	for i, e := range found {
		size += len(e.Data) + 16
		if i > 0 && size > maxBytes {
			return found[:i:i]
		}
	}
	return found[:len(found):len(found)]
}

// truncate drops the entries from index on. The kept entries are copied to a new
// slice, because messages that are being sent share the old one.
func (l *entryLog) truncate(index uint64) {
	if index <= l.commit {
		panic("raft: truncation of a committed entry")
	}
	kept := l.entries[:index-l.first()]
	l.entries = append(make([]*peerv1.RaftEntry, 0, len(kept)+16), kept...)
	l.stable = min(l.stable, index-1)
}

// findConflict returns the largest index, at most the given one, whose entry has a
// term of at most term. No later entry can match the log of a leader whose entry at
// index has that term.
func (l *entryLog) findConflict(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.commit {
		t, ok := l.term(index)
		if !ok || t <= term {
			break
		}
		index--
	}
	return index
}

// install replaces the whole log by a snapshot, which the state machine has yet to
// restore.
func (l *entryLog) install(s *peerv1.RaftSnapshot) {
	applied := l.applied
	*l = *newEntryLog(s, nil)
	l.applied = applied
}

// compact records a new snapshot and drops the entries before it, except for the
// last retained ones, of at most maxBytes unless that is 0.
func (l *entryLog) compact(s *peerv1.RaftSnapshot, retained uint64, maxBytes int64) {
	l.snapshot = s
	if maxBytes > 0 {
		retained = min(retained, l.countBack(s.Index, maxBytes))
	}
	if s.Index <= l.prevIndex+retained {
		return
	}
	prev := s.Index - retained
	term, _ := l.term(prev)
	l.entries = append([]*peerv1.RaftEntry(nil), l.entries[prev-l.prevIndex:]...)
	l.prevIndex, l.prevTerm = prev, term
}

// countBack returns how many of the entries up to index fit into maxBytes, counted from the
// last one.
func (l *entryLog) countBack(index uint64, maxBytes int64) uint64 {
	count := uint64(0)
	for i := index; i > l.prevIndex; i-- {
		if maxBytes -= int64(len(l.entries[i-l.first()].Data)); maxBytes < 0 {
			break
		}
		count++
	}
	return count
}

// cloneMembership returns a copy of the membership; an empty one for nil.
func cloneMembership(m *peerv1.RaftMembership) *peerv1.RaftMembership {
	if m == nil {
		return &peerv1.RaftMembership{}
	}
	return proto.Clone(m).(*peerv1.RaftMembership)
}
