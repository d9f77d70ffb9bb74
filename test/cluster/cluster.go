// Package cluster runs the binaries of the system as processes on loopback
// addresses. It is used by the demo, the fault tests and the measurements.
package cluster

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Spec describes a cluster.
type Spec struct {
	// Bin is the folder of the binaries; Folder is that of settings, data and logs.
	Bin, Folder string
	// DataCentres are the names of the data centres.
	DataCentres      []string
	VMsPerDataCentre int
	// DisksPerDataCentre is the number of VMs that have a disk.
	DisksPerDataCentre int
	// Voters is the number of voters of the group of a data centre. They run on
	// the VMs of that data centre first, then on those of the next one.
	// FleetVoters is the number of voters of the fleet group.
	Voters, FleetVoters int
	// StandinArgs are additional arguments of lg-standin, which emulates the
	// targets.
	StandinArgs []string
	// ControlLimits and EntryLimits are lines of the section limits of the settings of lg-control
	// and lg-entry.
	ControlLimits, EntryLimits string
	// Relays puts a relay on each link between VMs, so that links can be cut.
	Relays bool
}

// Process is one process of the cluster, whether it is running or not.
type Process struct {
	Name       string
	DataCentre string
	// Public is the address of an entry for callers, Peer the address for other
	// processes, and Admin the admin address.
	Public, Peer, Admin string
	// Folder is the data folder, empty for a process without a disk.
	Folder string
	args   []string
	bin    string
	log    string
	cmd    *exec.Cmd
	done   chan struct{}
}

// Cluster is a set of processes. Controls and Entries are ordered by data
// centre and VM: index d*VMsPerDataCentre+v is on VM v of data centre d.
type Cluster struct {
	Spec        Spec
	Controls    []*Process
	Entries     []*Process
	Standin     *Process
	OperatorKey string
	Client      *http.Client
	relays      *relays
}

// loopbackIP returns the loopback address of a VM.
func loopbackIP(dc, vm int) string { return fmt.Sprintf("127.77.%d.%d", dc+1, vm+1) }

// ports finds free ports. It listens on them until all are found, because the
// kernel may assign a port again as soon as it is closed.
type ports struct{ listeners []net.Listener }

// address returns the IP address with a free port.
func (p *ports) address(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	p.listeners = append(p.listeners, l)
	return l.Addr().String(), nil
}

func (p *ports) release() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
}

// New chooses the addresses and writes the settings files. It starts the relays
// but no process.
func New(spec Spec) (*Cluster, error) {
	c := &Cluster{Spec: spec, OperatorKey: "operator-key-of-the-test-cluster", Client: &http.Client{Timeout: 30 * time.Second}}
	free := &ports{}
	defer free.release()
	for d, dc := range spec.DataCentres {
		for v := range spec.VMsPerDataCentre {
			control := &Process{Name: fmt.Sprintf("control-%s-%d", strings.ToLower(dc), v), DataCentre: dc, bin: "lg-control"}
			entry := &Process{Name: fmt.Sprintf("entry-%s-%d", strings.ToLower(dc), v), DataCentre: dc, bin: "lg-entry"}
			for _, a := range []*string{&control.Peer, &control.Admin, &entry.Peer, &entry.Public, &entry.Admin} {
				var err error
				if *a, err = free.address(loopbackIP(d, v)); err != nil {
					return nil, err
				}
			}
			if v < spec.DisksPerDataCentre {
				control.Folder = filepath.Join(spec.Folder, "data", control.Name)
			}
			c.Controls = append(c.Controls, control)
			c.Entries = append(c.Entries, entry)
		}
	}
	if spec.Relays {
		if err := c.addRelays(); err != nil {
			return nil, err
		}
	}
	for i, p := range c.Controls {
		if err := c.writeSettings(p, c.controlSettings(p)+c.relaySection(i)); err != nil {
			return nil, err
		}
	}
	for i, p := range c.Entries {
		if err := c.writeSettings(p, c.entrySettings(p)+c.relaySection(i)); err != nil {
			return nil, err
		}
	}
	return c, c.prepareStandin(free)
}

func (c *Cluster) prepareStandin(free *ports) error {
	p := &Process{Name: "standin", bin: "lg-standin"}
	var err error
	if p.Admin, err = free.address("127.0.0.1"); err != nil {
		return err
	}
	p.args = append([]string{"--admin", p.Admin}, c.Spec.StandinArgs...)
	for _, e := range c.Entries {
		p.args = append(p.args, "--entry", e.DataCentre+"="+e.Public)
	}
	p.log = filepath.Join(c.Spec.Folder, p.Name+".log")
	c.Standin = p
	return nil
}

func (c *Cluster) relaySection(i int) string {
	if c.relays == nil {
		return ""
	}
	return c.relays.settingsSection(vm{i / c.Spec.VMsPerDataCentre, i % c.Spec.VMsPerDataCentre})
}

func (c *Cluster) writeSettings(p *Process, text string) error {
	if p.Folder != "" {
		if err := os.MkdirAll(p.Folder, 0o700); err != nil {
			return errors.Wrap(err, "create data folder")
		}
	}
	path := filepath.Join(c.Spec.Folder, p.Name+".ini")
	p.args = []string{"--settings", path}
	p.log = filepath.Join(c.Spec.Folder, p.Name+".log")
	return errors.Wrap(os.WriteFile(path, []byte(text), 0o600), "write settings")
}

func (c *Cluster) processSection(p *Process) string {
	return fmt.Sprintf("[process]\nname = %s\nvm = vm-%s\ndata_centre = %s\nadmin = %s\n", p.Name, p.Name, p.DataCentre, p.Admin)
}

func (c *Cluster) peersSection() string {
	var b strings.Builder
	b.WriteString("[peers]\n")
	for _, p := range c.Controls {
		fmt.Fprintf(&b, "%s = %s %s\n", p.Name, p.Peer, p.DataCentre)
	}
	return b.String()
}

func (c *Cluster) controlSettings(p *Process) string {
	s := c.processSection(p) + "[listen]\npeer = " + p.Peer + "\n"
	if p.Folder != "" {
		s += "[disk]\nfolder = " + p.Folder + "\n"
	}
	s += c.peersSection() + "[groups]\nfleet = " + strings.Join(c.FleetVoters(), ", ") + "\n"
	for _, dc := range c.Spec.DataCentres {
		s += dc + " = " + strings.Join(c.Voters(dc), ", ") + "\n"
	}
	return s + "[limits]\n" + c.Spec.ControlLimits
}

func (c *Cluster) entrySettings(p *Process) string {
	hash := sha256.Sum256([]byte(c.OperatorKey))
	return c.processSection(p) + "[listen]\npublic = " + p.Public + "\npeer = " + p.Peer + "\n" +
		c.peersSection() + "[operator]\nkey_hash = " + hex.EncodeToString(hash[:]) + "\n[limits]\n" + c.Spec.EntryLimits
}

// Voters returns the names of the voters of the group of a data centre.
func (c *Cluster) Voters(dc string) []string {
	first := 0
	for i, p := range c.Controls {
		if p.DataCentre == dc {
			first = i
			break
		}
	}
	var names []string
	for i := range c.Spec.Voters {
		names = append(names, c.Controls[(first+i)%len(c.Controls)].Name)
	}
	return names
}

// FleetVoters returns the names of the voters of the fleet group: the processes
// on the first VM of each data centre, then those on the second VMs, and so on.
func (c *Cluster) FleetVoters() []string {
	var names []string
	for v := range c.Spec.VMsPerDataCentre {
		for d := range c.Spec.DataCentres {
			if len(names) < c.Spec.FleetVoters {
				names = append(names, c.Controls[d*c.Spec.VMsPerDataCentre+v].Name)
			}
		}
	}
	return names
}

// Start starts a process. Its output is appended to its log file.
func (c *Cluster) Start(p *Process) error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(c.Spec.Bin, p.bin), p.args...)
	p.cmd.Stderr = log
	p.cmd.Stdout = log
	p.done = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// StartAll starts all processes.
func (c *Cluster) StartAll() error {
	for _, list := range [][]*Process{c.Controls, c.Entries, {c.Standin}} {
		for _, p := range list {
			if err := c.Start(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// Signal sends a signal to a running process.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait waits until the process has exited and returns its exit code, or -1
// after the timeout.
func (p *Process) Wait(timeout time.Duration) int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// Stop kills all processes and closes the relays.
func (c *Cluster) Stop() {
	for _, list := range [][]*Process{{c.Standin}, c.Entries, c.Controls} {
		for _, p := range list {
			p.Kill()
		}
	}
	if c.relays != nil {
		c.relays.close()
	}
}

// Retry calls fn every 50 ms until it succeeds, the limit has passed or the
// context ends, and returns the last error of fn.
func Retry(ctx context.Context, limit time.Duration, fn func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := fn(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
}
