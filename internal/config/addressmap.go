package config

import (
	"net/netip"
	"strings"
)

// AddressMap maps the address that a peer announces to the address to dial, for
// networks in which a process reaches some peers at other addresses than they
// announce. Addresses that it does not contain are dialled as announced.
type AddressMap map[string]string

type addressPair struct{ from, to netip.AddrPort }

var addressPairKind = kind[addressPair]{
	allowed: "'ip:port ip:port', the announced address and the one to dial",
	parse: func(s string) (addressPair, bool) {
		fields := strings.Fields(s)
		if len(fields) != 2 {
			return addressPair{}, false
		}
		from, okFrom := parseAddress(fields[0])
		to, okTo := parseAddress(fields[1])
		return addressPair{from, to}, okFrom && okTo
	},
}

// readAddressMap reads the section address_map. Its keys are arbitrary names.
func readAddressMap(r *reader) AddressMap {
	m := AddressMap{}
	for _, name := range r.keys("address_map") {
		pair := optional(r, "address_map", name, addressPairKind, addressPair{})
		if r.valid("address_map." + name) {
			m[pair.from.String()] = pair.to.String()
		}
	}
	return m
}
