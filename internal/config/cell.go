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

// Common are the settings that every process of a cell has.
type Common struct {
	Process Process
	// Peer is where the process serves calls of other processes; it has the
	// same port on all VMs.
	Peer netip.AddrPort
	// Seeds are the peer addresses of some control processes.
	Seeds []string
	// Advice is the service that says which workers may run a step; invalid if
	// there is none.
	Advice netip.AddrPort
	// Drain is how long a shutdown may take.
	Drain time.Duration
}

// Gateway holds the settings of lg-gateway.
type Gateway struct {
	Common
	// Public takes the connections of clients, Ready the readiness checks.
	Public netip.AddrPort
	Ready  netip.AddrPort
}

// Cell holds the settings of lg-cell.
type Cell struct {
	Common
	// Public takes the calls of operators and workers.
	Public netip.AddrPort
	// DataFolder holds the replicated state.
	DataFolder string
	// Bootstrap is set only when the whole cell starts for the first time.
	Bootstrap bool
	// MaxLease bounds the leases of workers.
	MaxLease time.Duration
	// KeepEnded is how long the state of an ended job can be asked for.
	KeepEnded time.Duration
	// Machines is the service that takes machines down for upkeep; invalid if there
	// is none.
	Machines netip.AddrPort
	// HolderLease is how long after another process one may order machines.
	HolderLease time.Duration
	// Notice is for how long a task that serves must be at work to count as such.
	Notice time.Duration
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
func readCommon(r *reader) Common {
	c := Common{Process: readProcess(r), Peer: required(r, "listen", "peer", addressKind())}
	for _, seed := range required(r, "cell", "seeds", seedsKind) {
		c.Seeds = append(c.Seeds, netip.AddrPortFrom(seed.Addr(), c.Peer.Port()).String())
	}
	c.Advice = optional(r, "cell", "advice", addressKind(), netip.AddrPort{})
	c.Drain = optional(r, "limits", "drain", durationKind(0, maxDrain), defaultCellDrain)
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
		Common: readCommon(r),
		Public: required(r, "listen", "public", addressKind()),
		Ready:  required(r, "listen", "ready", addressKind()),
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
		Common:       readCommon(r),
		Public:       required(r, "listen", "public", addressKind()),
		DataFolder:   required(r, "disk", "folder", folderKind),
		Bootstrap:    optional(r, "cell", "bootstrap", yesNoKind, false),
		MaxLease:     optional(r, "cell", "max_lease", durationKind(time.Second, maxLease), defaultLease),
		KeepEnded:    optional(r, "cell", "keep_ended", durationKind(time.Second, maxKeep), defaultKeepEnded),
		Machines:     optional(r, "cell", "machines", addressKind(), netip.AddrPort{}),
		HolderLease:  optional(r, "cell", "holder_lease", durationKind(0, maxLease), defaultHolder),
		Notice:       optional(r, "cell", "notice", durationKind(0, maxLease), defaultNotice),
		RemoteFactor: optional(r, "cell", "remote_factor", fractionKind(1, maxRemoteFactor), 1),
	}
	if err := r.finish(); err != nil {
		return nil, err
	}
	return c, nil
}

// common adds what every process of a cell has.
func (p *printer) common(c *Common) {
	p.process(c.Process)
	p.section("cell")
	p.key("seeds", strings.Join(c.Seeds, ", "))
	if c.Advice.IsValid() {
		p.key("advice", c.Advice)
	}
}

// String returns the settings as an INI text that ParseGateway accepts.
func (g *Gateway) String() string {
	var p printer
	p.common(&g.Common)
	p.section("listen")
	p.key("public", g.Public)
	p.key("ready", g.Ready)
	p.key("peer", g.Peer)
	p.section("limits")
	p.key("drain", g.Drain)
	return p.String()
}

// String returns the settings as an INI text that ParseCell accepts.
func (c *Cell) String() string {
	var p printer
	p.common(&c.Common)
	p.key("bootstrap", yesNo(c.Bootstrap))
	p.key("max_lease", c.MaxLease)
	p.key("keep_ended", c.KeepEnded)
	p.key("remote_factor", c.RemoteFactor)
	if c.Machines.IsValid() {
		p.key("machines", c.Machines)
	}
	p.key("holder_lease", c.HolderLease)
	p.key("notice", c.Notice)
	p.section("listen")
	p.key("public", c.Public)
	p.key("peer", c.Peer)
	p.section("disk")
	p.key("folder", c.DataFolder)
	p.section("limits")
	p.key("drain", c.Drain)
	return p.String()
}
