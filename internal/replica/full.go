package replica

import (
	"time"

	"laburnumgrade/gen/peerv1"
)

// recordFull records that the last Ready could not be stored, and publishes that the replica no
// longer leads.
func (r *Replica) recordFull(err error) {
	now := r.cfg.Clock.Now()
	if !r.full {
		r.full, r.fullSince = true, now
		r.log.Error("log cannot be extended, tried again each second", "err", err)
	}
	r.storeRetryAt = now + storeRetryDelay
	committed := r.node.Unstored()
	r.publish()
	r.recordRole()
	r.handOut(nil, committed)
}

// recordSpace records that everything up to the last Ready is stored.
func (r *Replica) recordSpace() {
	if !r.full {
		return
	}
	r.full = false
	r.log.Info("log can be extended again", "after_ms", (r.cfg.Clock.Now() - r.fullSince).Milliseconds())
	r.publish()
}

// stepWhileFull answers the heartbeats that need not be stored, so that the leader keeps its
// lease, and handles messages that replace entries, which makes space. It drops the other messages:
// they would have to be stored, and appends would fill the memory. Raft tolerates their loss. tick
// is as in step.
func (r *Replica) stepWhileFull(now time.Duration, tick bool, messages []*peerv1.RaftMessage) {
	if tick {
		r.node.TickUnstored(now)
	}
	for _, m := range messages {
		switch m.Type {
		case peerv1.RaftMessage_HEARTBEAT:
			r.node.StepHeartbeat(now, m)
			r.node.StepReplacement(now, m)
		case peerv1.RaftMessage_APPEND, peerv1.RaftMessage_SNAPSHOT:
			if r.node.StepReplacement(now, m) {
				r.storeRetryAt = 0
			}
		}
	}
	r.publish()
	r.send(r.node.UrgentMessages())
}
