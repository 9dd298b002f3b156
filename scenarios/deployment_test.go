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

// limitForAll bounds every wait of a scenario. Nothing is judged by it but
// that it comes to an end.
const limitForAll = 60 * time.Second

// loadTime is how long an engine takes to load a model.
const loadTime = 150 * time.Millisecond

// shape is the size of a scenario's deployment.
type shape struct {
	zones, nodes, engines, plains int
	// idleWeight is the price of idle time in the service of models.
	idleWeight float64
	// memoryMB is each engine's memory, in MB.
	memoryMB int
}

// deployment is the system under test with the logs that judge it.
type deployment struct {
	*localcluster.Cluster
	callers  *callers
	replicas *replicas
	teams    []*teams.TeamSpec
}

var zoneNames = []fleet.Zone{"hobart", "kingston", "sorell"}

func deploy(s shape) (*deployment, error) {
	d := &deployment{replicas: newReplicas()}
	t, err := localcluster.Start(localcluster.Options{
		Zones: zoneNames[:s.zones], NodesPerZone: s.nodes, EnginesPerZone: s.engines, PlainTargetsPerZone: s.plains,
		EngineOptions: func(id string, zone fleet.Zone) standin.EngineOptions { return engineOptions(id, zone, s, d.replicas) },
		Proxies:       true,
		Configure: func(c *config.Config) {
			c.Log.Level = cmp.Or(os.Getenv("SCENARIO_LOG"), "error")
		},
		Log: os.Stderr,
	})
	if err != nil {
		return nil, err
	}
	d.Cluster = t
	d.callers = newCallers(func(id fleet.NodeID) string {
		if n := t.Node(id); n != nil {
			return n.CallersAddr()
		}
		return ""
	})
	return d, nil
}

func engineOptions(id string, zone fleet.Zone, s shape, r *replicas) standin.EngineOptions {
	o := localcluster.DefaultEngine(id, zone)
	o.LoadTime, o.EventTime, o.OnLoadChange = loadTime, 10*time.Millisecond, r.observe
	if s.memoryMB > 0 {
		o.WeightsMB = float64(s.memoryMB)
	}
	return o
}

// applyExamples puts the example teams in force, with engines as the shape
// says.
func (d *deployment) applyExamples(ctx context.Context, s shape) error {
	if err := d.applyTeams(ctx, s); err != nil {
		return err
	}
	return d.AwaitServing(ctx, len(d.teams))
}

// applyTeams has the example teams accepted.
func (d *deployment) applyTeams(ctx context.Context, s shape) error {
	files, err := examples.Dev()
	if err != nil {
		return err
	}
	for _, f := range files {
		spec, err := teams.ParseTeam(f.Name, f.Data)
		if err != nil {
			return err
		}
		adopt(spec, s)
		d.teams = append(d.teams, spec)
		d.noteLimits(spec)
		if err := d.ApplyTeam(ctx, spec); err != nil {
			return err
		}
	}
	return nil
}

// adopt sets what a service says of its engines to what they are.
func adopt(spec *teams.TeamSpec, s shape) {
	const bytesPerMB = 1 << 20
	for i := range spec.Services {
		svc := &spec.Services[i]
		if svc.Engine == nil {
			continue
		}
		svc.IdleWeight = s.idleWeight
		svc.Engine.StoreSeconds, svc.Engine.DiskSeconds, svc.Engine.MemorySeconds = loadTime.Seconds(), loadTime.Seconds(), loadTime.Seconds()
		if s.memoryMB > 0 {
			svc.Engine.MemoryBytes = int64(s.memoryMB) * bytesPerMB
		}
	}
}

// noteLimits raises the limits that the judge allows.
func (d *deployment) noteLimits(spec *teams.TeamSpec) {
	for _, svc := range spec.Services {
		for _, m := range svc.Models {
			d.replicas.allow(teams.TargetModel(fleet.ReplicaKey{Model: m.Name, Version: m.Version}), m.MaxReplicas)
		}
	}
}

// setLimit changes one model's limit and waits until it is in force on all
// running nodes, so that a call that follows is judged by it wherever it goes.
func (d *deployment) setLimit(ctx context.Context, model string, limit int) error {
	for _, team := range d.teams {
		for i := range team.Services {
			for j := range team.Services[i].Models {
				m := &team.Services[i].Models[j]
				if m.Name != model {
					continue
				}
				m.MaxReplicas = limit
				d.noteLimits(team)
				if err := localcluster.WaitUntil(ctx, func() error { return d.ApplyTeam(ctx, team) }); err != nil {
					return err
				}
				return d.awaitLimit(ctx, team.Services[i].Name, m, limit)
			}
		}
	}
	return fmt.Errorf("model %q does not exist", model)
}

func (d *deployment) awaitLimit(ctx context.Context, service fleet.Service, m *teams.ModelSpec, limit int) error {
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
