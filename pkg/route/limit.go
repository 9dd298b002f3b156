package route

import "almondturn/fleet"

// ReplicaLimit bounds the number of replicas of a model or adapter over all
// availability zones. The zero value is no limit.
type ReplicaLimit struct {
	// IsSet reports whether there is a limit.
	IsSet bool
	// Max is the number of replicas that may be loaded concurrently.
	Max int
}

// AtMost returns a limit of n replicas.
func AtMost(n int) ReplicaLimit { return ReplicaLimit{IsSet: true, Max: n} }

// Quota returns how many of the replicas one zone may hold. The quotas of all
// zones add up to the limit. They depend only on the limit, the names of the
// zones and the name of the limited model or adapter, so that zones that are
// partitioned from each other comply with the limit without communicating. The
// remainder of an uneven division is assigned to the zones with the highest
// rendezvous weights for the name. ok is false if there is no limit.
func (l ReplicaLimit) Quota(zone fleet.Zone, zones []fleet.Zone, name string) (quota int, ok bool) {
	if !l.IsSet {
		return 0, false
	}
	rank := 0
	ownWeight := fleet.RendezvousWeight(string(zone), name)
	for _, z := range zones {
		weight := fleet.RendezvousWeight(string(z), name)
		if weight > ownWeight || weight == ownWeight && z < zone {
			rank++
		}
	}
	zoneCount := max(len(zones), 1)
	quota = l.Max / zoneCount
	if rank < l.Max%zoneCount {
		quota++
	}
	return quota, true
}
