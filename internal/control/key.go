package control

import (
	"fmt"
	"time"
)

// checkKey returns why a key does not allow work for a team, "" if it does. The
// entry has compared the key itself; it may have paused since, so the leader
// looks again, under its own configuration lease, before it commits.
func (s *Server) checkKey(keyID, team, service string) string {
	config := s.follower.Store()
	d := config.Document(team, service)
	if d != nil && d.Spec.GetOpenQueue() {
		return ""
	}
	var grace time.Duration
	if d != nil {
		grace = time.Duration(d.CutGraceMs) * time.Millisecond
	}
	if !s.follower.Valid(grace) {
		return "the leader of the data centre has no valid configuration lease"
	}
	if k := config.Key(keyID); k == nil || k.Withdrawn || k.Team != team {
		return fmt.Sprintf("the key does not allow work for team %s", team)
	}
	return ""
}
