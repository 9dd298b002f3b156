package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the largest number of items of a page of a list.
const maxPageItems = 500

// item is an entry of the store as PROTOCOL.md encodes it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create_revision,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex // guards all below
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]lease
	changed  chan struct{}
}

// startStore starts a store on a free loopback port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	s := &store{listener: l, revision: 100, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }() // returns after Close
	go s.expireLoop()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

func (s *store) expireLoop() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. s.mu must be held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// put writes a key. s.mu must be held.
func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
	s.notify()
}

// remove deletes a key. s.mu must be held.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.notify()
}

// notify wakes the watches. s.mu must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key as the operator or a worker does. value consists of maps, lists, texts and
// numbers.
func (s *store) set(key string, value any) {
	b, _ := json.Marshal(value) // such a value always encodes
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b, 0)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	if err != nil {
		return
	}
	status, out := s.call(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out) // fails only if the node has disconnected
}

// call executes a call and returns the response.
func (s *store) call(r *http.Request, body []byte) (int, any) {
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/api/kv-key":
		return s.get(q.Get("key"))
	case path == "/api/kv-range":
		return s.list(q.Get("path_prefix"), q.Get("after"))
	case path == "/api/kv-watch":
		return s.watch(r, q.Get("path_prefix"), q.Get("after"), q.Get("wait_ms"))
	case path == "/api/kv-txn":
		return s.commit(body)
	case path == "/api/kv-lease":
		return s.grant(body)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		return s.keep(strings.TrimPrefix(path, "/api/kv-keep/"))
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
		return http.StatusOK, struct{}{}
	default:
		return http.StatusNotFound, struct{}{}
	}
}

func (s *store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, map[string]any{"store_revision": s.revision}
	}
	return http.StatusOK, map[string]any{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "create_revision": it.Created, "lease": it.Lease, "store_revision": s.revision,
	}
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > maxPageItems
	if truncated {
		items = items[:maxPageItems]
	}
	return http.StatusOK, map[string]any{"items": items, "truncated": truncated, "store_revision": s.revision}
}

func (s *store) watch(r *http.Request, prefix, afterText, waitText string) (int, any) {
	after, _ := strconv.ParseUint(afterText, 10, 64)
	waitMS, _ := strconv.Atoi(waitText)
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, prefix) {
				events = append(events, s.history[i])
			}
		}
		sort.Slice(events, func(i, j int) bool { return events[i].Revision < events[j].Revision })
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		out := map[string]any{"events": events, "store_revision": revision}
		if len(events) > 0 {
			return http.StatusOK, out
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, out
		case <-r.Context().Done():
			return http.StatusOK, out
		}
	}
}

func (s *store) commit(body []byte) (int, any) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.Unmarshal(body, &t) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			current := []item{}
			for _, e := range t.Expected {
				if it, ok := s.items[e.Key]; ok {
					current = append(current, it)
				}
			}
			return http.StatusPreconditionFailed, map[string]any{"items": current}
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(body []byte) (int, any) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.Unmarshal(body, &request) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": request.TTL}
}

func (s *store) keep(text string) (int, any) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, struct{}{}
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
}
