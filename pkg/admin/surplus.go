package admin

import (
	"cmp"
	"slices"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
)

// Surplus tells that a zone holds a share of too many replicas.
type Surplus struct {
	Replica string     `json:"replica"`
	Zone    fleet.Zone `json:"zone"`
	// Held are the slots in this zone, Total those in all zones.
	Held  int `json:"held"`
	Total int `json:"total"`
	// Limit is the number now allowed over all zones.
	Limit int `json:"limit"`
}

// zoneCounts counts the slots of one replica key by zone.
type zoneCounts map[fleet.Zone]int

func (z zoneCounts) total() int {
	total := 0
	for _, n := range z {
		total += n
	}
	return total
}

// surplus lists where the given services hold more slots than limits allow. A
// replica that limits does not name may not be held at all.
func surplus(services map[fleet.Service]bool, limits *catalog.Snapshot, targets []Target) []Surplus {
	var out []Surplus
	for key, zones := range countSlots(services, targets) {
		replica, _ := limits.Replica(key)
		total := zones.total()
		if total <= replica.MaxReplicas {
			continue
		}
		for zone, held := range zones {
			out = append(out, Surplus{Replica: key.String(), Zone: zone, Held: held, Total: total, Limit: replica.MaxReplicas})
		}
	}
	slices.SortFunc(out, func(a, b Surplus) int {
		return cmp.Or(cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.Zone, b.Zone))
	})
	return out
}

func countSlots(services map[fleet.Service]bool, targets []Target) map[fleet.ReplicaKey]zoneCounts {
	held := map[fleet.ReplicaKey]zoneCounts{}
	for _, t := range targets {
		for _, key := range t.Slots {
			if !services[key.Service] {
				continue
			}
			if held[key] == nil {
				held[key] = zoneCounts{}
			}
			held[key][t.Target.Zone]++
		}
	}
	return held
}

// serviceNames adds the services of a subtree, which may be nil.
func serviceNames(names map[fleet.Service]bool, spec *catalog.TeamSpec) {
	if spec == nil {
		return
	}
	for i := range spec.Services {
		names[spec.Services[i].Name] = true
	}
}
