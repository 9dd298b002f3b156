package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes and times of models, as on the sheet of the site.
const (
	weightsMB    = 200_000
	modelMB      = 72_700
	diskLoadTime = 840 * time.Millisecond
)

// modelWorker is a stand-in of a worker of a model service that loads and unloads models
// without adapters, from its disk. It may crash, and starts again under the id that it had.
type modelWorker struct {
	id, service, zone string
	// onDisk names the models whose weights are on its disk.
	onDisk []string
	// late returns how late an order that gets no answer is carried out, 0 for one that is
	// answered at once.
	late func(o engineOrder) time.Duration

	rec   *record
	store *store
	addr  string

	mu     sync.Mutex // guards all below
	server *http.Server
	up     bool
	born   int64
	seq    uint64
	models []string
	// loading is the model of the order in progress, empty for none.
	loading            string
	running            int
	orders, unanswered int
	// overflow is what the worker was ordered to hold when that was too much, in MB.
	overflow int
}

// start starts the worker, on its former address if it had one.
func (w *modelWorker) start(models []string) error {
	if w.addr == "" {
		w.addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return fmt.Errorf("listen for worker %s: %w", w.id, err)
	}
	w.mu.Lock()
	w.addr = l.Addr().String()
	w.born, w.seq, w.models, w.loading, w.up = time.Now().UnixMilli(), 0, models, "", true
	server := &http.Server{Handler: w}
	w.server = server
	w.rec.log("worker %s starts, born %d, with %v", w.id, w.born, models)
	born := w.born
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }() // returns after Close
	w.register()
	go w.beat(born)
	return nil
}

// beat writes the entry until the worker ends.
func (w *modelWorker) beat(born int64) {
	for {
		time.Sleep(heartbeat)
		w.mu.Lock()
		alive := w.up && w.born == born
		w.mu.Unlock()
		if !alive {
			return
		}
		w.register()
	}
}

// crash ends the worker without a word.
func (w *modelWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.log("worker %s crashes", w.id)
	w.up = false
	_ = w.server.Close()
}

// restart crashes the worker and starts it again, empty, after downTime.
func (w *modelWorker) restart() {
	w.crash()
	time.Sleep(downTime)
	if err := w.start([]string{}); err != nil {
		w.rec.log("%v", err)
	}
}

// state returns what a report says. w.mu must be held.
func (w *modelWorker) state() map[string]any {
	models := []map[string]any{}
	for _, m := range w.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return map[string]any{
		"stage": "unified", "models": models, "coming": []string{}, "active": w.loading != "", "seq": w.seq, "queued": 0, "in_flight": w.running,
		"kv_used": 0, "kv_total": 118947, "handles": 0, "born": w.born, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": w.onDisk},
	}
}

// register writes the entry of the worker.
func (w *modelWorker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	entry := w.state()
	delete(entry, "active")
	for name, v := range map[string]any{"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 32, "state": "ready", "cold_left_ms": 0} {
		entry[name] = v
	}
	w.store.set("servers/"+w.id, entry)
}

// ServeHTTP implements http.Handler.
func (w *modelWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Almondturn-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Almondturn-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		w.mu.Lock()
		report := w.state()
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(report)
	case "/api/order":
		w.order(rw, r)
	default:
		w.stream(rw, r)
	}
}

// stream runs a request of a stream: its path ends with the number of events.
func (w *modelWorker) stream(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Almondturn-Request-Id")
	model, _, _ := strings.Cut(r.Header.Get("X-Almondturn-Model"), "/")
	rw.Header().Set("X-Almondturn-Request-Id", id)
	w.mu.Lock()
	if !slices.Contains(w.models, model) {
		w.mu.Unlock()
		rw.Header().Set("X-Almondturn-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.running--
	}()
	w.rec.log("worker %s runs %s with %s", w.id, id, model)
	rw.Header().Set("X-Almondturn-Server-Stamp", "stamp-"+w.id+"-"+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	count, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	for i := 1; i <= count; i++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", i, i)
		rw.(http.Flusher).Flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// order answers an order, or leaves it unanswered and carries it out late.
func (w *modelWorker) order(rw http.ResponseWriter, r *http.Request) {
	var o engineOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.orders++
	lateness := w.late(o)
	if lateness > 0 {
		w.unanswered++
	}
	w.mu.Unlock()
	if lateness > 0 {
		w.rec.log("worker %s leaves an order unanswered: %v; it is carried out %v later", w.id, o, lateness)
		time.AfterFunc(lateness, func() {
			w.rec.log("worker %s carries the late order out: %v: %d", w.id, o, w.carryOut(o))
			w.register()
		})
		<-r.Context().Done()
		return
	}
	status := w.carryOut(o)
	w.rec.log("worker %s gets an order: %v: %d", w.id, o, status)
	rw.WriteHeader(status)
	w.register()
}

// carryOut carries out an order and returns the status of its answer.
func (w *modelWorker) carryOut(o engineOrder) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	loaded := slices.Contains(w.models, o.Model)
	switch {
	case !w.up:
		return 0
	case w.loading != "" || o.Expected != nil && *o.Expected != w.seq:
		return http.StatusConflict
	case o.Operation == "load" && loaded, o.Operation == "unload" && !loaded:
		return http.StatusOK
	case o.Operation == "unload":
		w.seq++
		w.models = slices.DeleteFunc(slices.Clone(w.models), func(m string) bool { return m == o.Model })
		return http.StatusAccepted
	}
	w.seq++
	w.loading = o.Model
	if mb := (len(w.models) + 1) * modelMB; mb > weightsMB {
		w.overflow = mb
		w.up = false
		server := w.server
		go func() { _ = server.Close() }()
		w.rec.log("worker %s is ordered to hold %d MB in %d MB, and crashes", w.id, mb, weightsMB)
		return http.StatusAccepted
	}
	born := w.born
	time.AfterFunc(diskLoadTime, func() { w.loaded(born, o.Model) })
	return http.StatusAccepted
}

// loaded ends a load of the worker that was born at a time.
func (w *modelWorker) loaded(born int64, model string) {
	w.mu.Lock()
	if w.up && w.born == born {
		w.models, w.loading = append(slices.Clone(w.models), model), ""
		w.rec.log("worker %s has loaded %s", w.id, model)
	}
	w.mu.Unlock()
	w.register()
}
