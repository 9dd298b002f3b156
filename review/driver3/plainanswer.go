package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainBody is the whole body of the answers on the safe route. It has a blank line.
const plainBody = "{\"label\": \"dance notice\"}\n\n{\"score\": 0.93}\n"

// plainWorker is a stand-in for a worker that answers with a body that is no series of events.
type plainWorker struct {
	id      string
	log     *record
	mu      sync.Mutex // guards ran
	ran     map[string]bool
	address string
}

func newPlainWorker(id, service string, engine bool, s *store, log *record) (*plainWorker, error) {
	l, err := net.Listen("tcp", network+"1:0")
	if err != nil {
		return nil, err
	}
	w := &plainWorker{id: id, log: log, ran: map[string]bool{}, address: l.Addr().String()}
	go func() { _ = http.Serve(l, w) }()
	entry := object{"service": service, "address": w.address, "zone": "za", "version": "v1", "slots": workerSlots, "state": "ready", "cold_left_ms": 0, "seq": 0, "born": time.Now().UnixMilli()}
	if engine {
		entry["models"] = []object{{"name": "mo00", "version": 1, "adapters": []string{}}}
	}
	text, err := json.Marshal(entry)
	s.put("servers/"+id, text)
	return w, err
}

// ServeHTTP implements http.Handler.
func (w *plainWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Almondturn-Expect-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/api/report" {
		out.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(out, `{"stage":"unified","models":[{"name":"mo00","version":1,"adapters":[]}],"active":false,"seq":0,"queued":0,"in_flight":0}`)
		return
	}
	id := r.Header.Get("X-Almondturn-Request-Id")
	w.mu.Lock()
	w.ran[id] = true
	w.mu.Unlock()
	out.Header().Set("X-Almondturn-Request-Id", id)
	out.Header().Set("X-Almondturn-Server-Stamp", "stamp."+w.id+"."+id)
	out.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(out, plainBody) // fails only if the node has disconnected
}

func (w *plainWorker) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id]
}

// movedConfiguration returns a configuration whose safe route leads to a service.
func movedConfiguration(version int, service string) []byte {
	text, _ := json.Marshal(object{
		"version": version,
		"routes": []object{{
			"name": "r-1", "host": "ficu95.example", "path_prefix": "/cufi504/", "kind": "safe", "timeout_ms": 2500, "slo_ms": 150, "priority": 2,
			"service": service, "max_attempts": 2, "can_resume": false,
		}},
		"services": []object{
			{
				"name": "huvo11a", "health_path": "/health", "max_conns": 250,
				"engine": object{"slots": workerSlots, "kv_capacity": 118947, "weights_mb": weightsMB, "lora_slots": 8, "loads_per_s": 6.8, "models": []object{{"name": "mo00", "weights_mb": 72700, "load_time_s": 6.0, "adapters": 0, "adapter_mb": 12.0, "warm_s": 0.4, "disk_s": 0.84}}},
			},
			{"name": "wuno96b", "health_path": "/health", "max_conns": 110},
		},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}) // maps of strings and numbers always encode
	return text
}

// plainAnswer plays a change of the configuration that moves a safe route to a service with
// models, and one that moves it back.
func plainAnswer(e *environment) (int, error) {
	s, err := newStore(network + "1:0")
	if err != nil {
		return 0, err
	}
	s.put("op/config", movedConfiguration(7, "wuno96b"))
	var workers []*plainWorker
	for i := range 2 {
		desk, err := newPlainWorker(fmt.Sprintf("i-desk-%d", i), "wuno96b", false, s, e.log)
		if err != nil {
			return 0, err
		}
		engine, err := newPlainWorker(fmt.Sprintf("i-model-%d", i), "huvo11a", true, s, e.log)
		if err != nil {
			return 0, err
		}
		workers = append(workers, desk, engine)
	}
	ports, err := freePorts()
	if err != nil {
		return 0, err
	}
	d := &deployment{root: e.root, dir: e.dir, storeAddr: s.addr(), zones: []string{"za"}, log: e.log, seeds: []string{fmt.Sprintf("%s%d:%d", network, firstNode, ports[2])}}
	n, err := d.newNode("front-za-1", "za", 0, ports)
	if err != nil {
		return 0, err
	}
	if err := n.start(e.root); err != nil {
		return 0, err
	}
	defer n.kill()
	if err := n.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	asked, whole, cut := 0, 0, 0
	play := func(length time.Duration) {
		for begun := time.Now(); time.Since(begun) < length; time.Sleep(50 * time.Millisecond) {
			q := request{id: newID(), host: "ficu95.example", path: "/cufi504/2f", method: "GET", model: "mo00", deadline: 2500 * time.Millisecond}
			a := send(n.front, q)
			ran := false
			for _, w := range workers {
				ran = ran || w.hasRun(q.id)
			}
			e.log.add("request %s: %v, has run %v", q.id, a, ran)
			asked++
			switch {
			case a.status == http.StatusOK && a.complete && a.body == plainBody:
				whole++
			case ran && !a.complete:
				cut++
			}
		}
	}
	play(5 * time.Second)
	if e.trouble {
		e.log.add("configuration 8 moves the route to the service with models")
		s.put("op/config", movedConfiguration(8, "huvo11a"))
	}
	play(3 * time.Second)
	if e.trouble {
		e.log.add("configuration 9 moves it back")
		s.put("op/config", movedConfiguration(9, "wuno96b"))
	}
	play(5 * time.Second)
	e.log.add("%d requests, %d whole answers, %d that ran and whose connection ended without a complete answer", asked, whole, cut)
	if cut > 3 {
		e.log.add("RULE LOST BROKEN")
		return broken, nil
	}
	return 0, nil
}
