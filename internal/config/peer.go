package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// maxVoters is the largest number of voters of a group.
const maxVoters = 7

// peerAllowed describes the accepted values in the section peers.
const peerAllowed = "'ip:port data_centre' with an IP number, no host name, and a port from 1 to 65535"

// peerKind is the address and data centre of a control process. Its parse leaves
// Name empty, because the name is the key.
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

// readPeers reads the control processes and leaves out those with a faulty value.
func readPeers(r *reader) Peers {
	var peers Peers
	owner := map[netip.AddrPort]string{}
	for _, name := range r.keys("peers") {
		peer := optional(r, "peers", name, peerKind, Peer{})
		if !r.valid("peers." + name) {
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

// addSelf adds the process to its own peers. If it is listed there already, the
// listed address and data centre must agree with [process] and [listen].
func (c *Control) addSelf(r *reader) {
	if !r.valid("process.name", "process.data_centre", "listen.peer") {
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

// value returns the peer as written in the section peers.
func (p Peer) value() string { return p.Address.String() + " " + p.DataCentre }

// votersKind is a list of the names of an odd number of control processes.
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
	if r.valid("process.data_centre") && !r.has("groups", own) {
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

// peersComplete reports whether every control process was read without a fault.
// Otherwise an unknown data centre may only be the consequence of a fault that is
// already reported.
func (c *Control) peersComplete(r *reader) bool {
	for _, name := range r.keys("peers") {
		if !r.valid("peers." + name) {
			return false
		}
	}
	return r.valid("process.name", "process.data_centre", "listen.peer")
}

// checkVoters checks that each voter is a known control process.
func (c *Control) checkVoters(r *reader, group string, voters []string) {
	if !r.valid("process.name") {
		return
	}
	for _, name := range voters {
		_, known := c.Peers.Find(name)
		if !known && name != c.Process.Name && !r.has("peers", name) {
			r.fault("groups", group, quote(name), "names of [peers] or of the process itself")
		}
	}
}
