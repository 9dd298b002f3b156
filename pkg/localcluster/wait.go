package localcluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/node"
	"almondturn/pkg/teams"
	"almondturn/platform"
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

// Apply has the settings of teams accepted, whatever they were.
func (t *Cluster) Apply(ctx context.Context, files []examples.File) error {
	for _, f := range files {
		spec, err := teams.ParseTeam(f.Name, f.Data)
		if err != nil {
			return err
		}
		if err := t.ApplyTeam(ctx, spec); err != nil {
			return fmt.Errorf("apply %s: %w", f.Name, err)
		}
	}
	return nil
}

// ApplyTeam has the settings of one team accepted, whatever they were.
func (t *Cluster) ApplyTeam(ctx context.Context, spec *teams.TeamSpec) error {
	dial := bounded(t.Network.Dialer(platformHost))
	repository := teams.NewRepository(platform.NewStore(t.Store.Addr(), dial, func(string, int) {}))
	revision := uint64(0)
	if current, err := repository.Read(ctx, spec.Team); err == nil {
		revision = current.Revision
	}
	_, err := repository.Apply(ctx, teams.Change{Spec: spec, Expect: revision, Author: "trial"})
	return err
}

// AwaitServing returns when every running node is ready, knows all targets and
// has as many teams in force, and every zone with a running node has an owner
// that all of them reach.
func (t *Cluster) AwaitServing(ctx context.Context, want int) error {
	return Wait(ctx, func() error {
		for _, n := range t.Nodes() {
			if err := t.serving(ctx, n, want); err != nil {
				return fmt.Errorf("node %s: %w", n.ID(), err)
			}
		}
		return nil
	})
}

// serving tells why a node does not serve all that it should.
func (t *Cluster) serving(ctx context.Context, n *node.Node, want int) error {
	if !n.Ready() {
		return errNotReady
	}
	if have := len(teams.SnapshotOf(n.Table()).TeamNames()); have != want {
		return fmt.Errorf("%d teams are in force, want %d", have, want)
	}
	known := 0
	n.Targets().All(func(*inventory.Target) { known++ })
	if known != t.targets() {
		return fmt.Errorf("%d targets are known, want %d", known, t.targets())
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	for _, z := range n.Status(ctx) {
		if z.Owner == "" && t.runs(z.Zone) {
			return fmt.Errorf("no owner of the zone %q is reached", z.Zone)
		}
	}
	return nil
}

// runs tells whether a node of the zone is running.
func (t *Cluster) runs(zone fleet.Zone) bool {
	for _, n := range t.Nodes() {
		if n.Self().Zone == zone {
			return true
		}
	}
	return false
}

// statusTimeout bounds the question for the state of all zones.
const statusTimeout = time.Second

var errNotReady = errors.New("it is not ready")
