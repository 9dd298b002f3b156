package check

import (
	"slices"
	"time"

	"almondturn/fleet"
)

// judgeRevisions finds settings that went back, or that were not in force
// everywhere in time. A node that was not seen after the bound is not judged.
func judgeRevisions(run Run, b Bounds) []Violation {
	seen := slices.Clone(run.Revisions)
	slices.SortStableFunc(seen, func(x, y RevisionSeen) int { return x.At.Compare(y.At) })
	return append(judgeReverts(seen), judgePropagation(seen, run.Accepted, b)...)
}

func judgeReverts(seen []RevisionSeen) []Violation {
	// A restarted process is the same node: what it had in force before is
	// not to be undone.
	type subtree struct {
		node fleet.NodeID
		team fleet.Team
	}
	var out []Violation
	highest := map[subtree]uint64{}
	for _, s := range seen {
		k := subtree{s.Node, s.Team}
		if s.Revision < highest[k] {
			out = append(out, violation(RuleRevert, s.At, "node %s: team %s went from revision %d to %d", s.Node, s.Team, highest[k], s.Revision))
		}
		highest[k] = max(highest[k], s.Revision)
	}
	return out
}

func judgePropagation(seen []RevisionSeen, accepted []Accepted, b Bounds) []Violation {
	var out []Violation
	reported := map[fleet.NodeID]map[fleet.Team]bool{}
	for _, a := range accepted {
		due := a.At.Add(b.Propagation)
		for _, s := range seen {
			if s.Team != a.Team || s.At.Before(due) || s.Revision >= a.Revision || reported[s.Node][a.Team] {
				continue
			}
			if reported[s.Node] == nil {
				reported[s.Node] = map[fleet.Team]bool{}
			}
			reported[s.Node][a.Team] = true
			out = append(out, violation(RulePropagation, s.At, "node %s: team %s is at revision %d, %d was accepted %s ago", s.Node, s.Team, s.Revision, a.Revision, s.At.Sub(a.At).Round(time.Millisecond)))
		}
	}
	return out
}
