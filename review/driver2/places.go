package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// placesConfig is the configuration of the case places.
func placesConfig() map[string]any {
	route := func(name, path string, timeoutMS, sloMS, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "path_prefix": path, "kind": "stream", "timeout_ms": timeoutMS, "slo_ms": sloMS, "gap_aim_ms": 300,
			"priority": priority, "service": "listing-helper", "max_attempts": 1, "can_resume": false, "sticky": true,
		}
	}
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{
			route("caller-brief", "/brief/", 20000, 2500, 1), route("notice-draft", "/draft/", 12000, 400, 1), route("season-digest", "/digest/", 3000, 1500, 0),
		},
		"services": []map[string]any{{
			"name": "listing-helper", "health_path": "/health", "engine": map[string]any{
				"slots": 32, "kv_capacity": 118947, "weights_mb": 200000, "lora_slots": 8, "loads_per_s": 6.8,
				"models": []map[string]any{{"name": "m1", "weights_mb": 72700, "load_time_s": 6, "disk_s": 0.84, "warm_s": 0.4, "adapters": 28, "adapter_mb": 66}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	}
}

// A worker holds eight adapters. Of two orders that it leaves without an answer, it carries
// out one, to unload a1, while a1 is in use, and the other, to load a11, after a12 was loaded.
const (
	adapterPlaces = 8
	unloadLate    = 2500 * time.Millisecond
	loadLate      = 3 * time.Second
)

// places is the case places.
type places struct {
	rec     *record
	trouble bool
	engine  *engine
	cluster *cluster
	begun   time.Time
	wait    sync.WaitGroup

	mu           sync.Mutex // guards the fields below
	sent, served int
}

// runPlaces lets a worker leave two orders unanswered and carry them out late, and checks that
// it is never ordered to hold more adapters than it has places.
func runPlaces(rec *record, dir string) int {
	p := &places{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	if err := p.start(dir); err != nil {
		rec.log("the case could not run: %v", err)
		p.stop()
		return couldntRun
	}
	defer p.stop()
	stopAsking := make(chan struct{})
	defer close(stopAsking)
	go p.cluster.keepAsking(stopAsking)
	time.Sleep(5 * time.Second) // the zones have owners, and these know the worker
	p.play()
	return p.judge()
}

// start starts the store, the worker and one node in each of three zones.
func (p *places) start(dir string) error {
	p.cluster = &cluster{rec: p.rec, dir: dir, binary: "target/almondturn", zones: []string{"zone-a", "zone-b", "zone-c"}}
	go p.cluster.stopOnSignal()
	st, err := startStore()
	if err != nil {
		return err
	}
	st.set("op/config", placesConfig())
	late := map[string]time.Duration{}
	if p.trouble {
		late["unload a1"], late["load a11"] = unloadLate, loadLate
	}
	p.engine = &engine{id: "i-1", service: "listing-helper", zone: "zone-a", model: "m1", slots: 32, adapterSlots: adapterPlaces, adapters: map[string]*adapter{}}
	for i := range adapterPlaces {
		p.engine.adapters[fmt.Sprint("a", i+1)] = &adapter{}
	}
	p.engine.late = func(operation, name string) time.Duration {
		d := late[operation+" "+name]
		delete(late, operation+" "+name) // each only once
		return d
	}
	if err := startEngine(p.rec, st, p.engine); err != nil {
		return err
	}
	p.cluster.storeAddr = st.addr()
	for _, z := range p.cluster.zones {
		if err := p.cluster.add("front-"+z+"-1", z); err != nil {
			return err
		}
	}
	for _, n := range p.cluster.nodes {
		if err := p.cluster.start(n); err != nil {
			return err
		}
	}
	return p.cluster.awaitReady(15 * time.Second)
}

// stop ends all processes.
func (p *places) stop() { p.cluster.stop() }

// at waits until a time after the first request.
func (p *places) at(seconds float64) {
	time.Sleep(time.Until(p.begun.Add(time.Duration(seconds * float64(time.Second)))))
}

// send sends a request for a stream of events with an adapter on a route.
func (p *places) send(id, route, adapter string, events int, deadline time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	p.wait.Go(func() {
		p.rec.log("requester sends %s for m1/%s on %s", id, adapter, route)
		conn, err := dialNode(p.cluster.nodes[0].front)
		if err != nil {
			p.rec.log("%s: %v", id, err)
			return
		}
		defer func() { _ = conn.Close() }()
		a := conn.send(request{
			method: http.MethodPost, path: fmt.Sprintf("/%s/%d", route, events), id: id, body: "prompt", deadline: deadline,
			header: map[string]string{"X-Almondturn-Model": "m1/" + adapter, "X-Almondturn-Token-Count": "200,100", "X-Almondturn-Prompt-Prefix": "aa:100," + id + ":100"},
		})
		p.rec.log("%s is answered %d, complete: %v", id, a.status, a.err == nil)
		p.mu.Lock()
		defer p.mu.Unlock()
		if a.status == http.StatusOK && a.err == nil {
			p.served++
		}
	})
}

// play sends the requests.
func (p *places) play() {
	p.begun = time.Now()
	// Seven adapters are in use, a1 is not.
	p.send("f002", "brief", "a2", 40, 20*time.Second)
	for i := 3; i <= adapterPlaces; i++ {
		p.send(fmt.Sprintf("f%03d", i), "brief", fmt.Sprint("a", i), 110, 20*time.Second)
	}
	p.at(0.5) // a9 needs a place: the order to unload a1 gets no answer
	p.send("f009", "digest", "a9", 5, 3*time.Second)
	p.at(0.8) // a1 is asked for, and in use when that order is carried out
	p.send("f001", "brief", "a1", 62, 20*time.Second)
	p.at(4.6) // the run with a2 has ended, and a10 needs a place
	p.send("f010", "brief", "a10", 60, 20*time.Second)
	p.at(7.6) // the run with a1 has ended, and a11 needs a place, with 1.1 s left of its time
	p.send("f011", "digest", "a11", 5, 1100*time.Millisecond)
	p.at(8.0) // a12 needs a place
	p.send("f012", "digest", "a12", 20, 3*time.Second)
	p.wait.Wait()
	p.at(12)
}

// judge returns the exit code.
func (p *places) judge() int {
	e := p.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	p.rec.log("%d of %d requests were served whole; %d of %d orders were left unanswered", p.served, p.sent, e.unanswered, e.orders)
	if e.crashed {
		p.rec.log("LIMIT is broken: the worker was ordered to hold %d adapters in %d places", len(e.adapters), adapterPlaces)
		return ruleBroken
	}
	p.rec.log("LIMIT held")
	return ruleHeld
}
