package node

import (
	"context"
	"fmt"

	"almondturn/pkg/catalog"
)

// ApplyTeam puts a team's subtree in force through this node, over whatever
// revision is there.
func (n *Node) ApplyTeam(ctx context.Context, spec *catalog.TeamSpec) error {
	change := catalog.Change{Spec: spec, Author: "node"}
	if head := n.parts.catalog.Head(spec.Team); head != nil {
		change.Expect = head.Revision
	}
	_, err := n.parts.catalog.Apply(ctx, change)
	return err
}

// Serving returns nil when the node is ready, has this many teams in force,
// knows this many targets, and an owner's report of this many engines.
func (n *Node) Serving(teams, targets, engines int) error {
	if err := n.Ready(); err != nil {
		return err
	}
	if have := n.parts.catalog.Snapshot().Teams(); have != teams {
		return fmt.Errorf("%d of %d teams are in force", have, teams)
	}
	known, reported := 0, 0
	for _, t := range n.parts.directory.Targets("") {
		known++
		if t.State != nil {
			reported++
		}
	}
	if known < targets || reported < engines {
		return fmt.Errorf("%d of %d targets known, %d of %d engines reported", known, targets, reported, engines)
	}
	return nil
}
