package lease

import (
	"slices"
	"sync"
	"time"
)

// ConfigTable is the fleet leader's view of who serves under which index.
type ConfigTable struct {
	mu      sync.Mutex
	holders map[string]*configHolder
}

type configHolder struct {
	dataCentre string
	index      uint64
	expires    time.Duration
}

// NewConfigTable returns an empty table.
func NewConfigTable() *ConfigTable {
	return &ConfigTable{holders: map[string]*configHolder{}}
}

// Renew grants or renews a configuration lease; index is the last one that the
// holder has applied.
func (t *ConfigTable) Renew(holder, dataCentre string, index uint64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holders[holder] = &configHolder{dataCentre, index, now + Stretch(Config)}
}

// Outstanding returns the data centres in which a process may still serve under
// an index below the given one, in order. Holders of an earlier leader are not
// known until one lease has passed since this one began to lead; until then the
// result has the entry "unknown".
func (t *ConfigTable) Outstanding(index uint64, since, now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[string]bool{}
	for name, h := range t.holders {
		if h.expires <= now {
			delete(t.holders, name)
			continue
		}
		if h.index < index {
			found[h.dataCentre] = true
		}
	}
	if now < since+Stretch(Config) {
		found["unknown"] = true
	}
	var list []string
	for dc := range found {
		list = append(list, dc)
	}
	slices.Sort(list)
	return list
}

// Reset forgets all holders; the granter has stopped leading.
func (t *ConfigTable) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holders = map[string]*configHolder{}
}
