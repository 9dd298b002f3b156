package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member with the highest rendezvous weight for key, and
// false when there are no members. All callers that see the same members
// agree, whatever their order.
// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for
// Rendezvous", 1996.
func Owner(members []NodeID, key string) (NodeID, bool) {
	var best NodeID
	var bestWeight uint64
	found := false
	for _, m := range members {
		w := weight(m, key)
		if !found || w > bestWeight || (w == bestWeight && m < best) {
			best, bestWeight, found = m, w, true
		}
	}
	return best, found
}

// Ranked returns the members ordered by falling rendezvous weight for key.
func Ranked(members []NodeID, key string) []NodeID {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b NodeID) int {
		wa, wb := weight(a, key), weight(b, key)
		if wa > wb || (wa == wb && a < b) {
			return -1
		}
		return 1
	})
	return out
}

// Weight returns the rendezvous weight of a member for key.
func Weight(m NodeID, key string) uint64 { return weight(m, key) }

func weight(m NodeID, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(m))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
