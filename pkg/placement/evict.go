package placement

import (
	"slices"
	"time"

	"almondturn/fleet"
)

// Idle is a group of replicas that can be unloaded together: an adapter, or
// a base model after all of its adapters. None of them has running requests.
type Idle struct {
	// Keys are in the order in which they have to be unloaded.
	Keys        []fleet.ReplicaKey
	MemoryBytes int64
	// Remaining is the rest of the keep-alive window; it is negative once
	// the window is over. The replica with the least is missed the least.
	Remaining time.Duration
}

// Evict returns the replicas to unload, in order, so that at least
// missingBytes become free, and false when all of them are not enough.
func Evict(idle []Idle, missingBytes int64) ([]fleet.ReplicaKey, bool) {
	sorted := slices.Clone(idle)
	slices.SortStableFunc(sorted, func(a, b Idle) int {
		if a.Remaining != b.Remaining {
			return int(max(min(a.Remaining-b.Remaining, 1), -1))
		}
		return a.Keys[len(a.Keys)-1].Compare(b.Keys[len(b.Keys)-1])
	})
	chosen, freed := takeUntil(sorted, missingBytes)
	if freed < missingBytes {
		return nil, false
	}
	chosen = dropUnneeded(chosen, freed, missingBytes)
	return flatten(chosen), true
}

func takeUntil(sorted []Idle, missingBytes int64) ([]Idle, int64) {
	var freed int64
	var chosen []Idle
	taken := map[fleet.ReplicaKey]bool{}
	for _, c := range sorted {
		if freed >= missingBytes {
			break
		}
		if overlaps(c, taken) {
			continue
		}
		for _, k := range c.Keys {
			taken[k] = true
		}
		chosen = append(chosen, c)
		freed += c.MemoryBytes
	}
	return chosen, freed
}

// overlaps tells that a replica of the group was taken on its own before;
// the group's memory can then not be counted in whole.
func overlaps(c Idle, taken map[fleet.ReplicaKey]bool) bool {
	return slices.ContainsFunc(c.Keys, func(k fleet.ReplicaKey) bool { return taken[k] })
}

// dropUnneeded spares the most valuable groups that the others make up for.
func dropUnneeded(chosen []Idle, freed, missingBytes int64) []Idle {
	for i := len(chosen) - 1; i >= 0; i-- {
		if freed-chosen[i].MemoryBytes >= missingBytes {
			freed -= chosen[i].MemoryBytes
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen
}

func flatten(groups []Idle) []fleet.ReplicaKey {
	var out []fleet.ReplicaKey
	for _, g := range groups {
		out = append(out, g.Keys...)
	}
	return out
}
