package dispatch

import (
	"fmt"
	"time"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
)

// formatCheckInterval is the interval at which the leader checks whether a newer format of the
// state can be adopted.
const formatCheckInterval = 250 * time.Millisecond

// adoptFormat adopts the newest format of the state that all replicas apply, until it is the
// newest one of this release or the term ends.
func (t *term) adoptFormat() {
	for {
		var adopted uint32
		t.leader.Store.View(func(v *cell.View) { adopted = v.Format() })
		if adopted >= cell.NewestFormat {
			return
		}
		if format := min(t.leader.GroupFormat(), cell.NewestFormat); format > adopted && t.leads() {
			_, err := t.leader.propose(t.ctx, &cell.Command{AdoptFormat: &cell.AdoptFormat{Format: format}})
			if err != nil {
				t.leader.Logger.Warn("failed to adopt a format of the state", logging.Step("adopt format"), "format", format, logging.Error(err))
			} else {
				t.leader.Logger.Info("format of the state adopted", logging.Step("adopt format"), "format", format, "earlier", adopted)
				continue
			}
		}
		if !t.pause(formatCheckInterval) {
			return
		}
	}
}

// refuseReplica returns the refusal of a replica that does not apply the format of the state, nil
// for any other replica. It would reach another state than the members of the group.
func (l *Leader) refuseReplica(a *cellapi.AnnounceReplica) *cellapi.Reply {
	var adopted uint32
	l.Store.View(func(v *cell.View) { adopted = v.Format() })
	if a.Format >= adopted {
		return nil
	}
	l.Logger.Warn("replica of an earlier release refused", logging.Step("join"), logging.Peer(a.Peer), "format", a.Format, "adopted", adopted)
	return &cellapi.Reply{Refused: fmt.Sprintf("the state has format %d, and the replica applies formats up to %d", adopted, a.Format)}
}
