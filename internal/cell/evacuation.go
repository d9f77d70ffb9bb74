package cell

import (
	"slices"
	"strings"
	"unicode/utf8"
)

const (
	// maxEvacuated is the maximum number of data centres that are evacuated at a time. It
	// bounds the state: the names come from operators and need not belong to any worker.
	maxEvacuated = 64
	// maxDataCentreBytes is the maximum length of the name of a data centre that can be
	// evacuated, in bytes.
	maxDataCentreBytes = 64
)

// Evacuate starts or stops the evacuation of a data centre. It has no version: the last one
// committed is in force.
type Evacuate struct {
	DataCentre string `cbor:"1,keyasint,omitempty"`
	// Active is set to start the evacuation and unset to stop it.
	Active bool `cbor:"2,keyasint,omitempty"`
}

// Valid reports whether the name may be that of a data centre: one printable element of a
// path.
func (c *Evacuate) Valid() bool {
	name := c.DataCentre
	// Beyond ASCII all characters are allowed: which of them are printable depends on the
	// release of the Unicode tables, and all replicas have to decide alike.
	return name != "" && len(name) <= maxDataCentreBytes && utf8.ValidString(name) &&
		!strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == '\x7f' || r == '/' })
}

// evacuate starts or stops the evacuation of a data centre. One that is in force, or not in
// force, already is left as it is. Starts of attempts are not refused by it: replicas of
// earlier releases, which know no evacuations, have to reach the same state, so the leader
// decides where attempts start.
func (s *Store) evacuate(c *Evacuate) any {
	switch {
	case !c.Valid():
		return Invalid
	case !c.Active:
		delete(s.Evacuated, c.DataCentre)
		return Accepted
	case s.Evacuated[c.DataCentre]:
		return Accepted
	case len(s.Evacuated) >= maxEvacuated:
		return Invalid
	}
	if s.Evacuated == nil {
		s.Evacuated = map[string]bool{}
	}
	s.Evacuated[c.DataCentre] = true
	return Accepted
}

// IsEvacuated reports whether the data centre is evacuated.
func (v *View) IsEvacuated(dataCentre string) bool { return v.s.Evacuated[dataCentre] }

// Evacuated returns the names of the evacuated data centres in order.
func (v *View) Evacuated() []string {
	names := make([]string, 0, len(v.s.Evacuated))
	for name := range v.s.Evacuated {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
