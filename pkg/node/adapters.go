package node

import (
	"almondturn/fleet"
	"almondturn/pkg/admin"
	"almondturn/pkg/directory"
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

// targetReports shows the directory and the VM list to the target owner.
type targetReports struct {
	directory *directory.Directory
	members   *membership.Service
}

// Targets implements owner.Directory.
func (r targetReports) Targets() ([]fleet.Target, bool) {
	all := r.members.Targets()
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
