package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which a worker writes its entry.
	heartbeat = 1200 * time.Millisecond
	// reportLag is the age of what a report says.
	reportLag = 200 * time.Millisecond
	// eventInterval is the time between two events of a stream.
	eventInterval = 100 * time.Millisecond
	// adapterLoadTime is how long an adapter is on its way.
	adapterLoadTime = 8 * time.Millisecond
)

// adapter is an adapter that an engine holds.
type adapter struct {
	readyAt time.Time
	// runs is the number of requests that use it.
	runs int
	// leaving is true if it is dropped when its last run has ended.
	leaving bool
}

// engine is a stand-in of a worker of a model service, which holds one model and adapters.
type engine struct {
	id, service, zone, model string
	slots, adapterSlots      int
	// late returns how late an order that gets no answer is carried out, 0 for one that is
	// answered at once.
	late func(operation, adapter string) time.Duration

	rec      *record
	store    *store
	born     int64
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex // guards all below
	adapters   map[string]*adapter
	seq        uint64
	running    int
	crashed    bool
	history    []engineState
	orders     int
	unanswered int
}

// engineState is what an engine says of itself at a time.
type engineState struct {
	at     time.Time
	report map[string]any
}

// startEngine starts an engine on a free loopback port and registers it.
func startEngine(rec *record, st *store, e *engine) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for a worker: %w", err)
	}
	e.rec, e.store, e.listener = rec, st, l
	e.born = time.Now().UnixMilli()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }() // returns after Close
	go e.run()
	e.register()
	return nil
}

// run notes the state for later reports and writes the entry now and then.
func (e *engine) run() {
	registered := time.Now()
	for {
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		if e.crashed {
			e.mu.Unlock()
			return
		}
		e.history = append(e.history, engineState{time.Now(), e.state()})
		for len(e.history) > 1 && time.Since(e.history[1].at) > reportLag {
			e.history = e.history[1:]
		}
		e.mu.Unlock()
		if time.Since(registered) >= heartbeat {
			registered = time.Now()
			e.register()
		}
	}
}

// state returns what a report says. e.mu must be held.
func (e *engine) state() map[string]any {
	loaded, coming := []string{}, []string{}
	for name, a := range e.adapters {
		if time.Now().Before(a.readyAt) {
			coming = append(coming, e.model+"/"+name+"@1")
		} else {
			loaded = append(loaded, name)
		}
	}
	sort.Strings(loaded)
	return map[string]any{
		"stage": "unified", "models": []map[string]any{{"name": e.model, "version": 1, "adapters": loaded}}, "coming": coming,
		"active": false, "seq": e.seq, "queued": 0, "in_flight": e.running, "kv_used": 0, "kv_total": 100000, "handles": 0, "born": e.born,
		"at_hand": map[string]any{"in_memory": []string{e.model}, "on_disk": []string{e.model}},
	}
}

// register writes the entry of the worker.
func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	entry := e.state()
	delete(entry, "active")
	for name, v := range map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "cold_left_ms": 0,
	} {
		entry[name] = v
	}
	e.store.set("servers/"+e.id, entry)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Almondturn-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Almondturn-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		e.mu.Lock()
		report := e.state()
		if len(e.history) > 0 {
			report = e.history[0].report
		}
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
		e.rec.log("worker %s reports %v", e.id, report)
	case "/api/order":
		e.order(w, r)
	default:
		e.stream(w, r)
	}
}

// stream runs a request of a stream: its path ends with the number of events.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Almondturn-Request-Id")
	model, name, _ := strings.Cut(r.Header.Get("X-Almondturn-Model"), "/")
	h := w.Header()
	h.Set("X-Almondturn-Request-Id", id)
	e.mu.Lock()
	a := e.adapters[name]
	usable := model == e.model && (name == "" || a != nil && !time.Now().Before(a.readyAt))
	if !usable || a != nil && a.leaving {
		e.mu.Unlock()
		status := http.StatusMisdirectedRequest
		if usable {
			status = http.StatusServiceUnavailable // the order to unload it concerns the request
		}
		e.rec.log("worker %s does not run %s for %s/%s: %d", e.id, id, model, name, status)
		h.Set("X-Almondturn-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	if a != nil {
		a.runs++
	}
	e.running++
	h.Set("X-Almondturn-Instance-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	e.mu.Unlock()
	e.rec.log("worker %s runs %s with %s/%s", e.id, id, model, name)
	defer e.ended(id, name, a)
	h.Set("X-Almondturn-Server-Stamp", "stamp-"+e.id+"-"+id)
	h.Set("Content-Type", "text/event-stream")
	count, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	for i := 1; i <= count; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// ended ends a run of a request.
func (e *engine) ended(id, name string, a *adapter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	dropped := ""
	if a != nil {
		if a.runs--; a.runs == 0 && a.leaving {
			delete(e.adapters, name)
			dropped = ", and " + name + " is dropped, as was ordered"
		}
	}
	e.rec.log("worker %s: run of %s ends%s", e.id, id, dropped)
}

// engineOrder is the body of an order.
type engineOrder struct {
	Operation    string  `json:"operation"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter"`
	Holder       string  `json:"holder"`
	Expected     *uint64 `json:"expected"`
	FencingToken uint64  `json:"fencing_token"`
}

// String returns the order as the record has it.
func (o engineOrder) String() string {
	expected := "none"
	if o.Expected != nil {
		expected = strconv.FormatUint(*o.Expected, 10)
	}
	return fmt.Sprintf("%s %s/%s, expected %s", o.Operation, o.Model, o.Adapter, expected)
}

// order answers an order, or leaves it unanswered and carries it out late.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o engineOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.orders++
	lateness := time.Duration(0)
	if e.late != nil {
		lateness = e.late(o.Operation, o.Adapter)
	}
	if lateness > 0 {
		e.unanswered++
	}
	e.mu.Unlock()
	if lateness > 0 {
		e.rec.log("worker %s leaves an order unanswered: %v; it is carried out %v later", e.id, o, lateness)
		time.AfterFunc(lateness, func() {
			e.rec.log("worker %s carries the late order out: %v: %d", e.id, o, e.carryOut(o))
			e.register()
		})
		<-r.Context().Done()
		return
	}
	status := e.carryOut(o)
	e.rec.log("worker %s gets an order: %v: %d", e.id, o, status)
	w.WriteHeader(status)
	e.register()
}

// carryOut carries out an order and returns the status of its answer.
func (e *engine) carryOut(o engineOrder) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Expected != nil && *o.Expected != e.seq {
		return http.StatusConflict
	}
	if o.Model != e.model || o.Adapter == "" {
		return http.StatusConflict // no case here orders models
	}
	a := e.adapters[o.Adapter]
	switch {
	case o.Operation == "load" && a != nil && !a.leaving, o.Operation == "unload" && a == nil:
		return http.StatusOK // it already holds
	case o.Operation == "load":
		e.seq++
		e.adapters[o.Adapter] = &adapter{readyAt: time.Now().Add(adapterLoadTime)}
		if len(e.adapters) > e.adapterSlots {
			e.crashed = true
			e.rec.log("worker %s is ordered to hold %d adapters in %d places, and crashes", e.id, len(e.adapters), e.adapterSlots)
			go func() { _ = e.server.Close() }()
		}
		return http.StatusAccepted
	case a.runs == 0:
		e.seq++
		delete(e.adapters, o.Adapter)
		return http.StatusOK
	default:
		e.seq++
		a.leaving = true
		return http.StatusAccepted
	}
}
