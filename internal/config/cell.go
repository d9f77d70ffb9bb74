package config

import (
	"net/netip"
	"os"
	"strings"
	"time"
)

// Bounds and defaults of the settings of a cell's processes.
const (
	maxLease          = time.Minute
	maxKeep           = 24 * time.Hour
	maxRemoteFactor   = 100
	defaultLease      = 6 * time.Second
	defaultKeepEnded  = 2 * time.Minute
	defaultCellDrain  = 5 * time.Second
	defaultHolder     = 3 * time.Second
	defaultNotice     = 4500 * time.Millisecond
	maxSeedsTextBytes = 4096
)

// CellCommon are the settings that every process of a cell has.
type CellCommon struct {
	Process Process
	// PeerAddress is where the process serves calls of other processes; it has the
	// same port on all VMs.
	PeerAddress netip.AddrPort
	// Seeds are the peer addresses of some control processes.
	Seeds []string
	// AdviceAddress is the service that says which workers may run a step; invalid if
	// there is none.
	AdviceAddress netip.AddrPort
	// DrainTimeout is how long a shutdown may take.
	DrainTimeout time.Duration
}

// Gateway holds the settings of lg-gateway.
type Gateway struct {
	CellCommon
	// PublicAddress takes the connections of clients, Ready the readiness checks.
	PublicAddress    netip.AddrPort
	ReadinessAddress netip.AddrPort
}

// Cell holds the settings of lg-cell.
type Cell struct {
	CellCommon
	// PublicAddress takes the calls of operators and workers.
	PublicAddress netip.AddrPort
	// DataFolder holds the replicated state.
	DataFolder string
	// Bootstrap is set only when the whole cell starts for the first time.
	Bootstrap bool
	// MaxLease bounds the leases of workers.
	MaxLease time.Duration
	// EndedJobRetention is how long the state of an ended job can be asked for.
	EndedJobRetention time.Duration
	// MachinesAddress is the service that takes machines down for upkeep; invalid if there
	// is none.
	MachinesAddress netip.AddrPort
	// HolderLease is how long after another process one may order machines.
	HolderLease time.Duration
	// MinServingTime is for how long a task that serves must be at work to count as such.
	MinServingTime time.Duration
	// RemoteFactor is how much longer work takes off the rack of its data.
	RemoteFactor float64
}

// seedsKind is a list of addresses of control processes, of which only the IP
// numbers count.
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

// readCommon reads what every process of a cell has.
func readCommon(r *reader) CellCommon {
	c := CellCommon{Process: readProcess(r), PeerAddress: required(r, "listen", "peer", addressKind())}
	for _, seed := range required(r, "cell", "seeds", seedsKind) {
		c.Seeds = append(c.Seeds, netip.AddrPortFrom(seed.Addr(), c.PeerAddress.Port()).String())
	}
	c.AdviceAddress = optional(r, "cell", "advice", addressKind(), netip.AddrPort{})
	c.DrainTimeout = optional(r, "limits", "drain", durationKind(0, maxDrain), defaultCellDrain)
	return c
}

// ReadGateway reads and checks the settings file of lg-gateway.
func ReadGateway(path string) (*Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseGateway(path, text)
}

// ParseGateway checks settings of lg-gateway. The error is Faults.
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

// ParseCell checks settings of lg-cell. The error is Faults.
func ParseCell(file string, text []byte) (*Cell, error) {
	r := newReader(file, text)
	c := &Cell{
		CellCommon:        readCommon(r),
		PublicAddress:     required(r, "listen", "public", addressKind()),
		DataFolder:        required(r, "disk", "folder", folderKind),
		Bootstrap:         optional(r, "cell", "bootstrap", yesNoKind, false),
		MaxLease:          optional(r, "cell", "max_lease", durationKind(time.Second, maxLease), defaultLease),
		EndedJobRetention: optional(r, "cell", "keep_ended", durationKind(time.Second, maxKeep), defaultKeepEnded),
		MachinesAddress:   optional(r, "cell", "machines", addressKind(), netip.AddrPort{}),
		HolderLease:       optional(r, "cell", "holder_lease", durationKind(0, maxLease), defaultHolder),
		MinServingTime:    optional(r, "cell", "notice", durationKind(0, maxLease), defaultNotice),
		RemoteFactor:      optional(r, "cell", "remote_factor", fractionKind(1, maxRemoteFactor), 1),
	}
	if err := r.finish(); err != nil {
		return nil, err
	}
	return c, nil
}

// common adds what every process of a cell has.
func (p *printer) common(c *CellCommon) {
	p.process(c.Process)
	p.section("cell")
	p.key("seeds", strings.Join(c.Seeds, ", "))
	if c.AdviceAddress.IsValid() {
		p.key("advice", c.AdviceAddress)
	}
}

// String returns the settings as an INI text that ParseGateway accepts.
func (g *Gateway) String() string {
	var p printer
	p.common(&g.CellCommon)
	p.section("listen")
	p.key("public", g.PublicAddress)
	p.key("ready", g.ReadinessAddress)
	p.key("peer", g.PeerAddress)
	p.section("limits")
	p.key("drain", g.DrainTimeout)
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
	if c.MachinesAddress.IsValid() {
		p.key("machines", c.MachinesAddress)
	}
	p.key("holder_lease", c.HolderLease)
	p.key("notice", c.MinServingTime)
	p.section("listen")
	p.key("public", c.PublicAddress)
	p.key("peer", c.PeerAddress)
	p.section("disk")
	p.key("folder", c.DataFolder)
	p.section("limits")
	p.key("drain", c.DrainTimeout)
	return p.String()
}
