package node

import (
	"context"
	"errors"
	"fmt"

	"almondturn/fleet"
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
	// Platform is set when the key-value service works: the node must reach
	// it, and the engines must have owners.
	Platform bool
}

// Serving returns nil when the node is ready, hears all nodes, has all teams
// in force, knows all targets, and has a report of all engines: their
// owners' while the key-value service works.
func (n *Node) Serving(e Expected) error {
	if err := n.Ready(); err != nil {
		return err
	}
	view := n.parts.members.View()
	if live := len(view.Live); live != e.Nodes {
		return fmt.Errorf("%d of %d nodes are live", live, e.Nodes)
	}
	if e.Platform && !view.PlatformUp {
		return errors.New("the key-value service is not reached")
	}
	if have := n.parts.catalog.Snapshot().Teams(); have != e.Teams {
		return fmt.Errorf("%d of %d teams are in force", have, e.Teams)
	}
	known, reported := 0, 0
	for _, t := range n.parts.directory.Targets("") {
		known++
		if t.State != nil && (!t.Observed || !e.Platform) {
			reported++
		}
	}
	if known < e.Targets || reported < e.Engines {
		return fmt.Errorf("%d of %d targets known, %d of %d engines reported", known, e.Targets, reported, e.Engines)
	}
	return nil
}

// Declared returns what the settings in force at this node say of a replica.
func (n *Node) Declared(k fleet.ReplicaKey) (catalog.Replica, bool) {
	return n.parts.catalog.Snapshot().Replica(k)
}
