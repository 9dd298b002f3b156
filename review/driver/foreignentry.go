package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Times of the case.
const (
	readyLimit     = 20 * time.Second
	settleTime     = 2 * time.Second
	foreignTraffic = 30 * time.Second
	foreignFrom    = 8 * time.Second
)

// Bounds of the rule DENIED.
const (
	deniedBase  = 5
	deniedShare = 500 // one in so many
	deniedMost  = 10  // of the statuses 401, 403 and 404 for what all configs allow
)

// foreignProgram is a sound HTTP server that is no worker: it has none of the paths that
// it is asked for.
type foreignProgram struct {
	record   *record
	requests atomic.Int32
}

// ServeHTTP implements http.Handler.
func (p *foreignProgram) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.requests.Add(1)
	p.record.line("foreign program gets %s %s %s", r.Header.Get("X-Almondturn-Request-Id"), r.Method, r.URL.RequestURI())
	http.NotFound(w, r)
}

// foreignEntry lets another writer write an entry for each zone below servers/, in which the
// fields version, slots, cold_left_ms and seq are missing. It names no worker to use.
func foreignEntry(d *deployment, trouble bool) (int, error) {
	d.putConfiguration()
	workers, err := d.startWorkers()
	if err != nil {
		return exitNotRun, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return exitNotRun, fmt.Errorf("listen for the foreign program: %w", err)
	}
	program := &foreignProgram{record: d.record}
	server := &http.Server{Handler: program}
	server.SetKeepAlivesEnabled(false) // like many small servers, it answers one request on a connection
	go func() { _ = server.Serve(l) }()
	if err := d.startNodes(); err != nil {
		return exitNotRun, err
	}
	if err := d.awaitReady(readyLimit); err != nil {
		return exitNotRun, err
	}
	time.Sleep(settleTime)
	if trouble {
		time.AfterFunc(foreignFrom, func() {
			for _, zone := range zones {
				text, _ := json.Marshal(map[string]any{"service": deskService, "address": l.Addr().String(), "zone": zone, "state": "ready"})
				d.store.Put("servers/inventory-"+zone, text)
				d.record.line("another writer writes servers/inventory-%s = %s", zone, text)
			}
		})
	}
	q := newRequesters(d, "9c41d07b")
	q.run(context.Background(), foreignTraffic)
	return judgeDenied(d, q, workers, program), nil
}

// judgeDenied applies the rule DENIED: all requests are proper, and the only config allows
// them; no machine is impaired.
func judgeDenied(d *deployment, q *requesters, workers []*worker, program *foreignProgram) int {
	denied, notFound, served, holds := 0, 0, 0, 0
	for _, a := range q.answers {
		if a.status >= 200 && a.status < 300 && a.stamped && a.whole {
			served++
		}
		excepted := a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest || a.status == http.StatusTooManyRequests
		if a.stamped || a.status < 300 || a.status >= 500 || excepted {
			continue
		}
		denied++
		if a.kind == "seat-hold" {
			holds++
		}
		if a.status == http.StatusUnauthorized || a.status == http.StatusForbidden || a.status == http.StatusNotFound {
			notFound++
		}
	}
	runs := 0
	for _, a := range q.answers {
		for _, w := range workers {
			runs += w.runCount(a.id)
		}
	}
	allowed := deniedBase + len(q.answers)/deniedShare
	broken := denied > allowed || notFound > deniedMost
	result := fmt.Sprintf("%d requests, %d served, %d runs at workers; %d requests reached the foreign program; %d denied (%d seat holds), of them %d with 401, 403 or 404; allowed are %d, and %d of these statuses: rule DENIED broken: %v",
		len(q.answers), served, runs, program.requests.Load(), denied, holds, notFound, allowed, deniedMost, broken)
	d.record.line("%s", result)
	fmt.Println(result)
	if broken {
		return exitBroken
	}
	return exitHeld
}
