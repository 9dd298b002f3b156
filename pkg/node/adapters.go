package node

import (
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/admin"
	"almondturn/pkg/catalog"
	"almondturn/pkg/directory"
	"almondturn/pkg/keepalive"
	"almondturn/pkg/membership"
	"almondturn/pkg/peer"
	"almondturn/pkg/placement"
)

// targetStatus shows the directory to operators.
type targetStatus struct {
	directory *directory.Directory
	network   peer.Network
}

// Drain implements admin.TargetTable.
func (s targetStatus) Drain(t fleet.TargetID, cancelled bool) {
	s.directory.Drain(s.network, t, cancelled)
}

// Targets implements admin.TargetTable.
func (s targetStatus) Targets() []admin.Target {
	var out []admin.Target
	for _, t := range s.directory.Targets("") {
		row := admin.Target{Target: t.Target, Owner: t.Owner, Unreachable: t.Unreachable, Slots: t.Slots}
		row.Target.Leaving = t.LeavingBy != ""
		if t.State != nil {
			row.State = *t.State
		}
		out = append(out, row)
	}
	return out
}

// keepAlive is the keep-alive policy with the idle weights of the catalog.
type keepAlive struct {
	*keepalive.Policy
	catalog *catalog.Store
}

// Window implements owner.KeepAlive.
func (k keepAlive) Window(key fleet.ReplicaKey, now time.Time) time.Duration {
	if r, ok := k.catalog.Load().Replica(key); ok && r.IdleWeight != 0 {
		k.Declare(key, 0, r.IdleWeight)
	}
	return k.Policy.Window(key, now)
}

// targetReports shows the directory and the VM list to the target owner.
type targetReports struct {
	directory *directory.Directory
	members   *membership.Service
}

// Targets implements owner.Directory.
func (r targetReports) Targets() ([]fleet.Target, bool) {
	all := slices.Clone(r.members.Targets())
	for i := range all {
		if t, ok := r.directory.Lookup(all[i].ID); ok && t.LeavingBy != "" {
			all[i].Leaving = true // an operator or the engine said so
		}
	}
	return all, r.members.TargetsKnown()
}

// Candidates implements owner.Directory.
func (r targetReports) Candidates(zone fleet.Zone) []placement.Candidate {
	var out []placement.Candidate
	for _, t := range r.directory.Targets(zone) {
		if t.State == nil {
			continue
		}
		c := placement.Candidate{
			Target:      t.Target,
			State:       *t.State,
			Unreachable: t.Unreachable,
			Slots:       t.Slots,
			Draining:    t.Draining,
			Owner:       t.Owner,
		}
		c.Target.Leaving = t.LeavingBy != ""
		out = append(out, c)
	}
	return out
}
