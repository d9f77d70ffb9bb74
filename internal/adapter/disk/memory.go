package disk

import (
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/peerv1"
)

// Memory is a port.LogStorage for a VM without a disk. Its content is lost when
// the process ends, so the replica must rejoin its group under a new id.
type Memory struct {
	mu       sync.Mutex
	closed   bool
	state    logState
	snapshot *peerv1.RaftSnapshot
	// logBytes and snapshotBytes are the results of Size.
	logBytes, snapshotBytes atomic.Int64
}

// NewMemory returns an empty storage.
func NewMemory() *Memory { return &Memory{} }

// Load implements port.LogStorage.
func (m *Memory) Load() (*peerv1.RaftHardState, *peerv1.RaftSnapshot, []*peerv1.RaftEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, nil, nil, ErrUnusable
	}
	return m.state.hard, m.snapshot, m.state.copyEntries(), nil
}

// Append implements port.LogStorage.
func (m *Memory) Append(hard *peerv1.RaftHardState, entries []*peerv1.RaftEntry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return ErrUnusable
	}
	if err := m.state.putAll(entries); err != nil {
		m.closed = true
		return err
	}
	for _, e := range entries {
		m.logBytes.Add(int64(proto.Size(e)))
	}
	if hard != nil {
		m.state.hard = hard
	}
	return nil
}

// Truncate implements port.LogStorage.
func (m *Memory) Truncate(index uint64) (dropped bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false, ErrUnusable
	}
	if index <= m.state.baseIndex || index > m.state.lastIndex() {
		return false, nil
	}
	kept := index - m.state.baseIndex - 1
	for _, e := range m.state.entries[kept:] {
		m.logBytes.Add(-int64(proto.Size(e)))
	}
	m.state.entries = m.state.entries[:kept:kept]
	return true, nil
}

// SaveSnapshot implements port.LogStorage.
func (m *Memory) SaveSnapshot(snapshot *peerv1.RaftSnapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return ErrUnusable
	}
	m.snapshot = snapshot
	m.state.compactTo(snapshot)
	kept := int64(0)
	for _, e := range m.state.entries {
		kept += int64(proto.Size(e))
	}
	m.logBytes.Store(kept)
	m.snapshotBytes.Store(int64(proto.Size(snapshot)))
	return nil
}

// Size implements port.LogStorage. The result has no overhead for records.
func (m *Memory) Size() (log, snapshot int64) { return m.logBytes.Load(), m.snapshotBytes.Load() }

// Durable implements port.LogStorage.
func (m *Memory) Durable() bool { return false }

// Close implements port.LogStorage.
func (m *Memory) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	return nil
}
