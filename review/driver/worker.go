package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the sheet for the bookings desk.
const (
	deskSlots       = 6
	deskQueue       = 24
	deskWork        = 30 * time.Millisecond
	meanAnswerBytes = 800
	beatInterval    = 1200 * time.Millisecond
)

// worker is a sound worker of the bookings desk.
type worker struct {
	id, zone, addr string
	record         *record
	slots          chan struct{}
	waiting        atomic.Int32
	running        atomic.Int32

	draining atomic.Bool
	// answerBytes is the size of an answer.
	answerBytes atomic.Int64

	mu sync.Mutex // guards all below
	// runs counts the runs of each request, arrivedAt is when it last arrived.
	runs      map[string]int
	arrivedAt map[string]time.Time
}

// newWorker starts a worker.
func newWorker(id, zone string, r *record) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a worker: %w", err)
	}
	w := &worker{id: id, zone: zone, addr: l.Addr().String(), record: r, slots: make(chan struct{}, deskSlots), runs: map[string]int{}, arrivedAt: map[string]time.Time{}}
	w.answerBytes.Store(meanAnswerBytes)
	go func() { _ = http.Serve(l, w) }()
	return w, nil
}

// startWorkers starts one worker in each zone.
func (d *deployment) startWorkers() ([]*worker, error) {
	var workers []*worker
	for i, zone := range zones {
		w, err := newWorker(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), zone, d.record)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
		d.beat(w)
	}
	return workers, nil
}

// entry returns the worker's entry in the store.
func (w *worker) entry() []byte {
	state := "ready"
	if w.draining.Load() {
		state = "draining"
	}
	text, _ := json.Marshal(map[string]any{
		"service": deskService, "address": w.addr, "zone": w.zone, "version": "v1", "slots": deskSlots, "state": state, "cold_left_ms": 0, "seq": 0,
	}) // a map of strings and numbers always encodes
	return text
}

// beat writes the worker's entry again and again.
func (d *deployment) beat(w *worker) {
	d.store.Put("servers/"+w.id, w.entry())
	d.beats.Go(func() {
		ticker := time.NewTicker(beatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-d.beatStop:
				return
			case <-ticker.C:
				d.store.Put("servers/"+w.id, w.entry())
			}
		}
	})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("X-Almondturn-Instance-Id", w.id)
	if want := r.Header.Get("X-Almondturn-Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Almondturn-Request-Id")
	h.Set("X-Almondturn-Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if int(w.waiting.Add(1)) > deskQueue {
		w.waiting.Add(-1)
		h.Set("X-Almondturn-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case w.slots <- struct{}{}:
		w.waiting.Add(-1)
	case <-r.Context().Done():
		w.waiting.Add(-1)
		return
	}
	defer func() { <-w.slots }()
	w.running.Add(1)
	defer w.running.Add(-1)
	w.mu.Lock()
	w.runs[id]++
	w.arrivedAt[id] = time.Now()
	w.mu.Unlock()
	w.record.line("worker %s runs %s %s %s, %d bytes", w.id, id, r.Method, r.URL.RequestURI(), len(body))
	time.Sleep(deskWork)
	h.Set("X-Almondturn-Instance-Load", fmt.Sprintf("%d,%d,%d", w.running.Load(), w.waiting.Load(), deskSlots))
	h.Set("X-Almondturn-Server-Stamp", "3e1b."+w.id+"."+id)
	size := int(w.answerBytes.Load())
	h.Set("Content-Length", strconv.Itoa(size))
	_, _ = io.WriteString(rw, strings.Repeat("a", size))
}

// runCount returns how often the worker has run a request.
func (w *worker) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// arrivals returns when each request has arrived.
func (w *worker) arrivals() map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.arrivedAt)
}
