package scenarios

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/config"
	"almondturn/pkg/standin/engine"
	"almondturn/pkg/standin/kv"
	"almondturn/pkg/standin/site"
	"almondturn/pkg/standin/weights"
	"almondturn/pkg/trial"
)

// limitForAll bounds every wait of a scenario. Nothing is judged by it but
// that it comes to an end.
const limitForAll = 60 * time.Second

// shape is the size of a scenario's deployment.
type shape struct {
	zones, nodes, engines, plains int
	// ignoring makes the engines ignore fencing numbers.
	ignoring bool
	// keepAlive is the idle time before an unload.
	keepAlive time.Duration
	// memory is each engine's memory.
	memory int64
}

// deployment is the system under test with the logs that judge it.
type deployment struct {
	*trial.Trial
	callers *callers
	records *recordLog
	teams   []*catalog.TeamSpec
	older   kv.Snapshot

	// limits is the highest limit in force so far of each replica key.
	limits map[fleet.ReplicaKey]int
}

// recordLog keeps what the targets did.
type recordLog struct {
	mu      sync.Mutex
	records []engine.Record
}

// Record implements engine.Recorder.
func (l *recordLog) Record(r engine.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

func (l *recordLog) all() []engine.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.records)
}

var zoneNames = []fleet.Zone{"hobart", "kingston", "sorell"}

func deploy(ctx context.Context, s shape) (*deployment, error) {
	d := &deployment{records: &recordLog{}, limits: map[fleet.ReplicaKey]int{}}
	t, err := trial.Start(ctx, trial.Options{
		Site: site.Options{
			Zones:          zoneNames[:s.zones],
			EnginesPerZone: s.engines,
			PlainPerZone:   s.plains,
			PlainService:   "bookings",
			Engine:         func(id fleet.TargetID, _ fleet.Zone, _ int) engine.Options { return engineOptions(id, s) },
			Store:          weights.Options{LoadsPerSecond: 20, FullSpeedLoads: 4},
			VMLag:          200 * time.Millisecond,
			Relays:         true,
			Recorder:       d.records,
		},
		NodesPerZone: s.nodes,
		Configure:    func(c *config.Config) { configure(c, s) },
	})
	if err != nil {
		return nil, err
	}
	d.Trial = t
	d.callers = newCallers(func(id fleet.NodeID) string {
		if n := t.Node(id); n != nil {
			return n.CallersAddr()
		}
		return ""
	})
	return d, nil
}

func engineOptions(id fleet.TargetID, s shape) engine.Options {
	o := engine.DefaultOptions(id)
	o.ChecksFencing = !s.ignoring
	o.LoadRemote, o.LoadDisk, o.LoadMemory = 300*time.Millisecond, 150*time.Millisecond, 50*time.Millisecond
	if s.memory > 0 {
		o.MemoryBytes = s.memory
	}
	return o
}

func configure(c *config.Config, s shape) {
	c.Log.Level = cmp.Or(os.Getenv("SCENARIO_LOG"), "error")
	if s.keepAlive > 0 {
		c.Owner.KeepAlive = s.keepAlive
	}
}

// applyExamples puts the example teams in force.
func (d *deployment) applyExamples(ctx context.Context) error {
	files, err := examples.Dev()
	if err != nil {
		return err
	}
	for _, f := range files {
		spec, err := catalog.ParseTeam(f.Name, f.Data)
		if err != nil {
			return err
		}
		d.teams = append(d.teams, spec)
		d.noteLimits(spec)
	}
	if err := d.Apply(ctx, files); err != nil {
		return err
	}
	return d.AwaitServing(ctx, len(files))
}

// noteLimits raises the limits that the checker allows.
func (d *deployment) noteLimits(spec *catalog.TeamSpec) {
	catalog.Build([]*catalog.TeamSpec{spec}, nil).Replicas(func(r catalog.Replica) bool {
		d.limits[r.Key] = max(d.limits[r.Key], r.MaxReplicas)
		return true
	})
}

// setLimit changes one model's limit through any running node.
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
				err := trial.Wait(ctx, func() error { return d.Nodes()[0].ApplyTeam(ctx, team) })
				if err != nil {
					return err
				}
				key := fleet.ReplicaKey{Service: team.Services[i].Name, Model: m.Name, Version: m.Version}
				return d.awaitLimit(ctx, key, limit)
			}
		}
	}
	return fmt.Errorf("model %q does not exist", model)
}

// awaitLimit returns when the limit is in force on all running nodes, so that
// a call that follows is judged by it wherever it goes.
func (d *deployment) awaitLimit(ctx context.Context, key fleet.ReplicaKey, limit int) error {
	return trial.Wait(ctx, func() error {
		for _, n := range d.Nodes() {
			if r, _ := n.Declared(key); r.MaxReplicas != limit {
				return fmt.Errorf("node %s has limit %d of %s in force, not %d", n.ID(), r.MaxReplicas, key, limit)
			}
		}
		return nil
	})
}

// loaded returns on how many engines the model is loaded, by the engines' own word.
func (d *deployment) loaded(key fleet.ReplicaKey) int {
	n := 0
	for _, e := range d.Site.Engines {
		s := e.State()
		if r, ok := s.Replica(key); ok && r.Phase == fleet.ReplicaLoaded {
			n++
		}
	}
	return n
}
