package cell

import "slices"

// Wave is an operator's order for the upkeep of a set of machines by a given time,
// with a bound on how many of them are down at once.
type Wave struct {
	Number   int64
	Machines []string
	// MaxDown bounds how many of the machines may be down for their upkeep at a time.
	MaxDown int `cbor:"Bound"`
	// DueMS is the Unix time in milliseconds by which the upkeep of all machines should
	// have begun.
	DueMS int64
	// Settled contains the machines whose upkeep has begun and those that no longer
	// exist.
	Settled map[string]bool
}

// StartWave adds a wave of upkeep. DurationMS, counted from AcceptedMS, is the time
// for the whole wave in milliseconds.
type StartWave struct {
	Number     int64    `cbor:"1,keyasint,omitempty"`
	Machines   []string `cbor:"2,keyasint,omitempty"`
	MaxDown    int      `cbor:"3,keyasint,omitempty"`
	DurationMS int64    `cbor:"4,keyasint,omitempty"`
	// AcceptedMS is the Unix time in milliseconds at which the leader accepted the wave.
	AcceptedMS int64 `cbor:"5,keyasint,omitempty"`
}

// SettleMachine records that the upkeep of a machine has begun or that the machine no
// longer exists.
type SettleMachine struct {
	Wave    int64  `cbor:"1,keyasint,omitempty"`
	Machine string `cbor:"2,keyasint,omitempty"`
}

// Complete reports whether no machine of the wave is still waiting for its upkeep.
func (w *Wave) Complete() bool { return len(w.Settled) == len(w.Machines) }

// Waiting returns the machines that are not settled.
func (w *Wave) Waiting() []string {
	return slices.DeleteFunc(slices.Clone(w.Machines), func(m string) bool { return w.Settled[m] })
}

// startWave adds a wave; a wave that is known already is left as it is.
func (s *Store) startWave(c *StartWave) any {
	if c.Number <= 0 || c.MaxDown <= 0 || slices.Contains(c.Machines, "") {
		return Invalid
	}
	if s.Waves[c.Number] != nil {
		return Accepted
	}
	machines := slices.Clone(c.Machines)
	slices.Sort(machines)
	s.Waves[c.Number] = &Wave{
		Number:   c.Number,
		Machines: slices.Compact(machines),
		MaxDown:  c.MaxDown,
		DueMS:    c.AcceptedMS + c.DurationMS,
		Settled:  map[string]bool{},
	}
	return Accepted
}

// settleMachine marks a machine of a wave as settled; unknown waves and machines are
// ignored.
func (s *Store) settleMachine(c *SettleMachine) any {
	if w := s.Waves[c.Wave]; w != nil && slices.Contains(w.Machines, c.Machine) {
		w.Settled[c.Machine] = true
	}
	return nil
}

// Wave returns the wave with the number, or nil if there is none.
func (v *View) Wave(number int64) *Wave { return v.s.Waves[number] }

// RunningWaves returns the waves that are not complete, in the order of their numbers.
func (v *View) RunningWaves() []*Wave {
	var list []*Wave
	for _, w := range v.s.Waves {
		if !w.Complete() {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *Wave) int { return int(a.Number - b.Number) })
	return list
}
