package control

import (
	"fmt"

	"laburnumgrade/internal/follower"
)

// checkKey returns why a key does not allow work for a team, "" if it does. The
// entry has compared the key itself; it may have paused since, so the leader
// looks again, under its own configuration lease, before it commits.
func (s *Server) checkKey(keyID, team, service string) string {
	switch _, permit := s.follower.Permit(keyID, team, service); permit {
	case follower.NoLease:
		return "the leader of the data centre has no valid configuration lease"
	case follower.KeyRefused:
		return fmt.Sprintf("the key does not allow work for team %s", team)
	}
	return ""
}
