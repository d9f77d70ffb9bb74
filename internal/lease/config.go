package lease

import (
	"slices"
	"sync"
	"time"
)

// MaxGrace bounds how long after its lease a process may serve a team whose
// document allows it.
const MaxGrace = 24 * time.Hour

// ConfigTable is the fleet leader's view of who serves under which index.
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
// holder has applied. A delayed request does not take back a later one's index.
func (t *ConfigTable) Renew(holder, dataCentre string, index uint64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	earlier := t.holders[holder]
	t.holders[holder] = configHolder{dataCentre, max(index, earlier.index), max(now, earlier.granted)}
}

// UnknownHolders is the entry for holders of an earlier leader.
const UnknownHolders = "unknown"

// Outstanding returns the data centres in which a process may still serve under
// an index below the given one, in order. grace returns for how long after its
// lease a process that has applied an index, or a later one, may serve what the
// change concerns. Holders of an earlier leader are not known until their leases
// and graces have passed since this one began to lead; until then the result
// has the entry Unknown.
func (t *ConfigTable) Outstanding(index uint64, grace func(from uint64) time.Duration, since, now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[string]bool{}
	for name, h := range t.holders {
		if now >= h.granted+AddDriftMargin(ConfigDuration+MaxGrace) {
			delete(t.holders, name)
			continue
		}
		if h.index < index && now < h.granted+AddDriftMargin(ConfigDuration+grace(h.index)) {
			found[h.dataCentre] = true
		}
	}
	if now < since+AddDriftMargin(ConfigDuration+grace(0)) {
		found[UnknownHolders] = true
	}
	var list []string
	for dc := range found {
		list = append(list, dc)
	}
	slices.Sort(list)
	return list
}
