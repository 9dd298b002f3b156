package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's key-value service, as PROTOCOL.md describes it.
type store struct {
	listener net.Listener

	mu       sync.Mutex // guards all below
	revision uint64
	items    map[string]storeItem
	history  []storeEvent
	leases   map[uint64]storeLease
	last     uint64 // identifier of the last lease
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create_revision"`
	Lease    uint64 `json:"lease"`
}

type storeEvent struct {
	storeItem
	Removed bool `json:"removed,omitempty"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// pageItems is the largest number of items of a page.
const pageItems = 500

// leaseSweep is the time between two checks for leases that have ended.
const leaseSweep = 10 * time.Millisecond

func newStore(addr string) (*store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, items: map[string]storeItem{}, leases: map[uint64]storeLease{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	go func() {
		for range time.Tick(leaseSweep) {
			s.mu.Lock()
			s.endLeases(time.Now())
			s.mu.Unlock()
		}
	}()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// put writes a key as operators and targets do.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.notify()
}

func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

func (s *store) write(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := storeItem{key, value, s.revision, created, lease}
	s.items[key] = i
	s.history = append(s.history, storeEvent{storeItem: i})
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, storeEvent{storeItem{Key: key, Revision: s.revision}, true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLeases ends the leases whose time is over, and removes their keys. mu must be held.
func (s *store) endLeases(now time.Time) {
	for id, l := range s.leases {
		if !now.Before(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.drop(key)
		}
	}
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer := s.call(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // fails only if the node has disconnected
}

// object is a JSON object.
type object map[string]any

func (s *store) call(r *http.Request, body []byte) (int, any) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/api/kv-watch":
		return s.watch(r, q.Get("path_prefix"), parseUint(q.Get("after")), time.Duration(parseUint(q.Get("wait_ms")))*time.Millisecond)
	case path == "/api/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, object{"store_revision": s.revision}
		}
		return http.StatusOK, object{"key": i.Key, "value": i.Value, "revision": i.Revision, "create_revision": i.Created, "lease": i.Lease, "store_revision": s.revision}
	case path == "/api/kv-range":
		return s.list(q.Get("path_prefix"), q.Get("after"))
	case path == "/api/kv-txn":
		return s.transact(body)
	case path == "/api/kv-lease":
		return s.grant(body)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		return s.keep(parseUint(strings.TrimPrefix(path, "/api/kv-keep/")))
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		return s.end(parseUint(strings.TrimPrefix(path, "/api/kv-lease-end/")))
	}
	return http.StatusNotFound, object{}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, object{"events": events, "store_revision": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, object{"events": events, "store_revision": revision}
		case <-r.Context().Done():
			return http.StatusOK, object{}
		}
	}
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, truncated := []storeItem{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if truncated = len(items) == pageItems; truncated {
			break
		}
		items = append(items, s.items[key])
	}
	return http.StatusOK, object{"items": items, "truncated": truncated, "store_revision": s.revision}
}

func (s *store) transact(body []byte) (int, any) {
	var txn struct {
		Expected []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}
	if json.Unmarshal(body, &txn) != nil {
		return http.StatusBadRequest, object{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeases(time.Now())
	for _, e := range txn.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, object{"items": []storeItem{s.items[e.Key]}}
		}
	}
	for _, p := range txn.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, object{}
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, object{}
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Deletes {
		s.drop(key)
	}
	s.notify()
	return http.StatusOK, object{"revision": s.revision}
}

func (s *store) grant(body []byte) (int, any) {
	var l struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.Unmarshal(body, &l) != nil {
		return http.StatusBadRequest, object{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	ttl := time.Duration(l.TTL) * time.Millisecond
	s.leases[s.last] = storeLease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, object{"lease": s.last, "ttl_ms": l.TTL}
}

func (s *store) keep(id uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeases(time.Now())
	l, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, object{}
	}
	l.ends = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, object{"ttl_ms": l.ttl.Milliseconds()}
}

func (s *store) end(id uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return http.StatusNotFound, object{}
	}
	s.endLease(id)
	return http.StatusOK, object{}
}

func parseUint(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
