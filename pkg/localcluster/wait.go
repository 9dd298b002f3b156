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

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// WaitUntil calls check every pollInterval until it returns nil. If ctx ends first, it
// returns an error that wraps that of ctx and check's last one.
func WaitUntil(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ctx.Err(), err)
		case <-time.After(pollInterval):
		}
	}
}

// Apply replaces the settings of teams by those in files, whatever the accepted
// revision is.
func (c *Cluster) Apply(ctx context.Context, files []examples.File) error {
	for _, f := range files {
		spec, err := teams.ParseTeam(f.Name, f.Data)
		if err != nil {
			return err
		}
		if err := c.ApplyTeam(ctx, spec); err != nil {
			return fmt.Errorf("apply %s: %w", f.Name, err)
		}
	}
	return nil
}

// ApplyTeam replaces the settings of one team, whatever the accepted revision is. It
// fails if another change is accepted meanwhile. A team that can't be read is taken to be
// new; if it exists after all, the revision 0 is a conflict. The calls of the key-value
// service are counted in no metric.
func (c *Cluster) ApplyTeam(ctx context.Context, spec *teams.TeamSpec) error {
	dial := withDialTimeout(c.Network.Dialer(platformHost))
	repository := teams.NewRepository(platform.NewStore(c.Store.Addr(), dial, func(string, int) {}))
	revision := uint64(0)
	if current, err := repository.Read(ctx, spec.Team); err == nil {
		revision = current.Revision
	}
	_, err := repository.Apply(ctx, teams.Change{Spec: spec, Expect: revision, Author: "trial"})
	return err
}

// AwaitServing waits until every running node is ready, knows all targets, has the
// settings of wantTeams teams in force, and reaches an owner of every zone that has a
// running node. If ctx ends first, it returns an error that says what is missing.
func (c *Cluster) AwaitServing(ctx context.Context, wantTeams int) error {
	return WaitUntil(ctx, func() error {
		for _, n := range c.Nodes() {
			if err := c.checkServing(ctx, n, wantTeams); err != nil {
				return fmt.Errorf("node %s: %w", n.ID(), err)
			}
		}
		return nil
	})
}

// checkServing returns an error if a node doesn't meet the conditions of AwaitServing. A
// node knows a target while the target's entry is in the state ready or draining.
func (c *Cluster) checkServing(ctx context.Context, n *node.Node, wantTeams int) error {
	if !n.Ready() {
		return errNotReady
	}
	if inForce := len(teams.SnapshotOf(n.Table()).TeamNames()); inForce != wantTeams {
		return fmt.Errorf("settings of %d teams are in force, want %d", inForce, wantTeams)
	}
	knownTargets := 0
	n.Targets().ForEach(func(*inventory.Target) { knownTargets++ })
	if knownTargets != c.targetCount() {
		return fmt.Errorf("%d targets are known, want %d", knownTargets, c.targetCount())
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	for _, z := range n.Status(ctx) {
		if z.Owner == "" && c.hasRunningNode(z.Zone) {
			return fmt.Errorf("no owner of the zone %q is reachable", z.Zone)
		}
	}
	return nil
}

// hasRunningNode reports whether a node of the zone is running.
func (c *Cluster) hasRunningNode(zone fleet.Zone) bool {
	for _, n := range c.Nodes() {
		if n.Self().Zone == zone {
			return true
		}
	}
	return false
}

// statusTimeout bounds the query for the status of all zones.
const statusTimeout = time.Second

// errNotReady is returned for a node that isn't ready.
var errNotReady = errors.New("not ready")
