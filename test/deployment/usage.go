package deployment

import (
	"fmt"
	"os"
	"strconv"
	"strings"

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
