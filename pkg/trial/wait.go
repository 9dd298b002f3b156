package trial

import (
	"context"
	"fmt"
	"time"

	"almondturn/examples"
	"almondturn/pkg/catalog"
	"almondturn/pkg/node"
)

// waitStep is the time between two looks at a condition.
const waitStep = 20 * time.Millisecond

// Wait returns when cond returns nil, or cond's last error when ctx ends.
func Wait(ctx context.Context, cond func() error) error {
	for {
		err := cond()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ctx.Err(), err)
		case <-time.After(waitStep):
		}
	}
}

// Apply puts settings of teams in force through the first running node.
func (t *Trial) Apply(ctx context.Context, files []examples.File) error {
	nodes := t.Nodes()
	if len(nodes) == 0 {
		return fmt.Errorf("no node is running")
	}
	for _, f := range files {
		spec, err := catalog.ParseTeam(f.Name, f.Data)
		if err != nil {
			return err
		}
		if err := Wait(ctx, func() error { return nodes[0].ApplyTeam(ctx, spec) }); err != nil {
			return fmt.Errorf("apply %s: %w", f.Name, err)
		}
	}
	return nil
}

// AwaitServing returns when every running node is ready, hears all others, has
// all teams in force, and has a report of every engine: its owner's while the
// key-value service works.
func (t *Trial) AwaitServing(ctx context.Context, teams int) error {
	return Wait(ctx, func() error {
		nodes := t.Nodes()
		want := node.Expected{Nodes: len(nodes), Teams: teams, Targets: len(t.Site.Targets), Engines: len(t.Site.Engines), Platform: !t.Site.KV.Down()}
		for _, n := range nodes {
			if err := n.Serving(want); err != nil {
				return fmt.Errorf("node %s: %w", n.ID(), err)
			}
		}
		return nil
	})
}
