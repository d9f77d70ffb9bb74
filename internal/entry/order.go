package entry

import (
	"maps"
	"slices"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// ownFirst returns all addresses, the given ones first.
func ownFirst(own, all []string) []string {
	list := slices.Clone(own)
	for _, a := range all {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}
