package kv

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"almondturn/pkg/platform"
)

// watchBeat is how often a watch without events sends an empty line.
const watchBeat = time.Second

// Handler serves the store over HTTP as docs/platform.md describes, and the
// VM list at /v1/vms.
func Handler(s *Store, vms platform.VMLister) http.Handler {
	h := &server{store: s, vms: vms}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv", h.get)
	mux.HandleFunc("PUT /v1/kv", h.put)
	mux.HandleFunc("DELETE /v1/kv", h.delete)
	mux.HandleFunc("GET /v1/list", h.list)
	mux.HandleFunc("GET /v1/watch", h.watch)
	mux.HandleFunc("POST /v1/leases", h.grant)
	mux.HandleFunc("PUT /v1/leases/{id}", h.renew)
	mux.HandleFunc("DELETE /v1/leases/{id}", h.revoke)
	mux.HandleFunc("GET /v1/vms", h.listVMs)
	return mux
}

type server struct {
	store *Store
	vms   platform.VMLister
}

func (h *server) get(w http.ResponseWriter, r *http.Request) {
	e, err := h.store.Get(r.Context(), r.FormValue("key"))
	reply(w, e, err)
}

func (h *server) put(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rev, err := h.store.CompareAndSwap(r.Context(), q.Get("key"), value, revision(q.Get("expect")), platform.LeaseID(number(q.Get("lease"))))
	reply(w, platform.ChangeReply{Revision: rev}, err)
}

func (h *server) delete(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	err := h.store.Delete(r.Context(), q.Get("key"), revision(q.Get("expect")))
	reply(w, struct{}{}, err)
}

func (h *server) list(w http.ResponseWriter, r *http.Request) {
	entries, rev, err := h.store.List(r.Context(), r.FormValue("prefix"))
	reply(w, platform.ListReply{Entries: entries, Revision: rev}, err)
}

func (h *server) watch(w http.ResponseWriter, r *http.Request) {
	events, err := h.store.Watch(r.Context(), r.FormValue("prefix"), revision(r.FormValue("after")))
	if err != nil {
		reply(w, nil, err)
		return
	}
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	beat := time.NewTicker(watchBeat)
	defer beat.Stop()
	_ = rc.Flush()
	for {
		select {
		case ev, ok := <-events:
			if !ok || enc.Encode(ev) != nil {
				return
			}
		case <-beat.C:
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		}
		_ = rc.Flush()
	}
}

func (h *server) grant(w http.ResponseWriter, r *http.Request) {
	id, err := h.store.GrantLease(r.Context(), time.Duration(number(r.FormValue("ttl_ms")))*time.Millisecond)
	reply(w, platform.LeaseReply{Lease: id}, err)
}

func (h *server) renew(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, h.store.RenewLease(r.Context(), platform.LeaseID(number(r.PathValue("id")))))
}

func (h *server) revoke(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, h.store.RevokeLease(r.Context(), platform.LeaseID(number(r.PathValue("id")))))
}

func (h *server) listVMs(w http.ResponseWriter, r *http.Request) {
	vms, version, err := h.vms.VMs(r.Context())
	reply(w, platform.VMReply{VMs: vms, Version: version}, err)
}

// reply writes v, or the status that stands for err. An unknown outcome
// aborts the connection, as a lost answer does.
func reply(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, platform.ErrLeaseExpired), errors.Is(err, platform.ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, platform.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func revision(s string) platform.Revision { return platform.Revision(number(s)) }

func number(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64)
	return n
}
