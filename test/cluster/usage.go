package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"laburnumgrade/internal/standin"
)

// clockTicksPerSecond converts the CPU times in /proc, which are in clock
// ticks.
const clockTicksPerSecond = 100

// Pid returns the process id of a started process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// CPU returns the user and system CPU time that a running process has used.
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return 0, errors.Wrapf(err, "read CPU time of %s", p.Name)
	}
	// Fields are counted after the name of the command, which is in parentheses
	// and may contain spaces; 11 and 12 are user and system time.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, errors.Wrapf(err, "read CPU time of %s", p.Name)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}

// Memory returns the resident memory of a running process in bytes.
func (p *Process) Memory() (int64, error) { return p.memoryField("VmRSS:") }

// memoryField returns a field of the status of a running process in bytes.
func (p *Process) memoryField(name string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0, errors.Wrapf(err, "read memory of %s", p.Name)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10, errors.Wrapf(err, "read memory of %s", p.Name)
		}
	}
	return 0, errors.Errorf("status of %s has no %s", p.Name, name)
}

// Traffic returns the requests and bytes that each emulated target has
// exchanged with entries, by target id.
func (c *Cluster) Traffic(ctx context.Context) (map[string]standin.TrafficReport, error) {
	var report map[string]standin.TrafficReport
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/traffic", c.Standin.Admin), nil)
	if err != nil {
		return report, err
	}
	resp, err := c.Client.Do(r)
	if err != nil {
		return report, errors.Wrap(err, "read traffic")
	}
	defer resp.Body.Close()
	return report, errors.Wrap(json.NewDecoder(resp.Body).Decode(&report), "decode traffic")
}

// PeakMemory returns the peak resident memory of a running process in bytes.
func (p *Process) PeakMemory() (int64, error) { return p.memoryField("VmHWM:") }

// OpenDescriptors returns the number of descriptors that a running process has open.
func (p *Process) OpenDescriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	return len(entries), errors.Wrapf(err, "list descriptors of %s", p.Name)
}

// Running reports whether a started process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}
