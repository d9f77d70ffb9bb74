package config

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"laburnumgrade/internal/intake"
)

// Bounds and defaults of the settings of a cell's processes.
const (
	maxLease                 = time.Minute
	maxEndedJobRetention     = 24 * time.Hour
	maxRemoteFactor          = 100
	maxTolerated             = 8
	defaultTolerated         = 1
	defaultMaxLease          = 6 * time.Second
	defaultEndedJobRetention = 2 * time.Minute
	defaultCellDrain         = 5 * time.Second
	defaultHolderLease       = 3 * time.Second
	defaultMinServingTime    = 4500 * time.Millisecond
	maxSeedsTextBytes        = 4096
	maxDescriptors           = 1 << 30
	// minDescriptors is the least number of descriptors beside the reserved ones with
	// which a process can serve.
	minDescriptors             = 64
	defaultReservedDescriptors = 200
	minMemoryBytes             = 16 << 20
	maxMemoryBytes             = 1 << 40
	// minRequestMemoryBytes is the least budget with which bodies of 256 KiB are accepted.
	minRequestMemoryBytes = 1 << 20
	// requestMemoryDivisor sets the default of request_memory, an eighth of the memory: a
	// buffered byte costs up to three bytes of heap before the garbage collector runs, and the
	// rest of the process needs half of the memory.
	requestMemoryDivisor = 8
	// defaultRequestMemoryBytes applies if the memory is not limited.
	defaultRequestMemoryBytes = 64 << 20
	// minHeader, minTimeout and minIdle are the limits that sites state: heads of 16 KiB, 3 s
	// for a head, 15 s idle.
	minHeader     = 16 << 10
	maxHeader     = 1 << 20
	minTimeout    = 3 * time.Second
	minIdle       = 15 * time.Second
	maxConnection = 10 * time.Minute
	// minMaxLogBytes leaves room for some hundred entries of a few kilobytes. maxMaxLogBytes
	// is the size up to which a log is rewritten as one record. defaultMaxLogBytes is an
	// eighth of the smallest disk, 128 MB.
	minMaxLogBytes     = 1 << 20
	maxMaxLogBytes     = 1 << 30
	defaultMaxLogBytes = 16 << 20
)

// ProcessLimits are the bounds of what a process uses.
type ProcessLimits struct {
	// Descriptors is how many descriptors the process may open, 0 for the limit of the
	// operating system. ReservedDescriptors of them are not used for connections or the
	// data folder.
	Descriptors         int
	ReservedDescriptors int
	// MemoryBytes is how much memory the process may use before it is killed, 0 if that is
	// not limited.
	MemoryBytes int64
}

// CellCommon holds the settings that lg-cell and lg-gateway have in common.
type CellCommon struct {
	Process Process
	// PeerAddress serves the calls of other processes. Its port must be the same on
	// all VMs, because the process dials the seeds at this port.
	PeerAddress netip.AddrPort
	// Seeds are the peer addresses of control processes from which the process
	// finds the leader.
	Seeds []string
	// AdviceAddress is the service that decides which workers may run a step; the
	// zero value if there is none.
	AdviceAddress netip.AddrPort
	// DrainTimeout bounds the time of a shutdown.
	DrainTimeout time.Duration
	ProcessLimits
	// RequestMemoryBytes bounds the bytes of requests that were received and not yet answered.
	RequestMemoryBytes int64
	// RequestLimits bound the connections at the public address.
	RequestLimits intake.Limits
}

// Gateway holds the settings of lg-gateway.
type Gateway struct {
	CellCommon
	// PublicAddress serves clients; ReadinessAddress serves the readiness checks.
	PublicAddress    netip.AddrPort
	ReadinessAddress netip.AddrPort
}

// Cell holds the settings of lg-cell.
type Cell struct {
	CellCommon
	// PublicAddress serves operators and workers.
	PublicAddress netip.AddrPort
	// DataFolder holds the replicated state.
	DataFolder string
	// MaxLogBytes is the growth of the log in the data folder after which it is replaced by a
	// snapshot.
	MaxLogBytes int64
	// Bootstrap is set only for the first start of the whole cell.
	Bootstrap bool
	// MaxLease is the longest lease that a worker may be given.
	MaxLease time.Duration
	// EndedJobRetention is how long an ended job stays in the replicated state.
	EndedJobRetention time.Duration
	// MachinesAddress is the service that takes machines down for upkeep; the zero
	// value if there is none.
	MachinesAddress netip.AddrPort
	// HolderLease is how long a new leader waits before it orders machine upkeep,
	// so that the orders of two leaders cannot overlap.
	HolderLease time.Duration
	// MinServingTime is how long a daemon task must have served without a break to
	// count as available.
	MinServingTime time.Duration
	// RemoteFactor is the ratio of the run time of a task outside the rack of its
	// data to its run time inside.
	RemoteFactor float64
	// Admission is set if jobs that are not expected to be complete in time are refused.
	Admission bool
	// ToleratedVMs and ToleratedDataCentres are how many control VMs, or data centres,
	// may be lost at the same time, disks included. The larger one determines the number
	// of voters.
	ToleratedVMs         int
	ToleratedDataCentres int
}

// seedsKind is a list of addresses of control processes. Only their IP addresses
// are used; readCommon replaces the ports.
var seedsKind = kind[[]netip.AddrPort]{allowed: "ip:port, comma separated", parse: func(s string) ([]netip.AddrPort, bool) {
	var seeds []netip.AddrPort
	if len(s) > maxSeedsTextBytes {
		return nil, false
	}
	for _, part := range strings.Split(s, ",") {
		address, ok := parseAddress(strings.TrimSpace(part))
		if !ok {
			return nil, false
		}
		seeds = append(seeds, address)
	}
	return seeds, true
}}

// readCommon reads the settings of CellCommon. Each seed gets the port of the
// process's own peer address.
func readCommon(r *reader) CellCommon {
	c := CellCommon{Process: readProcess(r), PeerAddress: required(r, "listen", "peer", addressKind())}
	for _, seed := range required(r, "cell", "seeds", seedsKind) {
		c.Seeds = append(c.Seeds, netip.AddrPortFrom(seed.Addr(), c.PeerAddress.Port()).String())
	}
	c.AdviceAddress = optional(r, "cell", "advice", addressKind(), netip.AddrPort{})
	c.DrainTimeout = optional(r, "limits", "drain", durationKind(0, maxDrain), defaultCellDrain)
	c.ProcessLimits = readProcessLimits(r)
	c.RequestMemoryBytes = readRequestMemory(r, c.MemoryBytes, 0)
	c.RequestLimits = readRequestLimits(r)
	return c
}

// readProcessLimits reads the bounds of what a process uses.
func readProcessLimits(r *reader) ProcessLimits {
	l := ProcessLimits{
		ReservedDescriptors: int(optional(r, "limits", "reserved_descriptors", wholeKind(0, maxDescriptors), defaultReservedDescriptors)),
		Descriptors:         int(optional(r, "limits", "descriptors", wholeKind(0, maxDescriptors), 0)),
		MemoryBytes:         optional(r, "limits", "memory", memoryKind(minMemoryBytes, maxMemoryBytes), 0),
	}
	if least := l.ReservedDescriptors + minDescriptors; l.Descriptors > 0 && l.Descriptors < least && r.valid("limits.descriptors", "limits.reserved_descriptors") {
		r.fault("limits", "descriptors", fmt.Sprint(l.Descriptors), fmt.Sprintf("0 or at least %d, %d more than reserved_descriptors", least, minDescriptors))
	}
	return l
}

// readRequestMemory reads request_memory for a process with the memory, 0 if that is not
// limited. In that case the default is at least least.
func readRequestMemory(r *reader, memory, least int64) int64 {
	defaultValue := max(defaultRequestMemoryBytes, least)
	if memory > 0 {
		defaultValue = memory / requestMemoryDivisor
	}
	bytes := optional(r, "limits", "request_memory", memoryKind(minRequestMemoryBytes, maxMemoryBytes), defaultValue)
	if memory > 0 && bytes > memory/2 && r.valid("limits.memory", "limits.request_memory") {
		r.fault("limits", "request_memory", FormatBytes(bytes), "at most half of memory")
	}
	return bytes
}

// readRequestLimits reads the bounds of connections.
func readRequestLimits(r *reader) intake.Limits {
	d := intake.DefaultLimits
	return intake.Limits{
		MaxHeaderBytes: int(optional(r, "limits", "max_header", memoryKind(minHeader, maxHeader), int64(d.MaxHeaderBytes))),
		HeaderTimeout:  optional(r, "limits", "header_timeout", durationKind(minTimeout, maxConnection), d.HeaderTimeout),
		BodyTimeout:    optional(r, "limits", "body_timeout", durationKind(minTimeout, maxConnection), d.BodyTimeout),
		IdleTimeout:    optional(r, "limits", "idle_timeout", durationKind(minIdle, maxConnection), d.IdleTimeout),
		WriteTimeout:   optional(r, "limits", "write_timeout", durationKind(minTimeout, maxConnection), d.WriteTimeout),
	}
}

// ReadGateway reads and checks the settings file of lg-gateway.
func ReadGateway(path string) (*Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseGateway(path, text)
}

// ParseGateway parses and checks settings of lg-gateway. An error is of type Faults;
// file is only used in it.
func ParseGateway(file string, text []byte) (*Gateway, error) {
	r := newReader(file, text)
	g := &Gateway{
		CellCommon:       readCommon(r),
		PublicAddress:    required(r, "listen", "public", addressKind()),
		ReadinessAddress: required(r, "listen", "ready", addressKind()),
	}
	if err := r.finish(); err != nil {
		return nil, err
	}
	return g, nil
}

// ReadCell reads and checks the settings file of lg-cell.
func ReadCell(path string) (*Cell, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseCell(path, text)
}

// ParseCell parses and checks settings of lg-cell. An error is of type Faults;
// file is only used in it.
func ParseCell(file string, text []byte) (*Cell, error) {
	r := newReader(file, text)
	c := &Cell{
		CellCommon:        readCommon(r),
		PublicAddress:     required(r, "listen", "public", addressKind()),
		DataFolder:        required(r, "disk", "folder", folderKind),
		MaxLogBytes:       optional(r, "disk", "max_log", memoryKind(minMaxLogBytes, maxMaxLogBytes), defaultMaxLogBytes),
		Bootstrap:         optional(r, "cell", "bootstrap", yesNoKind, false),
		MaxLease:          optional(r, "cell", "max_lease", durationKind(time.Second, maxLease), defaultMaxLease),
		EndedJobRetention: optional(r, "cell", "keep_ended", durationKind(time.Second, maxEndedJobRetention), defaultEndedJobRetention),
		MachinesAddress:   optional(r, "cell", "machines", addressKind(), netip.AddrPort{}),
		HolderLease:       optional(r, "cell", "holder_lease", durationKind(0, maxLease), defaultHolderLease),
		MinServingTime:    optional(r, "cell", "notice", durationKind(0, maxLease), defaultMinServingTime),
		Admission:         optional(r, "cell", "admission", yesNoKind, true),
		RemoteFactor:      optional(r, "cell", "remote_factor", fractionKind(1, maxRemoteFactor), 1),

		ToleratedVMs:         int(optional(r, "cell", "tolerated_vms", wholeKind(0, maxTolerated), defaultTolerated)),
		ToleratedDataCentres: int(optional(r, "cell", "tolerated_data_centres", wholeKind(0, maxTolerated), defaultTolerated)),
	}
	if err := r.finish(); err != nil {
		return nil, err
	}
	return c, nil
}

// common writes the sections process and cell. The latter stays open for further
// keys.
func (p *printer) common(c *CellCommon) {
	p.process(c.Process)
	p.section("cell")
	p.key("seeds", strings.Join(c.Seeds, ", "))
	if c.AdviceAddress.IsValid() {
		p.key("advice", c.AdviceAddress)
	}
}

// processLimits writes the bounds of what a process uses.
func (p *printer) processLimits(l *ProcessLimits) {
	p.key("descriptors", l.Descriptors)
	p.key("reserved_descriptors", l.ReservedDescriptors)
	if l.MemoryBytes > 0 {
		p.key("memory", FormatBytes(l.MemoryBytes))
	}
}

// cellLimits writes the section limits.
func (p *printer) cellLimits(c *CellCommon) {
	p.section("limits")
	p.key("drain", c.DrainTimeout)
	p.processLimits(&c.ProcessLimits)
	p.key("request_memory", FormatBytes(c.RequestMemoryBytes))
	p.key("max_header", FormatBytes(int64(c.RequestLimits.MaxHeaderBytes)))
	p.key("header_timeout", c.RequestLimits.HeaderTimeout)
	p.key("body_timeout", c.RequestLimits.BodyTimeout)
	p.key("idle_timeout", c.RequestLimits.IdleTimeout)
	p.key("write_timeout", c.RequestLimits.WriteTimeout)
}

// String returns the settings as an INI text that ParseGateway accepts.
func (g *Gateway) String() string {
	var p printer
	p.common(&g.CellCommon)
	p.section("listen")
	p.key("public", g.PublicAddress)
	p.key("ready", g.ReadinessAddress)
	p.key("peer", g.PeerAddress)
	p.cellLimits(&g.CellCommon)
	return p.String()
}

// String returns the settings as an INI text that ParseCell accepts.
func (c *Cell) String() string {
	var p printer
	p.common(&c.CellCommon)
	p.key("bootstrap", yesNo(c.Bootstrap))
	p.key("max_lease", c.MaxLease)
	p.key("keep_ended", c.EndedJobRetention)
	p.key("remote_factor", c.RemoteFactor)
	p.key("tolerated_vms", c.ToleratedVMs)
	p.key("tolerated_data_centres", c.ToleratedDataCentres)
	if c.MachinesAddress.IsValid() {
		p.key("machines", c.MachinesAddress)
	}
	p.key("holder_lease", c.HolderLease)
	p.key("notice", c.MinServingTime)
	p.key("admission", yesNo(c.Admission))
	p.section("listen")
	p.key("public", c.PublicAddress)
	p.key("peer", c.PeerAddress)
	p.section("disk")
	p.key("folder", c.DataFolder)
	p.key("max_log", FormatBytes(c.MaxLogBytes))
	p.cellLimits(&c.CellCommon)
	return p.String()
}
