package node

import (
	"almondturn/fleet"
	"almondturn/pkg/directory"
	"almondturn/pkg/dispatch"
	"almondturn/pkg/membership"
	"almondturn/pkg/placement"
)

// routes shows the directory to the dispatcher.
type routes struct{ *directory.Directory }

// Loaded implements dispatch.Directory.
func (r routes) Loaded(k fleet.ReplicaKey) []dispatch.Candidate {
	found := r.Replicas(k)
	out := make([]dispatch.Candidate, 0, len(found))
	for _, c := range found {
		out = append(out, candidate(c.Target))
	}
	return out
}

// Plain implements dispatch.Directory.
func (r routes) Plain(s fleet.Service) []dispatch.Candidate {
	var out []dispatch.Candidate
	for _, t := range r.Targets("") {
		if t.Kind == fleet.TargetPlain && t.Service == s && t.LeavingBy == "" && !t.Unreachable {
			out = append(out, candidate(t))
		}
	}
	return out
}

// Target implements dispatch.Directory.
func (r routes) Target(id fleet.TargetID) (dispatch.Candidate, bool) {
	t, ok := r.Lookup(id)
	if !ok {
		return dispatch.Candidate{}, false
	}
	return candidate(t), true
}

func candidate(t *directory.Target) dispatch.Candidate {
	return dispatch.Candidate{Target: t.Target, State: t.State, Report: t.Sequence}
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
