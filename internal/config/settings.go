package config

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"laburnumgrade/internal/intake"
)

// Process identifies a process and the machine on which it runs.
type Process struct {
	Name string
	// VM is the name of the virtual machine.
	VM         string
	DataCentre string
	// AdminAddress is where the process serves metrics, its time line and health
	// checks.
	AdminAddress netip.AddrPort
}

// Peer is a control process as the section peers lists it.
type Peer struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
}

// Peers are the control processes in the order of the settings.
type Peers []Peer

// Find returns the peer with a name, and whether there is one.
func (p Peers) Find(name string) (Peer, bool) {
	i := slices.IndexFunc(p, func(peer Peer) bool { return peer.Name == name })
	if i < 0 {
		return Peer{}, false
	}
	return p[i], true
}

// DataCentres returns the data centres of the peers, sorted and without
// duplicates.
func (p Peers) DataCentres() []string {
	names := make([]string, len(p))
	for i := range p {
		names[i] = p[i].DataCentre
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Limits holds the section limits, which bounds the work that a process holds in
// memory and the time of its shutdown.
type Limits struct {
	// DrainTimeout is how long a shutdown waits for requests in flight.
	DrainTimeout time.Duration
	// MaxBodyBytes bounds the body of one request or answer in lg-entry.
	MaxBodyBytes int64
	// MaxCallsInFlight bounds the calls that lg-entry has in progress for all teams
	// together. lg-control accepts the setting but does not use it.
	MaxCallsInFlight int
	// MaxWaitingPerTeam bounds the calls of one team that wait for a slot in lg-entry.
	// lg-control accepts the setting, with another default, but does not use it.
	MaxWaitingPerTeam int
	// MaxTimelineEvents is the number of events that the time line retains; each
	// further event replaces the oldest one.
	MaxTimelineEvents int
	ProcessLimits
	// RequestMemoryBytes is the memory for requests that were received and not yet answered.
	RequestMemoryBytes int64
	// HTTP2 bounds the connections of clients that use HTTP/2.
	HTTP2 intake.HTTP2Limits
}

// Entry holds the settings of lg-entry. PublicAddress serves callers, operators
// and targets; PeerAddress serves other processes.
type Entry struct {
	Process       Process
	PublicAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	Peers         Peers
	Limits        Limits
	// OperatorKeyHash is the SHA-256 hash of the operator's key.
	OperatorKeyHash [KeyHashSize]byte
	AddressMap      AddressMap
}

// Control holds the settings of lg-control.
type Control struct {
	Process     Process
	PeerAddress netip.AddrPort
	// DataFolder holds the replicated state; empty if the VM has no disk.
	DataFolder string
	// Peers includes the process itself.
	Peers  Peers
	Groups Groups
	Limits Limits
	Scheduler
	AddressMap AddressMap
}

// Groups names the preferred voters of each replicated group, which are also its
// initial voters.
type Groups struct {
	FleetVoters []string
	// DataCentreVoters holds the voters of each data centre's group.
	DataCentreVoters map[string][]string
	// JoinOnly makes the process join its groups as a learner instead of starting
	// as one of the initial voters.
	JoinOnly bool
}

// Scheduler holds the settings of the scheduling policy.
type Scheduler struct {
	// FairnessWeight, from 0 to 1, weighs waiting time (favoured at 0) against the
	// distance of teams from their shares (favoured at 1) in the order of jobs.
	FairnessWeight float64
	// HalfLife is the half-life of the exponential decay of recorded usage.
	HalfLife time.Duration
	// MaxBypass is how long other jobs may be started before a waiting job; after
	// that the job is ordered first.
	MaxBypass time.Duration
	// ProbationShare is the largest fraction of the workers that may be on
	// probation.
	ProbationShare float64
	// ReserveShare is the fraction of each team's limit that is not allotted to
	// data centres.
	ReserveShare float64
}

// Bounds and defaults of settings.
const (
	maxDrain          = 10 * time.Minute
	minBodyBytes      = 1 << 10
	maxBodyBytes      = 64 << 20
	maxCalls          = 1_000_000
	maxTimelineEvents = 1 << 20
	maxHTTP2Streams   = 10_000
	// The window bounds are those of http.HTTP2Config.
	minHTTP2Window     = 64 << 10
	maxHTTP2Window     = 4<<20 - 1<<10
	http2WindowDivisor = 1 << 10
	// bodyMemoryMultiple is how many bodies of the maximum size request_memory must hold at least:
	// a quarter of it is kept for small requests, and a body and its decoded form share the rest.
	bodyMemoryMultiple         = 3
	minTimelineEvents          = 64
	maxFolderBytes             = 1024
	maxHalfLife                = 24 * time.Hour
	defaultDrain               = 20 * time.Second
	defaultMaxBodyBytes        = 1 << 20
	defaultMaxCalls            = 20_000
	defaultEntryWaitingCalls   = 1000
	defaultControlWaitingTasks = 200_000
	defaultMaxTimelineEvents   = 1 << 14
	defaultHalfLife            = time.Minute
	defaultMaxBypass           = 30 * time.Second
	defaultFairnessWeight      = 0.5
	defaultProbationShare      = 0.1
	defaultReserveShare        = 0.1
)

// ReadEntry reads and checks the settings file of lg-entry.
func ReadEntry(path string) (*Entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(path, text)
}

// ParseEntry parses and checks settings of lg-entry. An error is of type Faults;
// file is only used in it.
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
	e.Limits = readLimits(r, defaultEntryWaitingCalls)
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

// ParseControl parses and checks settings of lg-control. An error is of type Faults;
// file is only used in it.
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
	c.Limits = readLimits(r, defaultControlWaitingTasks)
	if r.has("disk", "") {
		c.DataFolder = required(r, "disk", "folder", folderKind)
	} else {
		r.expected["disk"] = []string{"folder"}
	}
	c.addSelf(r)
	c.Groups = c.readGroups(r)
	c.Scheduler = readScheduler(r)
	c.AddressMap = readAddressMap(r)
}

// folderKind is the absolute path of a folder.
var folderKind = kind[string]{allowed: "an absolute path", parse: func(s string) (string, bool) {
	text, ok := textKind(maxFolderBytes).parse(s)
	return text, ok && strings.HasPrefix(s, "/")
}}

// dataCentreKind is the name of a data centre. The names fleet and join are
// excluded because they are keys of the section groups, as are data centres.
var dataCentreKind = kind[string]{allowed: nameAllowed + "; neither fleet nor join", parse: func(s string) (string, bool) {
	return s, namePattern.MatchString(s) && s != "fleet" && s != "join"
}}

// readProcess reads the section process.
func readProcess(r *reader) Process {
	return Process{
		Name:         required(r, "process", "name", nameKind),
		VM:           required(r, "process", "vm", nameKind),
		DataCentre:   required(r, "process", "data_centre", dataCentreKind),
		AdminAddress: required(r, "process", "admin", listenKind()),
	}
}

// readLimits reads the section limits. defaultMaxWaitingPerTeam is the default of
// team_queue.
func readLimits(r *reader, defaultMaxWaitingPerTeam int64) Limits {
	l := Limits{
		DrainTimeout:      optional(r, "limits", "drain", durationKind(0, maxDrain), defaultDrain),
		MaxBodyBytes:      optional(r, "limits", "max_body", memoryKind(minBodyBytes, maxBodyBytes), defaultMaxBodyBytes),
		MaxCallsInFlight:  int(optional(r, "limits", "max_calls", wholeKind(1, maxCalls), defaultMaxCalls)),
		MaxWaitingPerTeam: int(optional(r, "limits", "team_queue", wholeKind(1, maxQueuedItems), defaultMaxWaitingPerTeam)),
		MaxTimelineEvents: int(optional(r, "limits", "timeline", wholeKind(minTimelineEvents, maxTimelineEvents), defaultMaxTimelineEvents)),
		ProcessLimits:     readProcessLimits(r),
	}
	least := bodyMemoryMultiple * l.MaxBodyBytes
	l.RequestMemoryBytes = readRequestMemory(r, l.MemoryBytes, least)
	if l.RequestMemoryBytes < least && r.valid("limits.memory", "limits.request_memory", "limits.max_body") {
		r.fault("limits", "request_memory", FormatBytes(l.RequestMemoryBytes), fmt.Sprintf("at least %s, %d times max_body", FormatBytes(least), bodyMemoryMultiple))
	}
	d := intake.DefaultHTTP2Limits
	l.HTTP2 = intake.HTTP2Limits{
		MaxStreams:  int(optional(r, "limits", "http2_streams", wholeKind(1, maxHTTP2Streams), int64(d.MaxStreams))),
		WindowBytes: int(optional(r, "limits", "http2_window", memoryKind(minHTTP2Window, maxHTTP2Window), defaultHTTP2Window(l.MemoryBytes))),
	}
	return l
}

// defaultHTTP2Window returns the default of http2_window for a process with the memory, 0 if that is
// not limited. With a thousandth of the memory, the windows of 250 connections are a quarter of it.
func defaultHTTP2Window(memory int64) int64 {
	window := int64(intake.DefaultHTTP2Limits.WindowBytes)
	if memory > 0 {
		window = min(window, max(minHTTP2Window, memory/http2WindowDivisor))
	}
	return window
}

// readScheduler reads the section scheduler.
func readScheduler(r *reader) Scheduler {
	return Scheduler{
		FairnessWeight: optional(r, "scheduler", "fairness_weight", fractionKind(0, 1), defaultFairnessWeight),
		HalfLife:       optional(r, "scheduler", "half_life", durationKind(time.Second, maxHalfLife), defaultHalfLife),
		MaxBypass:      optional(r, "scheduler", "max_bypass", durationKind(time.Second, maxHalfLife), defaultMaxBypass),
		ProbationShare: optional(r, "scheduler", "probation_share", fractionKind(0, 0.5), defaultProbationShare),
		ReserveShare:   optional(r, "scheduler", "reserve", fractionKind(0, 0.9), defaultReserveShare),
	}
}
