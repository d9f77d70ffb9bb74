package follower

import (
	"time"

	"laburnumgrade/gen/statev1"
)

// Permit says whether a process may accept work for a team under a key.
type Permit int

// Permits. An open queue needs neither a key nor a configuration lease.
const (
	OpenQueue Permit = iota
	KeyAccepted
	NoLease
	KeyRefused
)

// Permit returns the document of the service, nil if there is none, and whether
// the process may accept work for it under the key with the id. The caller that
// holds the key itself compares its hash.
func (f *Follower) Permit(keyID, team, service string) (*statev1.Document, Permit) {
	d := f.store.Document(team, service)
	if d != nil && d.Spec.GetOpenQueue() {
		return d, OpenQueue
	}
	if !f.LeaseValid(time.Duration(d.GetCutGraceMs()) * time.Millisecond) {
		return d, NoLease
	}
	if k := f.store.Key(keyID); k == nil || k.Withdrawn || k.Team != team {
		return d, KeyRefused
	}
	return d, KeyAccepted
}
