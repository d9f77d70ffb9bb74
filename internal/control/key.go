package control

import (
	"fmt"

	"laburnumgrade/internal/follower"
)

// checkKey returns the reason for which a key does not allow work for a team, or "" if
// it does. The entry has already verified the key itself, but its configuration may be
// out of date since (it may have been paused), so the leader checks again under its own
// configuration lease before it commits the work.
func (s *Server) checkKey(keyID, team, service string) string {
	switch _, permit := s.follower.Permit(keyID, team, service); permit {
	case follower.NoLease:
		return "the leader of the data centre has no valid configuration lease"
	case follower.KeyRefused:
		return fmt.Sprintf("the key does not allow work for team %s", team)
	}
	return ""
}
