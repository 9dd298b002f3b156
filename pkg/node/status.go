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

// Expected is what a node of a whole deployment should know.
type Expected struct {
	Nodes, Teams, Targets, Engines int
}

// Serving returns nil when the node is ready, hears all nodes, has all teams
// in force, knows all targets, and has an owner's report of all engines.
func (n *Node) Serving(e Expected) error {
	if err := n.Ready(); err != nil {
		return err
	}
	if live := len(n.parts.members.View().Live); live != e.Nodes {
		return fmt.Errorf("%d of %d nodes are live", live, e.Nodes)
	}
	if have := n.parts.catalog.Snapshot().Teams(); have != e.Teams {
		return fmt.Errorf("%d of %d teams are in force", have, e.Teams)
	}
	known, reported := 0, 0
	for _, t := range n.parts.directory.Targets("") {
		known++
		if t.State != nil {
			reported++
		}
	}
	if known < e.Targets || reported < e.Engines {
		return fmt.Errorf("%d of %d targets known, %d of %d engines reported", known, e.Targets, reported, e.Engines)
	}
	return nil
}
