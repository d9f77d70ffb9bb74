package lease

import (
	"slices"
	"sync"
	"time"
)

// MaxGrace is the longest time for which a process may serve a team after its
// configuration lease has expired, if the team's document allows that.
const MaxGrace = 24 * time.Hour

// ConfigTable is the fleet leader's record of the configuration leases it has
// granted and of the configuration index that each holder has applied.
type ConfigTable struct {
	mu      sync.Mutex
	holders map[string]configHolder
}

type configHolder struct {
	dataCentre string
	index      uint64
	granted    time.Duration
}

// NewConfigTable returns an empty table.
func NewConfigTable() *ConfigTable {
	return &ConfigTable{holders: map[string]configHolder{}}
}

// Renew grants or renews a configuration lease; index is the last one that the
// holder has applied. A delayed request does not lower the recorded index.
func (t *ConfigTable) Renew(holder, dataCentre string, index uint64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.holders[holder]
	t.holders[holder] = configHolder{dataCentre, max(index, previous.index), max(now, previous.granted)}
}

// UnknownHolders stands in the result of Outstanding for the holders of leases
// that an earlier leader may have granted.
const UnknownHolders = "unknown"

// Outstanding returns the data centres, sorted by name, in which a process may
// still serve under an index below the given one. grace returns for how long
// after its lease has expired a process may serve the team that the change
// concerns, if the process has applied the index from or a later one. The table
// does not contain leases granted by an earlier leader, so the result includes
// UnknownHolders until such leases and their graces have expired, counted from
// since, when this leadership began.
func (t *ConfigTable) Outstanding(index uint64, grace func(from uint64) time.Duration, since, now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	dataCentres := map[string]bool{}
	for name, h := range t.holders {
		if now >= h.granted+AddDriftMargin(ConfigDuration+MaxGrace) {
			delete(t.holders, name)
			continue
		}
		if h.index < index && now < h.granted+AddDriftMargin(ConfigDuration+grace(h.index)) {
			dataCentres[h.dataCentre] = true
		}
	}
	if now < since+AddDriftMargin(ConfigDuration+grace(0)) {
		dataCentres[UnknownHolders] = true
	}
	var list []string
	for dc := range dataCentres {
		list = append(list, dc)
	}
	slices.Sort(list)
	return list
}
