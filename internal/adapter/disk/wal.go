package disk

import (
	"encoding/binary"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/peerv1"
)

// partKind is the first byte of each part of a record; the length of the part
// follows in four bytes. A record holds all parts of one Append, so that a
// crash during a write damages the last record only.
type partKind byte

const (
	// partBase is the first part of a wal. It holds the index and term of the
	// entry before the first one in the wal.
	partBase      partKind = 1
	partHardState partKind = 2
	partEntry     partKind = 3

	partHeaderBytes = 5
)

// logState is the log as Storage and Memory hold it in memory. Entries follow
// the base, which is the last entry that a snapshot replaced, without a gap.
type logState struct {
	hasBase   bool
	baseIndex uint64
	baseTerm  uint64
	hard      *peerv1.RaftHardState
	entries   []*peerv1.RaftEntry
}

func (l *logState) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// check returns an error if entries cannot be passed to putAll.
func (l *logState) check(entries []*peerv1.RaftEntry) error {
	last := l.lastIndex()
	for _, e := range entries {
		if e.Index <= l.baseIndex || e.Index > last+1 {
			return fmt.Errorf("entry %d does not follow entries %d to %d", e.Index, l.baseIndex, last)
		}
		last = e.Index
	}
	return nil
}

// put adds an entry and drops those with the same or a higher index. It returns an
// error if the entry does not follow the log without a gap.
func (l *logState) put(e *peerv1.RaftEntry) error {
	if e.Index <= l.baseIndex || e.Index > l.lastIndex()+1 {
		return fmt.Errorf("entry %d does not follow entries %d to %d", e.Index, l.baseIndex, l.lastIndex())
	}
	kept := e.Index - l.baseIndex - 1
	if kept < uint64(len(l.entries)) {
		l.entries = l.entries[:kept:kept] // the entries after it are not overwritten
	}
	l.entries = append(l.entries, e)
	return nil
}

// putAll adds entries in order. Only the first may replace others.
func (l *logState) putAll(entries []*peerv1.RaftEntry) error {
	for i, e := range entries {
		if i == 0 || e.Index != l.lastIndex()+1 {
			if err := l.put(e); err != nil {
				return err
			}
			continue
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// compactTo drops the entries that a snapshot replaces and makes the snapshot
// the base of the log. Later entries are kept only if the entry at the
// snapshot's index has the snapshot's term; otherwise the log diverges from the
// committed history and all its entries are dropped. It returns whether they were kept.
func (l *logState) compactTo(s *peerv1.RaftSnapshot) (keep bool) {
	index, term := s.GetIndex(), s.GetTerm()
	keep = index == l.baseIndex && term == l.baseTerm
	if index > l.baseIndex && index <= l.lastIndex() {
		keep = l.entries[index-l.baseIndex-1].Term == term
	}
	if keep {
		l.entries = append([]*peerv1.RaftEntry(nil), l.entries[index-l.baseIndex:]...)
	} else {
		l.entries = nil
	}
	l.baseIndex, l.baseTerm = index, term
	return keep
}

func (l *logState) copyEntries() []*peerv1.RaftEntry {
	return append([]*peerv1.RaftEntry(nil), l.entries...)
}

// replay applies the payload of one record, which holds the parts of one
// Append.
func (l *logState) replay(payload []byte) error {
	for len(payload) > 0 {
		if len(payload) < partHeaderBytes {
			return errors.New("malformed record")
		}
		kind := partKind(payload[0])
		length := binary.LittleEndian.Uint32(payload[1:])
		payload = payload[partHeaderBytes:]
		if int64(length) > int64(len(payload)) {
			return errors.New("malformed record")
		}
		if err := l.replayPart(kind, payload[:length]); err != nil {
			return err
		}
		payload = payload[length:]
	}
	return nil
}

func (l *logState) replayPart(kind partKind, body []byte) error {
	switch kind {
	case partBase:
		if len(body) != 16 {
			return errors.New("malformed base")
		}
		l.baseIndex = binary.LittleEndian.Uint64(body)
		l.baseTerm = binary.LittleEndian.Uint64(body[8:])
		l.hasBase = true
		return nil
	case partHardState:
		l.hard = &peerv1.RaftHardState{}
		return proto.Unmarshal(body, l.hard)
	case partEntry:
		e := &peerv1.RaftEntry{}
		if err := proto.Unmarshal(body, e); err != nil {
			return err
		}
		return l.putAll([]*peerv1.RaftEntry{e})
	}
	return fmt.Errorf("unknown kind %d", kind)
}

// appendParts appends the hard state, if it is not nil, and the entries to a
// payload.
func appendParts(payload []byte, hard *peerv1.RaftHardState, entries []*peerv1.RaftEntry) ([]byte, error) {
	var err error
	if hard != nil {
		if payload, err = appendPart(payload, partHardState, hard); err != nil {
			return nil, err
		}
	}
	for _, e := range entries {
		if payload, err = appendPart(payload, partEntry, e); err != nil {
			return nil, err
		}
	}
	return payload, nil
}

func appendPart(payload []byte, kind partKind, m proto.Message) ([]byte, error) {
	payload = append(payload, byte(kind))
	payload = binary.LittleEndian.AppendUint32(payload, uint32(proto.Size(m)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(payload, m)
}

// encode returns the content of a wal that holds the state in one record.
func (l *logState) encode() ([]byte, error) {
	payload := []byte{byte(partBase)}
	payload = binary.LittleEndian.AppendUint32(payload, 16)
	payload = binary.LittleEndian.AppendUint64(payload, l.baseIndex)
	payload = binary.LittleEndian.AppendUint64(payload, l.baseTerm)
	payload, err := appendParts(payload, l.hard, l.entries)
	return appendRecord(nil, payload), err
}
