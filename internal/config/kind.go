package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// KeyHashSize is the length of a key hash (SHA-256) in bytes.
const KeyHashSize = 32

var nameKind = kind[string]{allowed: nameAllowed, parse: func(s string) (string, bool) {
	return s, namePattern.MatchString(s)
}}

var yesNoKind = kind[bool]{allowed: "yes or no", parse: func(s string) (bool, bool) {
	return s == "yes", s == "yes" || s == "no"
}}

var hashKind = kind[[KeyHashSize]byte]{
	allowed: "the SHA-256 of the key as 64 hexadecimal digits",
	secret:  true,
	parse: func(s string) (hash [KeyHashSize]byte, ok bool) {
		decoded, err := hex.DecodeString(s)
		if err != nil || len(decoded) != KeyHashSize {
			return hash, false
		}
		return [KeyHashSize]byte(decoded), true
	},
}

// choiceKind is one of a list of names, each of which stands for the value at the
// same index.
func choiceKind[T any](names []string, values []T) kind[T] {
	return kind[T]{allowed: "one of " + strings.Join(names, ", "), parse: func(s string) (value T, ok bool) {
		i := slices.Index(names, s)
		if i < 0 {
			return value, false
		}
		return values[i], true
	}}
}

// textKind is printable text of at most maxBytes bytes.
func textKind(maxBytes int) kind[string] {
	return kind[string]{allowed: fmt.Sprintf("1 to %d bytes of printable UTF-8 text", maxBytes), parse: func(s string) (string, bool) {
		ok := s != "" && len(s) <= maxBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
		return s, ok
	}}
}

// wholeKind is an integer from low to high.
func wholeKind(low, high int64) kind[int64] {
	return kind[int64]{allowed: fmt.Sprintf("a whole number from %d to %d", low, high), parse: func(s string) (int64, bool) {
		n, err := strconv.ParseInt(s, 10, 64)
		return n, err == nil && n >= low && n <= high && !strings.HasPrefix(s, "+")
	}}
}

// fractionKind is a number from low to high.
func fractionKind(low, high float64) kind[float64] {
	return kind[float64]{allowed: fmt.Sprintf("a number from %v to %v", low, high), parse: func(s string) (float64, bool) {
		n, err := strconv.ParseFloat(s, 64)
		return n, err == nil && !math.IsNaN(n) && n >= low && n <= high
	}}
}

// durationKind is a time with its unit, in whole milliseconds.
func durationKind(low, high time.Duration) kind[time.Duration] {
	allowed := fmt.Sprintf("a time with its unit (ms, s, m, h) from %v to %v in whole milliseconds", low, high)
	return kind[time.Duration]{allowed: allowed, parse: func(s string) (time.Duration, bool) {
		d, err := time.ParseDuration(s)
		hasUnit := strings.ContainsAny(s, "smh")
		return d, err == nil && hasUnit && d >= low && d <= high && d%time.Millisecond == 0
	}}
}

// memoryKind is an amount of memory with its unit, in bytes.
func memoryKind(low, high int64) kind[int64] {
	allowed := fmt.Sprintf("an amount with its unit (B, kB, MB, GB, TB, PB, KiB, MiB, GiB, TiB, PiB) from %s to %s", FormatBytes(low), FormatBytes(high))
	return kind[int64]{allowed: allowed, parse: func(s string) (int64, bool) {
		n, ok := ParseBytes(s)
		return n, ok && n >= low && n <= high
	}}
}

// cpuKind is an amount of processors, in thousandths of a core.
func cpuKind(low, high int64) kind[int64] {
	allowed := fmt.Sprintf("cores (such as 2.5) or thousandths of a core (such as 2500m) from %s to %s", FormatCPU(low), FormatCPU(high))
	return kind[int64]{allowed: allowed, parse: func(s string) (int64, bool) {
		n, ok := ParseCPU(s)
		return n, ok && n >= low && n <= high
	}}
}

// addressKind is an IP address and port that other processes can connect to.
func addressKind() kind[netip.AddrPort] {
	return kind[netip.AddrPort]{allowed: "ip:port with an IP number, no host name, and a port from 1 to 65535", parse: parseAddress}
}

// listenKind is an address to listen on. With port 0 the operating system assigns
// a free port.
func listenKind() kind[netip.AddrPort] {
	return kind[netip.AddrPort]{allowed: "ip:port with an IP number, no host name, and a port from 0 to 65535", parse: func(s string) (netip.AddrPort, bool) {
		address, err := netip.ParseAddrPort(s)
		return address, err == nil
	}}
}

// parseAddress parses an address that other processes can connect to: neither the
// address nor the port may be zero.
func parseAddress(s string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(s)
	return address, err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}
