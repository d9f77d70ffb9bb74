package state

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// HomeDataCentre returns the data centre whose group keeps the record of an id: the one
// named after a dot in the id, or one chosen by rendezvous hashing over the
// data centres. It depends on nothing else, so every entry finds the same.
func HomeDataCentre(id string, dataCentres []string) string {
	if _, named, ok := strings.Cut(id, "."); ok && slices.Contains(dataCentres, named) {
		return named
	}
	best, bestHash := "", uint64(0)
	for _, dc := range dataCentres {
		if h := xxhash.Sum64String(id + "\x00" + dc); best == "" || h > bestHash || (h == bestHash && dc < best) {
			best, bestHash = dc, h
		}
	}
	return best
}
