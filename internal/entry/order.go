package entry

import (
	"maps"
	"slices"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// ownFirst returns the addresses in own, followed by the others in all.
func ownFirst(own, all []string) []string {
	list := slices.Clone(own)
	for _, a := range all {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}
