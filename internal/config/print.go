package config

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// String returns the settings as an INI text that ParseEntry accepts.
func (e *Entry) String() string {
	var p printer
	p.process(e.Process)
	p.section("listen")
	p.key("public", e.PublicAddress)
	p.key("peer", e.PeerAddress)
	p.peers(e.Peers)
	p.limits(e.Limits)
	p.section("operator")
	p.key("key_hash", hex.EncodeToString(e.OperatorKeyHash[:]))
	p.addressMap(e.AddressMap)
	return p.String()
}

// String returns the settings as an INI text that ParseControl accepts.
func (c *Control) String() string {
	var p printer
	p.process(c.Process)
	p.section("listen")
	p.key("peer", c.PeerAddress)
	if c.DataFolder != "" {
		p.section("disk")
		p.key("folder", c.DataFolder)
	}
	p.peers(c.Peers)
	p.section("groups")
	p.key("fleet", strings.Join(c.Groups.FleetVoters, ", "))
	for _, name := range slices.Sorted(maps.Keys(c.Groups.DataCentreVoters)) {
		p.key(name, strings.Join(c.Groups.DataCentreVoters[name], ", "))
	}
	p.key("join", yesNo(c.Groups.JoinOnly))
	p.limits(c.Limits)
	p.section("scheduler")
	p.key("fairness_weight", c.FairnessWeight)
	p.key("half_life", c.HalfLife)
	p.key("max_bypass", c.MaxBypass)
	p.key("probation_share", c.ProbationShare)
	p.key("reserve", c.ReserveShare)
	p.addressMap(c.AddressMap)
	return p.String()
}

// addressMap writes the section address_map unless it is empty.
func (p *printer) addressMap(m AddressMap) {
	if len(m) == 0 {
		return
	}
	p.section("address_map")
	for i, from := range slices.Sorted(maps.Keys(m)) {
		p.key(fmt.Sprintf("address-%d", i+1), from+" "+m[from])
	}
}

// process writes the section process.
func (p *printer) process(process Process) {
	p.section("process")
	p.key("name", process.Name)
	p.key("vm", process.VM)
	p.key("data_centre", process.DataCentre)
	p.key("admin", process.AdminAddress)
}

// peers writes the section peers.
func (p *printer) peers(peers Peers) {
	p.section("peers")
	for _, peer := range peers {
		p.key(peer.Name, peer.value())
	}
}

// limits writes the section limits.
func (p *printer) limits(limits Limits) {
	p.section("limits")
	p.key("drain", limits.DrainTimeout)
	p.key("max_body", FormatBytes(limits.MaxBodyBytes))
	p.key("max_calls", limits.MaxCallsInFlight)
	p.key("team_queue", limits.MaxWaitingPerTeam)
	p.key("timeline", limits.MaxTimelineEvents)
	p.processLimits(&limits.ProcessLimits)
	p.key("request_memory", FormatBytes(limits.RequestMemoryBytes))
	p.key("http2_streams", limits.HTTP2.MaxStreams)
	p.key("http2_window", FormatBytes(int64(limits.HTTP2.WindowBytes)))
}
