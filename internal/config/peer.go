package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// maxVoters bounds a group's voters.
const maxVoters = 7

// peerAllowed is the form of a key of the section peers.
const peerAllowed = "'ip:port data_centre' with an IP number, no host name, and a port from 1 to 65535"

// peerKind is the address and data centre of a control process; it leaves the
// name empty.
var peerKind = kind[Peer]{allowed: peerAllowed, parse: func(s string) (Peer, bool) {
	fields := strings.Fields(s)
	if len(fields) != 2 {
		return Peer{}, false
	}
	if _, ok := dataCentreKind.parse(fields[1]); !ok {
		return Peer{}, false
	}
	address, ok := parseAddress(fields[0])
	return Peer{Address: address, DataCentre: fields[1]}, ok
}}

// readPeers reads the control processes; faulty ones are left out.
func readPeers(r *reader) Peers {
	var peers Peers
	owner := map[netip.AddrPort]string{}
	for _, name := range r.keys("peers") {
		peer := optional(r, "peers", name, peerKind, Peer{})
		if !r.good("peers." + name) {
			continue
		}
		peer.Name = name
		peers = append(peers, peer)
		if other := owner[peer.Address]; other != "" {
			r.fault("peers", name, peer.Address.String()+", also the address of "+other, "an address of its own")
		}
		owner[peer.Address] = name
	}
	return peers
}

// addSelf puts the process itself among its peers, or checks that its entry
// there agrees with the other settings.
func (c *Control) addSelf(r *reader) {
	if !r.good("process.name", "process.data_centre", "listen.peer") {
		return
	}
	self := Peer{c.Process.Name, c.PeerAddress, c.Process.DataCentre}
	listed, ok := c.Peers.Find(self.Name)
	if !ok && r.has("peers", self.Name) {
		return
	}
	if !ok {
		c.Peers = append(c.Peers, self)
		return
	}
	if listed != self {
		r.fault("peers", self.Name, quote(listed.value()), quote(self.value())+" as in [process] and [listen]")
	}
}

// value returns the peer as in the section peers.
func (p Peer) value() string { return p.Address.String() + " " + p.DataCentre }

// votersKind is the names of an odd number of control processes.
var votersKind = kind[[]string]{
	allowed: fmt.Sprintf("an odd number, at most %d, of names of control processes, each once, separated by commas", maxVoters),
	parse: func(s string) ([]string, bool) {
		names := strings.Split(s, ",")
		seen := map[string]bool{}
		for i, name := range names {
			names[i] = strings.TrimSpace(name)
			seen[names[i]] = namePattern.MatchString(names[i])
		}
		ok := len(seen) == len(names) && len(names)%2 == 1 && len(names) <= maxVoters
		for _, valid := range seen {
			ok = ok && valid
		}
		return names, ok
	},
}

// readGroups reads the voters of each group.
func (c *Control) readGroups(r *reader) Groups {
	g := Groups{DataCentreVoters: map[string][]string{}}
	g.FleetVoters = required(r, "groups", "fleet", votersKind)
	c.checkVoters(r, "fleet", g.FleetVoters)
	g.JoinOnly = optional(r, "groups", "join", yesNoKind, false)
	own := c.Process.DataCentre
	if r.good("process.data_centre") && !r.has("groups", own) {
		r.fault("groups", own, "no such key", "the voters of the process's own data centre")
	}
	for _, name := range r.keys("groups") {
		if name == "fleet" || name == "join" {
			continue
		}
		if c.peersComplete(r) && !slices.Contains(c.Peers.DataCentres(), name) {
			r.fault("groups", name, "an unknown data centre",
				"fleet, join, or a data centre of a control process: "+strings.Join(c.Peers.DataCentres(), ", "))
			continue
		}
		voters := optional(r, "groups", name, votersKind, nil)
		c.checkVoters(r, name, voters)
		g.DataCentreVoters[name] = voters
	}
	return g
}

// peersComplete reports whether every control process could be read, so that
// an unknown name is a fault of its own.
func (c *Control) peersComplete(r *reader) bool {
	for _, name := range r.keys("peers") {
		if !r.good("peers." + name) {
			return false
		}
	}
	return r.good("process.name", "process.data_centre", "listen.peer")
}

// checkVoters checks that each voter is a known control process.
func (c *Control) checkVoters(r *reader, group string, voters []string) {
	if !r.good("process.name") {
		return
	}
	for _, name := range voters {
		_, known := c.Peers.Find(name)
		if !known && name != c.Process.Name && !r.has("peers", name) {
			r.fault("groups", group, quote(name), "names of [peers] or of the process itself")
		}
	}
}
