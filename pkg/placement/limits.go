package placement

import (
	"maps"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
)

// Limits are the replica limits of one record's versions as a node's
// catalog has them.
type Limits struct {
	Team fleet.Team
	// Revision is the catalog revision of the team's subtree; 0 when the
	// node does not know it.
	Revision uint64
	// Max is the limit by version; versions that are not declared have none.
	Max map[string]int
	// Peak is the highest limit by version that the node had in force since
	// it last read the record; another node may have bound slots under it.
	Peak map[string]int
}

// Total returns the sum over all versions.
func (l Limits) Total() int {
	sum := 0
	for _, n := range l.Max {
		sum += n
	}
	return sum
}

// LimitsOf reads the limits of a record's versions from the catalog. team is
// the record's team, for services that are no longer declared.
func LimitsOf(snap *catalog.Snapshot, group fleet.ReplicaKey, team fleet.Team) Limits {
	l := Limits{Team: team, Max: map[string]int{}}
	svc, declared, ok := snap.Service(group.Service)
	if ok {
		l.Team = declared
		addVersions(l.Max, svc.Models, group)
	}
	l.Revision = uint64(snap.Revisions[l.Team])
	return l
}

func addVersions(limits map[string]int, models []catalog.ModelSpec, group fleet.ReplicaKey) {
	for _, m := range models {
		if m.Name != group.Model {
			continue
		}
		if group.Adapter == "" {
			limits[m.Version] = m.MaxReplicas
			continue
		}
		for _, a := range m.Adapters {
			if a.Name == group.Adapter {
				limits[m.Version] = a.MaxReplicas
			}
		}
	}
}

// lowered tells whether some version's limit is below the record's.
func (l Limits) lowered(r Record) bool {
	for _, higher := range []map[string]int{r.Limits, l.Peak} {
		for v, n := range higher {
			if l.Max[v] < n {
				return true
			}
		}
	}
	return false
}

// Stale tells that the record was written under a newer catalog than l.
func (l Limits) Stale(r Record) bool { return l.Revision < r.LimitRevision }

// NeedsStamp tells that a limit was lowered and the record does not say so
// yet; until it does, an owner with an older catalog could still bind.
func (l Limits) NeedsStamp(r Record) bool {
	return l.Revision > r.LimitRevision && l.lowered(r)
}

// effective returns the limit that a version's slots are held to: the
// catalog's, or the lower of both while this node's catalog is behind.
func (l Limits) effective(r Record, version string) int {
	n := l.Max[version]
	if l.Stale(r) {
		n = min(n, r.Limits[version])
	}
	return n
}

// stamp stores l in the record unless the record is newer.
func (l Limits) stamp(r *Record) {
	if l.Stale(*r) {
		return
	}
	r.Team = l.Team
	r.Limits = maps.Clone(l.Max)
	r.LimitRevision = l.Revision
}
