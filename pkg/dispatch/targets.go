package dispatch

import (
	"almondturn/fleet"
	"almondturn/pkg/directory"
)

// Targets is the Directory of a node.
type Targets struct {
	dir *directory.Directory
}

// NewTargets returns a Directory over the node's table of targets.
func NewTargets(dir *directory.Directory) *Targets { return &Targets{dir: dir} }

// Loaded implements Directory.
func (t *Targets) Loaded(k fleet.ReplicaKey) []Candidate {
	replicas := t.dir.Replicas(k)
	if len(replicas) == 0 {
		return nil
	}
	out := make([]Candidate, 0, len(replicas))
	for i := range replicas {
		out = append(out, candidateOf(replicas[i].Target))
	}
	return out
}

// Plain implements Directory.
func (t *Targets) Plain(s fleet.Service) []Candidate {
	found := t.dir.Plain(s)
	out := make([]Candidate, 0, len(found))
	for _, target := range found {
		out = append(out, candidateOf(target))
	}
	return out
}

// Target implements Directory.
func (t *Targets) Target(id fleet.TargetID) (Candidate, bool) {
	target, ok := t.dir.Working(id)
	if !ok {
		return Candidate{}, false
	}
	return candidateOf(target), true
}

func candidateOf(t *directory.Target) Candidate {
	return Candidate{Target: t.Target, State: t.State, Report: t.Report}
}
