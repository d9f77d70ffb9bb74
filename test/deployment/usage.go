package deployment

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Running reports whether the program that Start started last has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// folder returns the folder of the program in /proc.
func (p *Process) folder() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
}

// PeakMemory returns the peak resident memory of the program in bytes.
func (p *Process) PeakMemory() (int64, error) {
	status, err := os.ReadFile(p.folder() + "/status")
	if err != nil {
		return 0, errors.Wrapf(err, "read status of %s", p.Name)
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	kB, _, found := strings.Cut(after, "kB")
	if !found { // the program has ended
		return 0, errors.Errorf("status of %s has no VmHWM", p.Name)
	}
	n, err := strconv.ParseInt(strings.TrimSpace(kB), 10, 64)
	return n << 10, errors.Wrapf(err, "read VmHWM of %s", p.Name)
}

// OpenDescriptors returns the number of descriptors that the program has open.
func (p *Process) OpenDescriptors() (int, error) {
	entries, err := os.ReadDir(p.folder() + "/fd")
	return len(entries), errors.Wrapf(err, "list descriptors of %s", p.Name)
}

// clockTicks is the number of clock ticks a second in /proc, which Linux fixes at 100.
const clockTicks = 100

// ProcessorTime returns the processor time that the program has used.
func (p *Process) ProcessorTime() (time.Duration, error) {
	stat, err := os.ReadFile(p.folder() + "/stat")
	if err != nil {
		return 0, errors.Wrapf(err, "read stat of %s", p.Name)
	}
	// The name of the program in parentheses may contain spaces. After it, the fields 12 and 13
	// are the times in user and in system mode.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.Errorf("stat of %s has %d fields", p.Name, len(fields))
	}
	var ticks int64
	for _, field := range fields[11:13] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.Wrapf(err, "read stat of %s", p.Name)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}
