package directory

import (
	"almondturn/fleet"
	"almondturn/pkg/dispatch"
)

// Loaded implements dispatch.Directory: the targets of all zones that may
// get new requests for the replica.
func (d *Directory) Loaded(k fleet.ReplicaKey) []dispatch.Candidate {
	loaded := d.Replicas(k)
	out := make([]dispatch.Candidate, 0, len(loaded))
	for _, c := range loaded {
		out = append(out, candidate(c.Target))
	}
	return out
}

// Plain implements dispatch.Directory: the targets of all zones that run the
// plain service and take new requests.
func (d *Directory) Plain(s fleet.Service) []dispatch.Candidate {
	var out []dispatch.Candidate
	for _, e := range (*d.plain.Load())[s] {
		t := e.state.Load()
		if t.LeavingBy == "" && !t.Unreachable {
			out = append(out, candidate(t))
		}
	}
	return out
}

// Target implements dispatch.Directory. It returns false for a target that
// takes no new requests.
func (d *Directory) Target(id fleet.TargetID) (dispatch.Candidate, bool) {
	t, ok := d.Lookup(id)
	if !ok || t.LeavingBy != "" || t.Unreachable {
		return dispatch.Candidate{}, false
	}
	return candidate(t), true
}

func candidate(t *Target) dispatch.Candidate {
	return dispatch.Candidate{Target: t.Target, State: t.State, Report: t.report}
}
