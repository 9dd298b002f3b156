package dispatch

import (
	"context"
	"sync/atomic"

	"almondturn/fleet"
	"almondturn/pkg/directory"
)

// Targets is the Directory of a node.
type Targets struct {
	dir *directory.Directory
	// plain lists the targets of each plain service; the empty service
	// stands for targets that serve all.
	plain atomic.Pointer[map[fleet.Service][]fleet.TargetID]
}

// NewTargets returns a Directory over the node's table of targets.
func NewTargets(dir *directory.Directory) *Targets {
	t := &Targets{dir: dir}
	t.refresh()
	return t
}

// Run keeps the list of plain services up to date until ctx ends.
func (t *Targets) Run(ctx context.Context) {
	changes := t.dir.Subscribe()
	t.refresh()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
			t.refresh()
		}
	}
}

func (t *Targets) refresh() {
	plain := map[fleet.Service][]fleet.TargetID{}
	for _, target := range t.dir.Targets("") {
		if target.Kind == fleet.TargetPlain {
			plain[target.Service] = append(plain[target.Service], target.ID)
		}
	}
	t.plain.Store(&plain)
}

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
	index := *t.plain.Load()
	out := make([]Candidate, 0, len(index[s])+len(index[""]))
	for _, ids := range [][]fleet.TargetID{index[s], index[""]} {
		for _, id := range ids {
			target, ok := t.dir.Lookup(id)
			if ok && target.LeavingBy == "" && !target.Unreachable {
				out = append(out, candidateOf(target))
			}
		}
	}
	return out
}

// Target implements Directory.
func (t *Targets) Target(id fleet.TargetID) (Candidate, bool) {
	target, ok := t.dir.Lookup(id)
	if !ok || target.LeavingBy != "" || target.Unreachable {
		return Candidate{}, false
	}
	return candidateOf(target), true
}

// epochShift leaves room for the reports of one epoch below the epoch.
const epochShift = 40

func candidateOf(t *directory.Target) Candidate {
	return Candidate{Target: t.Target, State: t.State, Report: uint64(t.Epoch)<<epochShift + t.Sequence}
}
