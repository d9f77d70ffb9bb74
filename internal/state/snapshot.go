package state

import (
	"bytes"
	"encoding/gob"

	"github.com/pkg/errors"

	"laburnumgrade/internal/structs"
)

// Snapshot implements port.StateMachine. It encodes the whole state with gob.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(&s.data); err != nil {
		return nil, errors.Wrap(err, "encode snapshot of the data centre group")
	}
	return b.Bytes(), nil
}

// Restore implements port.StateMachine. It replaces the whole state; index is the
// log index that the snapshot covers. Gob leaves out empty maps, so they are created
// again.
func (s *Store) Restore(index uint64, snapshot []byte) error {
	d := newData()
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&d); err != nil {
		return errors.Wrap(err, "decode snapshot of the data centre group")
	}
	d.Index = index
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = d
	for _, w := range s.data.Workers {
		if w.Attempts == nil {
			w.Attempts = map[uint64]struct{}{}
		}
		if w.Charged == nil {
			w.Charged = map[uint64]structs.Resources{}
		}
	}
	for _, t := range s.data.Teams {
		if t.Given == nil {
			t.Given = map[uint64]structs.Resources{}
		}
	}
	s.rebuildDueQueue()
	s.observer.Reset()
	return nil
}
