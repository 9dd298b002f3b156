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

// systemUnderTest is what the load is sent to: an existing deployment, or a local
// cluster in this process.
type systemUnderTest struct {
	urls      []string              // callers' listeners of the nodes
	models    []string              // model fields of requests
	directURL string                // target that is measured directly; may be empty
	cluster   *localcluster.Cluster // nil for an existing deployment
	// directEngine is the target at directURL with a local cluster.
	directEngine *standin.Engine
	// loadCounter counts the model loads in the engines of the local cluster.
	loadCounter atomic.Int64
}

const (
	// startTimeout bounds the time until the nodes of a local cluster serve
	// requests.
	startTimeout = 30 * time.Second
	// modelMB is the memory of a model in MiB, small enough that all models fit one
	// engine.
	modelMB = 1
	// engineMB is the memory for weights of an engine in MiB, thus 1 TiB.
	engineMB = 1 << 20
	// cacheTokens is the capacity of the KV cache of an engine in tokens, more than
	// the load fills.
	cacheTokens = 1 << 30
	// loadsPerSecond is the rate of loads from the weight store, more than the load
	// needs.
	loadsPerSecond = 1000
	// bytesPerMB is the number of bytes in a MiB, which the names call MB.
	bytesPerMB = 1 << 20
	// retrySlack is the number of retries per window beyond the retry ratio. It
	// is so high that under overload only the scheduler refuses requests, not
	// the retry budget.
	retrySlack = 1000
)

// loadCount returns the number of model loads so far, 0 without a local cluster.
func (s *systemUnderTest) loadCount() int { return int(s.loadCounter.Load()) }

// stop stops a local cluster. It must not be called without one.
func (s *systemUnderTest) stop() {
	if s.directEngine != nil {
		s.directEngine.Close()
	}
	s.cluster.Stop()
}

// startLocalCluster starts a local cluster whose engines have memory for all models, and
// an additional engine to measure directly, which has the first model loaded.
// The caller must stop the returned system.
func startLocalCluster(ctx context.Context, a *Args) (*systemUnderTest, error) {
	s := &systemUnderTest{}
	for i := range a.Models {
		s.models = append(s.models, fmt.Sprintf("m%d@1", i+1))
	}
	zones := make([]fleet.Zone, a.Zones)
	for i := range zones {
		zones[i] = fleet.Zone(fmt.Sprintf("zone-%d", i+1))
	}
	cluster, err := localcluster.Start(localcluster.Options{
		Zones: zones, NodesPerZone: a.Nodes, EnginesPerZone: a.Engines,
		EngineOptions: func(id string, zone fleet.Zone) standin.EngineOptions { return s.engineOptions(a, id, zone) },
		Configure: func(c *config.Config) {
			c.Log.Level = "error"
			c.Retries.Slack = retrySlack
		},
	})
	if err != nil {
		return nil, err
	}
	s.cluster = cluster
	if err := s.startServing(ctx, a); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// engineOptions returns the options of an engine of the local cluster. Loads are
// counted in loadCounter.
func (s *systemUnderTest) engineOptions(a *Args, id string, zone fleet.Zone) standin.EngineOptions {
	mb := map[string]float64{}
	for _, m := range s.models {
		mb[m] = modelMB
	}
	return standin.EngineOptions{
		ID: id, Service: a.Service, Zone: string(zone), OnDisk: s.models, ModelMB: mb, WeightsMB: engineMB,
		LoadTime: a.LoadTime, EventTime: a.TokenInterval, Events: a.Tokens, Slots: a.MaxRunning,
		OnLoadChange: func(_ *standin.Engine, _ string, loaded bool) {
			if loaded {
				s.loadCounter.Add(1)
			}
		},
	}
}

// startServing applies the settings of the only team, waits until the nodes serve
// them, and starts the engine to measure directly. It returns an error after
// startTimeout.
func (s *systemUnderTest) startServing(ctx context.Context, a *Args) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.cluster.ApplyTeam(ctx, newBenchTeam(a)); err != nil {
		return err
	}
	if err := s.cluster.AwaitServing(ctx, 1); err != nil {
		return err
	}
	for _, n := range s.cluster.Nodes() {
		s.urls = append(s.urls, "http://"+n.CallersAddr())
	}
	// The directly measured engine belongs to no deployment, so its loads don't
	// count.
	o := s.engineOptions(a, "engine-direct", "")
	o.Loaded, o.OnLoadChange = s.models[:1], nil
	s.directEngine = standin.NewEngine(o)
	s.directURL = "http://" + s.directEngine.Addr()
	return nil
}

// newBenchTeam returns the settings of a team whose service has all models of the
// local cluster, with the same load time from the weight store, from disk and from
// memory.
func newBenchTeam(a *Args) *teams.TeamSpec {
	loadSeconds := a.LoadTime.Seconds()
	svc := teams.ServiceSpec{Name: fleet.Service(a.Service), Kind: fleet.TargetEngine, Engine: &teams.EngineSpec{
		MaxRequests: a.MaxRunning, MemoryBytes: engineMB * bytesPerMB, CacheTokens: cacheTokens, LoadsPerSecond: loadsPerSecond,
		StoreSeconds: loadSeconds, DiskSeconds: loadSeconds, MemorySeconds: loadSeconds,
	}}
	for i := range a.Models {
		svc.Models = append(svc.Models, teams.ModelSpec{Name: fmt.Sprintf("m%d", i+1), Version: "1", MemoryBytes: modelMB * bytesPerMB, MaxReplicas: a.Replicas})
	}
	return &teams.TeamSpec{
		Team:           "bench",
		OperatorTokens: []string{teams.DigestKey(examples.DevRootToken)},
		Callers:        []teams.CallerSpec{{Name: "bench", KeyDigest: teams.DigestKey(a.Key), Service: svc.Name}},
		Services:       []teams.ServiceSpec{svc},
	}
}

// warmUp sends one request per model and node, so that all models are loaded
// before the measurement. It does nothing for the shapes that measure cold
// starts. It returns an error if a request fails.
func (s *systemUnderTest) warmUp(ctx context.Context, a *Args) error {
	if a.Shape != ShapeSteady && a.Shape != ShapeOverload {
		return nil
	}
	c := newClient(a, s.urls, false)
	defer c.close()
	for _, m := range s.models {
		for i := range s.urls {
			if r := c.send(ctx, arrival{model: m, urlIndex: i}); r.code != codeOK {
				return fmt.Errorf("warm-up request for model %s failed: %s", m, r.code)
			}
		}
	}
	return nil
}
