package bench

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/config"
	"almondturn/pkg/localcluster"
	"almondturn/pkg/teams"
	"almondturn/platform/standin"
)

// setup is what is loaded: a deployment elsewhere, or a trial.
type setup struct {
	urls   []string
	models []string
	direct string
	trial  *localcluster.Cluster
	// engine is the target of the direct way in a trial.
	engine *standin.Engine
	begun  atomic.Int64
}

const (
	startTimeout = 30 * time.Second
	// modelMB is small enough that all models of a trial fit one engine.
	modelMB = 1
	// engineMB is the memory of an engine of a trial.
	engineMB = 1 << 20
	// cacheTokens is more than any trial fills.
	cacheTokens = 1 << 30
	// loadsPerSecond is more than any trial asks for.
	loadsPerSecond = 1000
	// bytesPerMB turns MB into bytes.
	bytesPerMB = 1 << 20
	// retrySlack lets overload be refused by the scheduler alone.
	retrySlack = 1000
)

func (s *setup) loads() int { return int(s.begun.Load()) }

func (s *setup) stop() {
	if s.engine != nil {
		s.engine.Close()
	}
	s.trial.Stop()
}

// startTrial starts a deployment whose models all fit, and an engine of its
// own for the direct way with the first model loaded.
func startTrial(ctx context.Context, a *Args) (*setup, error) {
	s := &setup{}
	for i := range a.Models {
		s.models = append(s.models, fmt.Sprintf("m%d@1", i+1))
	}
	zones := make([]fleet.Zone, a.Zones)
	for i := range zones {
		zones[i] = fleet.Zone(fmt.Sprintf("zone-%d", i+1))
	}
	t, err := localcluster.Start(localcluster.Options{
		Zones: zones, NodesPerZone: a.Nodes, EnginesPerZone: a.Engines,
		Engine: func(id string, zone fleet.Zone) standin.EngineOptions { return s.engineOptions(a, id, zone) },
		Configure: func(c *config.Config) {
			c.Log.Level = "error"
			c.Retries.Slack = retrySlack
		},
	})
	if err != nil {
		return nil, err
	}
	s.trial = t
	if err := s.prepare(ctx, a); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *setup) engineOptions(a *Args, id string, zone fleet.Zone) standin.EngineOptions {
	mb := map[string]float64{}
	for _, m := range s.models {
		mb[m] = modelMB
	}
	return standin.EngineOptions{
		ID: id, Service: a.Service, Zone: string(zone), OnDisk: s.models, MB: mb, WeightsMB: engineMB,
		LoadTime: a.LoadTime, EventTime: a.TokenInterval, Events: a.Tokens, Slots: a.MaxRunning,
		OnLoadChange: func(_ *standin.Engine, _ string, loaded bool) {
			if loaded {
				s.begun.Add(1)
			}
		},
	}
}

func (s *setup) prepare(ctx context.Context, a *Args) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.trial.ApplyTeam(ctx, trialTeam(a)); err != nil {
		return err
	}
	if err := s.trial.AwaitServing(ctx, 1); err != nil {
		return err
	}
	for _, n := range s.trial.Nodes() {
		s.urls = append(s.urls, "http://"+n.CallersAddr())
	}
	// The engine for the direct way belongs to no deployment.
	o := s.engineOptions(a, "engine-direct", "")
	o.Loaded, o.OnLoadChange = s.models[:1], nil
	s.engine = standin.NewEngine(o)
	s.direct = "http://" + s.engine.Addr()
	return nil
}

func trialTeam(a *Args) *teams.TeamSpec {
	load := a.LoadTime.Seconds()
	svc := teams.ServiceSpec{Name: fleet.Service(a.Service), Kind: fleet.TargetEngine, Engine: &teams.EngineSpec{
		Requests: a.MaxRunning, MemoryBytes: engineMB * bytesPerMB, CacheTokens: cacheTokens, LoadsPerSecond: loadsPerSecond,
		StoreSeconds: load, DiskSeconds: load, MemorySeconds: load,
	}}
	for i := range a.Models {
		svc.Models = append(svc.Models, teams.ModelSpec{Name: fmt.Sprintf("m%d", i+1), Version: "1", MemoryBytes: modelMB * bytesPerMB, MaxReplicas: a.Replicas})
	}
	return &teams.TeamSpec{
		Team:           "bench",
		OperatorTokens: []string{teams.HashKey(examples.DevRootToken)},
		Callers:        []teams.CallerSpec{{Name: "bench", KeyHash: teams.HashKey(a.Key), Service: svc.Name}},
		Services:       []teams.ServiceSpec{svc},
	}
}

// warm sends one request per model and way in, so that all are loaded, for
// the shapes that measure loaded models.
func (s *setup) warm(ctx context.Context, a *Args) error {
	if a.Shape != ShapeSteady && a.Shape != ShapeOverload {
		return nil
	}
	c := newClient(a, s.urls, false)
	defer c.close()
	for _, m := range s.models {
		for i := range s.urls {
			if r := c.one(ctx, arrival{model: m, node: i}); r.code != codeOK {
				return fmt.Errorf("model %s did not answer: %s", m, r.code)
			}
		}
	}
	return nil
}
