package scenarios

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"time"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/config"
	"almondturn/pkg/localcluster"
	"almondturn/pkg/teams"
	"almondturn/platform/standin"
)

// waitTimeout bounds each wait of a scenario. It is no latency requirement: it
// only detects waits that would never end.
const waitTimeout = 60 * time.Second

// loadTime is the time that an engine takes to load a model.
const loadTime = 150 * time.Millisecond

// deploymentOptions describe a scenario's deployment. Nodes, engines and plain
// targets are counted per zone.
type deploymentOptions struct {
	zones, nodesPerZone, enginesPerZone, plainPerZone int
	// idleWeight is the cost of a second of idle accelerator time, relative to a
	// second of cold start (setting idle_weight), of the services that have engines.
	idleWeight float64
	// engineMemoryMB is each engine's memory for weights; 0 keeps the default.
	engineMemoryMB int
}

// deployment is the system under test, with the records by which findViolations
// checks it.
type deployment struct {
	*localcluster.Cluster
	callers  *callers
	replicas *replicaTracker
	teams    []*teams.TeamSpec
}

var zoneNames = []fleet.Zone{"hobart", "kingston", "sorell"}

func startDeployment(options deploymentOptions) (*deployment, error) {
	d := &deployment{replicas: newReplicaTracker()}
	cluster, err := localcluster.Start(localcluster.Options{
		Zones: zoneNames[:options.zones], NodesPerZone: options.nodesPerZone, EnginesPerZone: options.enginesPerZone, PlainTargetsPerZone: options.plainPerZone,
		EngineOptions: func(id string, zone fleet.Zone) standin.EngineOptions {
			return engineOptions(id, zone, options, d.replicas)
		},
		Proxies: true,
		Configure: func(c *config.Config) {
			c.Log.Level = cmp.Or(os.Getenv("SCENARIO_LOG"), "error")
		},
		Log: os.Stderr,
	})
	if err != nil {
		return nil, err
	}
	d.Cluster = cluster
	d.callers = newCallers(func(id fleet.NodeID) string {
		if n := cluster.Node(id); n != nil {
			return n.CallersAddr()
		}
		return ""
	})
	return d, nil
}

func engineOptions(id string, zone fleet.Zone, options deploymentOptions, tracker *replicaTracker) standin.EngineOptions {
	o := localcluster.DefaultEngine(id, zone)
	o.LoadTime, o.EventTime, o.OnLoadChange = loadTime, 10*time.Millisecond, tracker.observe
	if options.engineMemoryMB > 0 {
		o.WeightsMB = float64(options.engineMemoryMB)
	}
	return o
}

// serveExampleTeams applies the example teams and waits until all running nodes
// serve them.
func (d *deployment) serveExampleTeams(ctx context.Context, options deploymentOptions) error {
	if err := d.applyExampleTeams(ctx, options); err != nil {
		return err
	}
	return d.AwaitServing(ctx, len(d.teams))
}

// applyExampleTeams applies the settings of the example teams, adjusted to the
// options.
func (d *deployment) applyExampleTeams(ctx context.Context, options deploymentOptions) error {
	files, err := examples.Dev()
	if err != nil {
		return err
	}
	for _, f := range files {
		spec, err := teams.ParseTeam(f.Name, f.Data)
		if err != nil {
			return err
		}
		setEngineProperties(spec, options)
		d.teams = append(d.teams, spec)
		d.raiseAllowedLimits(spec)
		if err := d.ApplyTeam(ctx, spec); err != nil {
			return err
		}
	}
	return nil
}

// setEngineProperties sets the load times and the memory that services declare for
// their engines to those of the stand-ins, and their IdleWeight to that of the
// options.
func setEngineProperties(spec *teams.TeamSpec, options deploymentOptions) {
	const bytesPerMB = 1 << 20
	for i := range spec.Services {
		svc := &spec.Services[i]
		if svc.Engine == nil {
			continue
		}
		svc.IdleWeight = options.idleWeight
		svc.Engine.StoreSeconds, svc.Engine.DiskSeconds, svc.Engine.MemorySeconds = loadTime.Seconds(), loadTime.Seconds(), loadTime.Seconds()
		if options.engineMemoryMB > 0 {
			svc.Engine.MemoryBytes = int64(options.engineMemoryMB) * bytesPerMB
		}
	}
}

// raiseAllowedLimits raises the limits against which loaded replicas are checked.
func (d *deployment) raiseAllowedLimits(spec *teams.TeamSpec) {
	for _, svc := range spec.Services {
		for _, m := range svc.Models {
			d.replicas.raiseLimit(teams.TargetModel(fleet.ReplicaKey{Model: m.Name, Version: m.Version}), m.MaxReplicas)
		}
	}
}

// setReplicaLimit changes one model's limit and waits until it is in force on all
// running nodes, so that the next call is subject to it, whichever node
// receives it.
func (d *deployment) setReplicaLimit(ctx context.Context, model string, limit int) error {
	for _, team := range d.teams {
		for i := range team.Services {
			for j := range team.Services[i].Models {
				m := &team.Services[i].Models[j]
				if m.Name != model {
					continue
				}
				m.MaxReplicas = limit
				d.raiseAllowedLimits(team)
				if err := localcluster.WaitUntil(ctx, func() error { return d.ApplyTeam(ctx, team) }); err != nil {
					return err
				}
				return d.awaitReplicaLimit(ctx, team.Services[i].Name, m, limit)
			}
		}
	}
	return fmt.Errorf("model %q does not exist", model)
}

func (d *deployment) awaitReplicaLimit(ctx context.Context, service fleet.Service, m *teams.ModelSpec, limit int) error {
	name := teams.TargetModel(fleet.ReplicaKey{Model: m.Name, Version: m.Version})
	return localcluster.WaitUntil(ctx, func() error {
		for _, n := range d.Nodes() {
			if have := n.Table().Model(string(service), name); have == nil || have.Replicas.Max != limit {
				return fmt.Errorf("node %s does not have the limit %d of %s in force", n.ID(), limit, name)
			}
		}
		return nil
	})
}
