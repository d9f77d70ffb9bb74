package state

import (
	"bytes"
	"encoding/gob"

	"github.com/pkg/errors"

	"laburnumgrade/internal/structs"
)

// Snapshot implements port.StateMachine.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(&s.d); err != nil {
		return nil, errors.Wrap(err, "encode snapshot of the data centre group")
	}
	return b.Bytes(), nil
}

// Restore implements port.StateMachine.
func (s *Store) Restore(index uint64, snapshot []byte) error {
	d := newData()
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&d); err != nil {
		return errors.Wrap(err, "decode snapshot of the data centre group")
	}
	d.Index = index
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d = d
	for _, w := range s.d.Workers {
		if w.Attempts == nil {
			w.Attempts = map[uint64]struct{}{}
		}
		if w.Charged == nil {
			w.Charged = map[uint64]structs.Resources{}
		}
	}
	for _, t := range s.d.Teams {
		if t.Given == nil {
			t.Given = map[uint64]structs.Resources{}
		}
	}
	s.watchAll()
	s.observer.Reset()
	return nil
}
