package config

import (
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

// Process identifies a process of the system.
type Process struct {
	Name       string
	VM         string
	DataCentre string
	// AdminAddress is the address of metrics, time line and health.
	AdminAddress netip.AddrPort
}

// Peer is a control process.
type Peer struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
}

// Peers are the control processes in the order of the settings.
type Peers []Peer

// Find returns the peer of a name.
func (p Peers) Find(name string) (Peer, bool) {
	i := slices.IndexFunc(p, func(peer Peer) bool { return peer.Name == name })
	if i < 0 {
		return Peer{}, false
	}
	return p[i], true
}

// DataCentres returns the data centres of the peers, sorted, each once.
func (p Peers) DataCentres() []string {
	names := make([]string, len(p))
	for i := range p {
		names[i] = p[i].DataCentre
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Limits bound what a process holds.
type Limits struct {
	// DrainTimeout is how long a shutdown waits for work in flight.
	DrainTimeout time.Duration
	// MaxBodyBytes bounds one request or answer, in bytes.
	MaxBodyBytes int64
	// MaxCalls bounds the requests in flight.
	MaxCalls int
	// TeamQueue bounds what one team has waiting in the process: calls in an
	// entry, tasks in a control process.
	TeamQueue int
	// TimelineEvents is the number of events kept.
	TimelineEvents int
}

// Entry holds the settings of lg-entry.
type Entry struct {
	Process       Process
	PublicAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	Peers         Peers
	Limits        Limits
	// OperatorKeyHash is the SHA-256 of the operator's key.
	OperatorKeyHash [KeyHashSize]byte
	AddressMap      AddressMap
}

// Control holds the settings of lg-control.
type Control struct {
	Process     Process
	PeerAddress netip.AddrPort
	// DataFolder is empty if the VM has no disk.
	DataFolder string
	// Peers always has the process itself.
	Peers  Peers
	Groups Groups
	Limits Limits
	Scheduler
	AddressMap AddressMap
}

// Groups name the voters of each replicated group when it first starts.
type Groups struct {
	FleetVoters []string
	// DataCentreVoters holds the voters of data centre groups by data centre.
	DataCentreVoters map[string][]string
	// JoinOnly is set if the process is to join its groups as a learner instead of
	// starting as the voter that it was.
	JoinOnly bool
}

// Scheduler holds the settings of decisions.
type Scheduler struct {
	// FairnessWeight is 0 to favour waiting time, 1 to favour closeness to
	// share.
	FairnessWeight float64
	// HalfLife is the time in which recorded usage decays to a half.
	HalfLife time.Duration
	// MaxBypass is how long a job waits before it is ordered first.
	MaxBypass time.Duration
	// ProbationShare caps the share of workers on probation.
	ProbationShare float64
	// ReserveShare is the share of each team's limit kept out of the allotments.
	ReserveShare float64
}

// Bounds and defaults of settings.
const (
	maxDrain          = 10 * time.Minute
	minBody           = 1 << 10
	maxBody           = 64 << 20
	maxCalls          = 1_000_000
	maxTimeline       = 1 << 20
	minTimeline       = 64
	maxFolderBytes    = 1024
	maxHalfLife       = 24 * time.Hour
	defaultDrain      = 20 * time.Second
	defaultMaxBody    = 1 << 20
	defaultCalls      = 20_000
	defaultEntryQueue = 1000
	defaultTaskQueue  = 200_000
	defaultTimeline   = 1 << 14
	defaultHalfLife   = time.Minute
	defaultBypass     = 30 * time.Second
	defaultFairness   = 0.5
	defaultProbation  = 0.1
	defaultReserve    = 0.1
)

// ReadEntry reads and checks the settings file of lg-entry.
func ReadEntry(path string) (*Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(path, text)
}

// ParseEntry checks settings of lg-entry. The error is Faults.
func ParseEntry(file string, text []byte) (*Entry, error) {
	r := newReader(file, text)
	e := &Entry{}
	e.read(r)
	if err := r.finish(); err != nil {
		return nil, err
	}
	return e, nil
}

// read reads and checks all sections.
func (e *Entry) read(r *reader) {
	e.Process = readProcess(r)
	e.PublicAddress = required(r, "listen", "public", listenKind())
	e.PeerAddress = required(r, "listen", "peer", addressKind())
	e.Peers = readPeers(r)
	e.Limits = readLimits(r, defaultEntryQueue)
	e.OperatorKeyHash = required(r, "operator", "key_hash", hashKind)
	e.AddressMap = readAddressMap(r)
	if len(r.keys("peers")) == 0 {
		r.fault("peers", "", "no control process", "at least one 'name = ip:port data_centre'")
	}
}

// ReadControl reads and checks the settings file of lg-control.
func ReadControl(path string) (*Control, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseControl(path, text)
}

// ParseControl checks settings of lg-control. The error is Faults.
func ParseControl(file string, text []byte) (*Control, error) {
	r := newReader(file, text)
	c := &Control{}
	c.read(r)
	if err := r.finish(); err != nil {
		return nil, err
	}
	return c, nil
}

// read reads and checks all sections.
func (c *Control) read(r *reader) {
	c.Process = readProcess(r)
	c.PeerAddress = required(r, "listen", "peer", addressKind())
	c.Peers = readPeers(r)
	c.Limits = readLimits(r, defaultTaskQueue)
	if r.has("disk", "") {
		c.DataFolder = required(r, "disk", "folder", folderKind)
	} else {
		r.known["disk"] = []string{"folder"}
	}
	c.addSelf(r)
	c.Groups = c.readGroups(r)
	c.Scheduler = readScheduler(r)
	c.AddressMap = readAddressMap(r)
}

// folderKind is an absolute path.
var folderKind = kind[string]{allowed: "an absolute path", parse: func(s string) (string, bool) {
	text, ok := textKind(maxFolderBytes).parse(s)
	return text, ok && strings.HasPrefix(s, "/")
}}

// dataCentreKind is a name that does not clash with the keys of the section
// groups.
var dataCentreKind = kind[string]{allowed: nameAllowed + "; neither fleet nor join", parse: func(s string) (string, bool) {
	return s, namePattern.MatchString(s) && s != "fleet" && s != "join"
}}

// readProcess reads what identifies the process.
func readProcess(r *reader) Process {
	return Process{
		Name:         required(r, "process", "name", nameKind),
		VM:           required(r, "process", "vm", nameKind),
		DataCentre:   required(r, "process", "data_centre", dataCentreKind),
		AdminAddress: required(r, "process", "admin", listenKind()),
	}
}

// readLimits reads the bounds of a process.
func readLimits(r *reader, queue int64) Limits {
	return Limits{
		DrainTimeout:   optional(r, "limits", "drain", durationKind(0, maxDrain), defaultDrain),
		MaxBodyBytes:   optional(r, "limits", "max_body", memoryKind(minBody, maxBody), defaultMaxBody),
		MaxCalls:       int(optional(r, "limits", "max_calls", wholeKind(1, maxCalls), defaultCalls)),
		TeamQueue:      int(optional(r, "limits", "team_queue", wholeKind(1, maxQueue), queue)),
		TimelineEvents: int(optional(r, "limits", "timeline", wholeKind(minTimeline, maxTimeline), defaultTimeline)),
	}
}

// readScheduler reads the settings of decisions.
func readScheduler(r *reader) Scheduler {
	return Scheduler{
		FairnessWeight: optional(r, "scheduler", "fairness_weight", fractionKind(0, 1), defaultFairness),
		HalfLife:       optional(r, "scheduler", "half_life", durationKind(time.Second, maxHalfLife), defaultHalfLife),
		MaxBypass:      optional(r, "scheduler", "max_bypass", durationKind(time.Second, maxHalfLife), defaultBypass),
		ProbationShare: optional(r, "scheduler", "probation_share", fractionKind(0, 0.5), defaultProbation),
		ReserveShare:   optional(r, "scheduler", "reserve", fractionKind(0, 0.9), defaultReserve),
	}
}
