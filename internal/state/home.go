package state

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// HomeDataCentre returns the data centre whose group keeps the record of an id. It
// is the data centre named after a dot in the id, if that is one of dataCentres,
// and otherwise selected by rendezvous hashing. The result depends only on the
// arguments, so every entry process computes the same one. It is empty if
// dataCentres is empty.
func HomeDataCentre(id string, dataCentres []string) string {
	if _, named, ok := strings.Cut(id, "."); ok && slices.Contains(dataCentres, named) {
		return named
	}
	best, bestHash := "", uint64(0)
	for _, dc := range dataCentres {
		if hash := xxhash.Sum64String(id + "\x00" + dc); best == "" || hash > bestHash || (hash == bestHash && dc < best) {
			best, bestHash = dc, hash
		}
	}
	return best
}
