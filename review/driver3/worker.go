package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// modelSpec is a model as the configuration declares it.
type modelSpec struct {
	name string
	mb   float64
}

// Times and sizes of the stand-ins, as in the sheet of tdr-hobart.
const (
	heartbeat   = 1200 * time.Millisecond
	diskLoad    = 840 * time.Millisecond
	storeLoad   = 6 * time.Second
	unloadTime  = 20 * time.Millisecond
	eventTime   = 20 * time.Millisecond
	weightsMB   = 200_000
	workerSlots = 32
)

// worker is a stand-in for a model worker, as PROTOCOL.md describes it.
type worker struct {
	id, service, zone, address string
	specs                      map[string]modelSpec
	store                      *store
	log                        *record

	mu     sync.Mutex // guards all below
	server *http.Server
	up     bool
	born   int64
	seq    uint64
	active bool
	models map[string]bool
	// overflows counts the loads beyond weightsMB, for each of which the worker crashed.
	overflows int
	// holdOrder returns for how long an order is held up and gets no answer, 0 for none.
	holdOrder func(o order) time.Duration
	// cold is true if the weights have to be loaded from the weight store.
	cold bool
	ran  map[string]bool
}

// order is the body of an order.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  uint64 `json:"expected"`
	Holder    string `json:"holder"`
	Token     uint64 `json:"fencing_token"`
}

func newWorker(id, service, zone, address string, specs []modelSpec, loaded []string, s *store, log *record) (*worker, error) {
	w := &worker{id: id, service: service, zone: zone, address: address, specs: map[string]modelSpec{}, store: s, log: log, ran: map[string]bool{}}
	for _, m := range specs {
		w.specs[m.name] = m
	}
	if err := w.start(loaded); err != nil {
		return nil, err
	}
	go func() {
		for range time.Tick(heartbeat) {
			w.register()
		}
	}()
	return w, nil
}

// start begins an incarnation with the models loaded.
func (w *worker) start(loaded []string) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.up, w.born, w.seq, w.active, w.models = true, time.Now().UnixMilli(), 0, false, map[string]bool{}
	for _, m := range loaded {
		w.models[m] = true
	}
	server := &http.Server{Handler: w}
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.register()
	return nil
}

// crash ends the incarnation: its connections are closed, and nothing is said to the store.
func (w *worker) crash() {
	w.mu.Lock()
	server := w.server
	w.up, w.models = false, map[string]bool{}
	w.mu.Unlock()
	_ = server.Close()
	w.log.add("worker %s crashes", w.id)
}

// register writes the worker's entry.
func (w *worker) register() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	entry := w.state()
	entry["service"], entry["address"], entry["zone"], entry["version"] = w.service, w.address, w.zone, "v1"
	entry["slots"], entry["state"], entry["cold_left_ms"] = workerSlots, "ready", 0
	w.mu.Unlock()
	text, err := json.Marshal(entry)
	if err == nil {
		w.store.put("servers/"+w.id, text)
	}
}

// state returns what entries and reports share. mu must be held.
func (w *worker) state() object {
	models := []object{}
	for _, m := range slices.Sorted(maps.Keys(w.models)) {
		models = append(models, object{"name": m, "version": 1, "adapters": []string{}})
	}
	disk := []string{}
	if !w.cold {
		disk = slices.Sorted(maps.Keys(w.specs))
	}
	return object{"stage": "unified", "born": w.born, "models": models, "seq": w.seq, "at_hand": object{"in_memory": []string{}, "on_disk": disk}}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Almondturn-Expect-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/order":
		w.serveOrder(out, r)
	case "/api/report":
		w.mu.Lock()
		report := w.state()
		report["active"], report["queued"], report["in_flight"] = w.active, 0, 0
		w.mu.Unlock()
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(report) // fails only if the node has disconnected
	default:
		w.serveRequest(out, r)
	}
}

func (w *worker) serveOrder(out http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	hold := time.Duration(0)
	if w.holdOrder != nil {
		hold = w.holdOrder(o)
	}
	w.mu.Unlock()
	if hold > 0 {
		w.log.add("order %s %s of %s (expected %d, generation %d) gets no answer, will arrive in %v", o.Operation, o.Model, o.Holder, o.Expected, o.Token, hold)
		time.AfterFunc(hold, func() { w.log.add("the late order has arrived, worker %s answers %d", w.id, w.execute(o)) })
		panic(http.ErrAbortHandler)
	}
	status := w.execute(o)
	w.log.add("order %s %s of %s (expected %d, generation %d) at worker %s: %d", o.Operation, o.Model, o.Holder, o.Expected, o.Token, w.id, status)
	out.WriteHeader(status)
}

// execute carries out an order and returns the status of its answer.
func (w *worker) execute(o order) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.up:
		return 0
	case w.active || o.Expected != w.seq:
		return http.StatusConflict
	case w.specs[o.Model].name == "" || o.Adapter != "":
		return http.StatusBadRequest
	case w.models[o.Model] == (o.Operation == "load"):
		return http.StatusOK
	}
	w.seq++
	w.active = true
	born, duration := w.born, unloadTime
	if o.Operation == "load" {
		duration = diskLoad
		if w.cold {
			duration = storeLoad
		}
		used := w.specs[o.Model].mb
		for m := range w.models {
			used += w.specs[m].mb
		}
		if used > weightsMB {
			w.overflows++
			w.log.add("RULE LIMIT BROKEN: worker %s holds %v and is ordered to load %s: %.0f MB of %d", w.id, slices.Sorted(maps.Keys(w.models)), o.Model, used, weightsMB)
			go w.crash()
		}
	} else {
		delete(w.models, o.Model)
	}
	time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born != born || !w.up {
			return
		}
		w.active = false
		if o.Operation == "load" {
			w.models[o.Model] = true
		}
	})
	return http.StatusAccepted
}

// events is the number of events of a stream.
const events = 5

func (w *worker) serveRequest(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Almondturn-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body) // an incomplete body is treated as a short one
	model, _, _ := strings.Cut(r.Header.Get("X-Almondturn-Model"), "/")
	out.Header().Set("X-Almondturn-Request-Id", id)
	w.mu.Lock()
	loaded := w.models[model]
	if loaded {
		w.ran[id] = true
	}
	w.mu.Unlock()
	if !loaded {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	out.Header().Set("X-Almondturn-Server-Stamp", "stamp."+w.id+"."+id)
	out.Header().Set("Content-Type", "text/event-stream")
	for i := range events {
		if !sleep(r.Context(), eventTime) {
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d\n\n", i+1, i+1); err != nil {
			return
		}
		_ = http.NewResponseController(out).Flush() // fails only if the node has disconnected
	}
}

// sleep returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
