package route

import "almondturn/fleet"

// Limit bounds a number of replicas over all availability zones. The zero
// value is no limit.
type Limit struct {
	// Set tells that there is a limit.
	Set bool
	// Max is the number of replicas that may be loaded at once.
	Max int
}

// AtMost returns a limit of n replicas.
func AtMost(n int) Limit { return Limit{Set: true, Max: n} }

// Quota returns how many of the replicas one zone may hold. The quotas of all
// zones add up to the limit, and depend on nothing but the limit, the names of
// the zones and of what is limited, so that zones which are cut off from each
// other keep the limit without a word. ok is false when there is no limit.
func (l Limit) Quota(zone fleet.Zone, zones []fleet.Zone, name string) (quota int, ok bool) {
	if !l.Set {
		return 0, false
	}
	rank := 0
	own := fleet.RendezvousWeight(string(zone), name)
	for _, z := range zones {
		w := fleet.RendezvousWeight(string(z), name)
		if w > own || w == own && z < zone {
			rank++
		}
	}
	n := max(len(zones), 1)
	quota = l.Max / n
	if rank < l.Max%n {
		quota++
	}
	return quota, true
}
