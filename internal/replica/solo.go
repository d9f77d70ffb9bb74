package replica

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"laburnumgrade/internal/port"
)

// Solo is a log with one replica: each command is synced to a file before it is
// applied.
type Solo struct {
	mu      sync.Mutex
	file    *os.File
	index   uint64
	machine port.StateMachine
	since   time.Duration
	id      string
	address string
}

// OpenSolo opens the log file, applying what it holds.
func OpenSolo(path, id, address string, machine port.StateMachine, clock port.Clock) (*Solo, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	s := &Solo{file: f, machine: machine, since: clock.Now(), id: id, address: address}
	r := bufio.NewReader(f)
	for {
		var size [4]byte
		if _, err := io.ReadFull(r, size[:]); err != nil {
			break
		}
		command := make([]byte, binary.LittleEndian.Uint32(size[:]))
		if _, err := io.ReadFull(r, command); err != nil {
			break
		}
		s.index++
		machine.Apply(s.index, command)
	}
	return s, nil
}

// Propose implements port.Log.
func (s *Solo) Propose(_ context.Context, command []byte) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := binary.LittleEndian.AppendUint32(nil, uint32(len(command)))
	record = append(record, command...)
	if _, err := s.file.Write(record); err != nil {
		return nil, errors.Wrap(err, "write log")
	}
	if err := s.file.Sync(); err != nil {
		return nil, errors.Wrap(err, "sync log")
	}
	s.index++
	return s.machine.Apply(s.index, command), nil
}

// Lease implements port.Log.
func (s *Solo) Lease() (time.Duration, bool) { return s.since, true }

// Leader implements port.Log.
func (s *Solo) Leader() (string, string) { return s.id, s.address }
