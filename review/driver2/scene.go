package main

import (
	"net/http"
	"sync"
	"time"
)

// scene is a small deployment with one node in each of three zones, and the requesters of the
// first zone.
type scene struct {
	rec     *record
	store   *store
	cluster *cluster
	// begun is when the first request was sent.
	begun time.Time
	wait  sync.WaitGroup

	mu           sync.Mutex // guards the fields below
	sent, served int
}

// newScene starts a store with a configuration. No node is started yet.
func newScene(rec *record, dir string, config map[string]any) (*scene, error) {
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	st.set("op/config", config)
	c := &cluster{rec: rec, dir: dir, binary: "target/almondturn", storeAddr: st.addr(), zones: []string{"zone-a", "zone-b", "zone-c"}}
	go c.stopOnSignal()
	return &scene{rec: rec, store: st, cluster: c}, nil
}

// startNodes starts the nodes, and waits until they are ready and the zones have owners.
func (s *scene) startNodes() error {
	for _, z := range s.cluster.zones {
		if err := s.cluster.add("front-"+z+"-1", z); err != nil {
			return err
		}
	}
	for _, n := range s.cluster.nodes {
		if err := s.cluster.start(n); err != nil {
			return err
		}
	}
	if err := s.cluster.awaitReady(15 * time.Second); err != nil {
		return err
	}
	go s.cluster.keepAsking()
	time.Sleep(5 * time.Second)
	s.begun = time.Now()
	return nil
}

// at waits until a time after the first request.
func (s *scene) at(seconds float64) {
	time.Sleep(time.Until(s.begun.Add(time.Duration(seconds * float64(time.Second)))))
}

// send sends a request for a stream with a model, or a model and an adapter, to the first node.
func (s *scene) send(id, path, model string, deadline time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	s.wait.Go(func() {
		s.rec.log("requester sends %s for %s to %s", id, model, path)
		conn, err := dialNode(s.cluster.nodes[0].front)
		if err != nil {
			s.rec.log("%s: %v", id, err)
			return
		}
		defer func() { _ = conn.Close() }()
		a := conn.send(request{
			method: http.MethodPost, path: path, id: id, body: "prompt", deadline: deadline,
			header: map[string]string{"X-Almondturn-Model": model, "X-Almondturn-Token-Count": "200,100", "X-Almondturn-Prompt-Prefix": "aa:100," + id + ":100"},
		})
		s.rec.log("%s is answered %d, complete: %v", id, a.status, a.err == nil)
		s.mu.Lock()
		defer s.mu.Unlock()
		if a.status == http.StatusOK && a.err == nil {
			s.served++
		}
	})
}

// streamRoute returns a route for streams, as the sheet of the site has them.
func streamRoute(name, path string, timeoutMS, objectiveMS, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "path_prefix": path, "kind": "stream", "timeout_ms": timeoutMS, "slo_ms": objectiveMS, "gap_aim_ms": 300,
		"priority": priority, "service": "listing-helper", "max_attempts": 1, "can_resume": false, "sticky": true,
	}
}

// modelConfig returns a configuration with routes to one model service, whose models have the
// given names.
func modelConfig(routes []map[string]any, names ...string) map[string]any {
	models := []map[string]any{}
	for _, name := range names {
		models = append(models, map[string]any{"name": name, "weights_mb": modelMB, "load_time_s": 6, "disk_s": 0.84, "warm_s": 0.4, "adapters": 28, "adapter_mb": 66})
	}
	return map[string]any{
		"version": 1,
		"routes":  routes,
		"services": []map[string]any{{
			"name": "listing-helper", "health_path": "/health", "engine": map[string]any{
				"slots": 32, "kv_capacity": 118947, "weights_mb": weightsMB, "lora_slots": adapterPlaces, "loads_per_s": 6.8, "models": models,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	}
}
