package bench

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/config"
	"almondturn/pkg/standin/engine"
	"almondturn/pkg/standin/site"
	"almondturn/pkg/standin/weights"
	"almondturn/pkg/target"
	"almondturn/pkg/trial"
)

// setup is what is loaded: a deployment elsewhere, or a trial.
type setup struct {
	urls   []string
	models []string
	direct string
	trial  *trial.Trial
	begun  atomic.Int64
}

const (
	startTimeout = 30 * time.Second
	// modelBytes is small enough that all models of a trial fit one engine.
	modelBytes = 1 << 20
	// directTarget is the engine that direct requests go to. It belongs to
	// no deployment.
	directTarget = "engine-direct"
	queueLimit   = 100000
	// idleWeight keeps loaded models loaded during a run.
	idleWeight = 1e-3
)

// Record implements engine.Recorder: it counts loads.
func (s *setup) Record(r engine.Record) {
	if r.Kind == engine.RecordLoad {
		s.begun.Add(1)
	}
}

func (s *setup) loads() int { return int(s.begun.Load()) }

func (s *setup) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_ = s.trial.Stop(ctx)
}

// startTrial starts a deployment whose models all fit, and an engine of its
// own for the direct way with the first model loaded.
func startTrial(ctx context.Context, a *Args) (*setup, error) {
	s := &setup{}
	zones := make([]fleet.Zone, a.Zones)
	for i := range zones {
		zones[i] = fleet.Zone(fmt.Sprintf("zone-%d", i+1))
	}
	t, err := trial.Start(ctx, trial.Options{
		Site: site.Options{
			Zones:          zones,
			EnginesPerZone: a.Engines,
			Engine:         func(id fleet.TargetID, _ fleet.Zone, _ int) engine.Options { return engineOptions(a, id) },
			Store:          weights.Options{LoadsPerSecond: 1000, FullSpeedLoads: 1000},
			Recorder:       s,
		},
		NodesPerZone: a.Nodes,
		Configure: func(c *config.Config) {
			c.Log.Level = "error"
			c.Deployment.IdleWeight = idleWeight
			c.Deployment.StoreLoadsPerSecond = 1000
			c.Deployment.StoreFullSpeedLoads = 1000
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

func engineOptions(a *Args, id fleet.TargetID) engine.Options {
	o := engine.DefaultOptions(id)
	o.MaxRunning = a.MaxRunning
	o.QueueLimit = queueLimit
	o.Prefill, o.TokenInterval = a.Prefill, a.TokenInterval
	o.LoadRemote, o.LoadDisk, o.LoadMemory = a.LoadTime, a.LoadTime, a.LoadTime
	return o
}

func (s *setup) prepare(ctx context.Context, a *Args) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	team := trialTeam(a)
	for _, m := range team.Services[0].Models {
		s.models = append(s.models, m.Name+"@"+m.Version)
	}
	if err := trial.Wait(ctx, func() error { return s.trial.Nodes()[0].ApplyTeam(ctx, team) }); err != nil {
		return err
	}
	if err := s.trial.AwaitServing(ctx, 1); err != nil {
		return err
	}
	for _, n := range s.trial.Nodes() {
		s.urls = append(s.urls, "http://"+n.CallersAddr())
	}
	return s.startDirect(ctx, a)
}

func trialTeam(a *Args) *catalog.TeamSpec {
	svc := catalog.ServiceSpec{Name: fleet.Service(a.Service), Kind: fleet.TargetEngine, Share: 1}
	for i := range a.Models {
		svc.Models = append(svc.Models, catalog.ModelSpec{Name: fmt.Sprintf("m%d", i+1), Version: "1", MemoryBytes: modelBytes, MaxReplicas: a.Replicas})
	}
	return &catalog.TeamSpec{
		Team:           "bench",
		OperatorTokens: []string{catalog.HashKey(examples.DevRootToken)},
		Callers:        []catalog.CallerSpec{{Name: "bench", KeyHash: catalog.HashKey(a.Key), Service: svc.Name}},
		Services:       []catalog.ServiceSpec{svc},
	}
}

// warm sends one request per model and way in, so that all are loaded, for
// the shapes that measure loaded models.
func (s *setup) warm(ctx context.Context, a *Args) error {
	if a.Shape != ShapeSteady && a.Shape != ShapeOverload {
		return nil
	}
	c := newClient(a, s.urls, "")
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

// startDirect starts the engine for the direct way.
func (s *setup) startDirect(ctx context.Context, a *Args) error {
	o := engineOptions(a, directTarget)
	o.LoadRemote = time.Millisecond
	url, e, err := s.trial.Site.AddEngine(o)
	if err != nil {
		return err
	}
	key, err := fleet.ParseReplicaKey(a.Service + "/" + s.models[0])
	if err != nil {
		return err
	}
	orders := target.NewOrders(target.DefaultOrderOptions())
	defer orders.Close()
	order := target.Order{ID: "bench", Kind: target.OrderLoad, Key: key, MemoryBytes: modelBytes, Epoch: 1, Sequence: 1, Incarnation: e.State().Incarnation}
	if _, err := orders.Order(ctx, fleet.Target{ID: directTarget, Addr: url}, order); err != nil {
		return err
	}
	s.direct = "http://" + url
	return nil
}
