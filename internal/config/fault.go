package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is an error at one line of a settings file or document.
type Fault struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Key is "section.key", a section in brackets, or "line".
	Key string `json:"key"`
	// Found describes the faulty value. A secret value is not quoted.
	Found string `json:"found"`
	// Allowed describes the accepted values.
	Allowed string `json:"allowed"`
}

// String returns the fault as "file:line: key: found X, allowed Y".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: found %s, allowed %s", f.File, f.Line, f.Key, f.Found, f.Allowed)
}

// Faults is the error that holds every fault of a text in the order of lines.
type Faults []Fault

// Error implements error. It returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the faults in the order of lines, nil if there are none.
func (f Faults) sorted() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return f
}

// maxFoundLength is the number of characters of a faulty value quoted in a message.
const maxFoundLength = 60

// quote returns a faulty value as shown in a message.
func quote(value string) string {
	if value == "" {
		return "nothing"
	}
	if len(value) > maxFoundLength {
		return fmt.Sprintf("%.*q...", maxFoundLength, value)
	}
	return fmt.Sprintf("%q", value)
}
