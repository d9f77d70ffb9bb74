package config

import (
	"math/big"
	"regexp"
	"strconv"
	"strings"
)

// milliPerCore is the number of thousandths of a core in one core.
const milliPerCore = 1000

// memoryUnit is a suffix of an amount of memory and its number of bytes.
type memoryUnit struct {
	suffix string
	bytes  int64
}

// memoryUnits is in the order in which FormatBytes tries the units.
var memoryUnits = []memoryUnit{
	{"PiB", 1 << 50}, {"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"PB", 1e15}, {"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3}, {"B", 1},
}

// amountPattern bounds the number of digits so that the exact arithmetic in
// multiple stays cheap.
var amountPattern = regexp.MustCompile(`^[0-9]{1,19}(\.[0-9]{1,12})?$`)

// ParseBytes parses an amount of memory with its unit, such as 64GB or 1.5GiB. It
// returns bytes, and false unless that is a whole number.
func ParseBytes(s string) (int64, bool) {
	for _, unit := range memoryUnits {
		if number, ok := strings.CutSuffix(s, unit.suffix); ok {
			return multiple(number, unit.bytes)
		}
	}
	return 0, false
}

// ParseCPU parses an amount of CPU in cores (2.5) or thousandths of a core (2500m). It
// returns thousandths of a core, and false unless that is a whole number.
func ParseCPU(s string) (int64, bool) {
	if number, ok := strings.CutSuffix(s, "m"); ok {
		return multiple(number, 1)
	}
	return multiple(s, milliPerCore)
}

// multiple returns number times unit, and false unless that is a whole number that
// int64 can hold.
func multiple(number string, unit int64) (int64, bool) {
	if !amountPattern.MatchString(number) {
		return 0, false
	}
	amount, ok := new(big.Rat).SetString(number)
	if !ok {
		return 0, false
	}
	amount.Mul(amount, new(big.Rat).SetInt64(unit))
	if !amount.IsInt() || !amount.Num().IsInt64() {
		return 0, false
	}
	return amount.Num().Int64(), true
}

// FormatBytes returns n bytes as text, in the first unit of memoryUnits that divides
// n. ParseBytes reads the text back.
func FormatBytes(n int64) string {
	for _, unit := range memoryUnits {
		if n != 0 && n%unit.bytes == 0 {
			return strconv.FormatInt(n/unit.bytes, 10) + unit.suffix
		}
	}
	return "0B"
}

// FormatCPU returns an amount of CPU, given in thousandths of a core, as text: in cores
// if it is a whole number of them, otherwise in thousandths. ParseCPU reads it back.
func FormatCPU(milli int64) string {
	if milli%milliPerCore == 0 {
		return strconv.FormatInt(milli/milliPerCore, 10)
	}
	return strconv.FormatInt(milli, 10) + "m"
}
