package cell

import "slices"

// Wave asks that each of some machines has its upkeep within a time, few of them at
// once.
type Wave struct {
	Number   int64
	Machines []string
	// MaxDown is how many of the machines may be down for their upkeep at a time.
	MaxDown int `cbor:"Bound"`
	// DueMS is the Unix time in milliseconds by which all of them are to have had it.
	DueMS int64
	// Settled holds the machines whose upkeep has begun, and those that are gone.
	Settled map[string]bool
}

// StartWave accepts a wave of upkeep.
type StartWave struct {
	Number     int64    `cbor:"1,keyasint,omitempty"`
	Machines   []string `cbor:"2,keyasint,omitempty"`
	MaxDown    int      `cbor:"3,keyasint,omitempty"`
	DurationMS int64    `cbor:"4,keyasint,omitempty"`
	// AcceptedMS is the Unix time at which the leader accepted the wave.
	AcceptedMS int64 `cbor:"5,keyasint,omitempty"`
}

// SettleMachine notes that the upkeep of a machine has begun, or that there is no such
// machine any more.
type SettleMachine struct {
	Wave    int64  `cbor:"1,keyasint,omitempty"`
	Machine string `cbor:"2,keyasint,omitempty"`
}

// Complete reports whether no machine of the wave is waiting for its upkeep.
func (w *Wave) Complete() bool { return len(w.Settled) == len(w.Machines) }

// Waiting returns the machines whose upkeep has not begun.
func (w *Wave) Waiting() []string {
	return slices.DeleteFunc(slices.Clone(w.Machines), func(m string) bool { return w.Settled[m] })
}

// startWave accepts a wave; one that is known stays as it is.
func (s *Store) startWave(c *StartWave) any {
	if c.Number <= 0 || c.MaxDown <= 0 || slices.Contains(c.Machines, "") {
		return Invalid
	}
	if s.Waves[c.Number] != nil {
		return Accepted
	}
	machines := slices.Clone(c.Machines)
	slices.Sort(machines)
	s.Waves[c.Number] = &Wave{Number: c.Number, Machines: slices.Compact(machines), MaxDown: c.MaxDown, DueMS: c.AcceptedMS + c.DurationMS, Settled: map[string]bool{}}
	return Accepted
}

func (s *Store) settle(c *SettleMachine) any {
	if w := s.Waves[c.Wave]; w != nil && slices.Contains(w.Machines, c.Machine) {
		w.Settled[c.Machine] = true
	}
	return nil
}

// Wave returns a wave, nil if it is not known.
func (v *View) Wave(number int64) *Wave { return v.s.Waves[number] }

// RunningWaves returns the waves that are not complete, the earliest first.
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
