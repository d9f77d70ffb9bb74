package follower

import (
	"time"

	"laburnumgrade/gen/statev1"
)

// Permit is the result of checking whether a process may accept work for a team under a
// key.
type Permit int

const (
	// OpenQueue means that the queue of the service is open. It needs neither a key nor a
	// configuration lease.
	OpenQueue Permit = iota
	// KeyAccepted means that the key allows the work.
	KeyAccepted
	// NoLease means that the process holds no valid configuration lease.
	NoLease
	// KeyRefused means that the key is unknown, withdrawn, or of another team.
	KeyRefused
)

// Permit returns the document of the service, nil if there is none, and whether the process
// may accept work for it under the key with the given id. It does not verify the secret of
// the key: a caller that receives the key itself compares its hash.
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
