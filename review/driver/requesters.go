package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the sheet for the requests to the bookings desk, over all zones.
const (
	holdsPerSecond  = 12.7
	checksPerSecond = 5.08
	timeBudget      = 2500 * time.Millisecond
)

// answer is what a requester has got for one request.
type answer struct {
	id, kind, node string
	status         int
	stamped        bool
	whole          bool
	err            error
}

// requesters send requests to the nodes in turn and keep the answers.
type requesters struct {
	d       *deployment
	prefix  string
	client  *http.Client
	wg      sync.WaitGroup
	mu      sync.Mutex // guards answers
	answers []answer
}

// newRequesters returns requesters whose request ids begin with prefix.
func newRequesters(d *deployment, prefix string) *requesters {
	return &requesters{d: d, prefix: prefix, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}}
}

// run sends both kinds of request at their rates for a time, and waits for the answers.
func (q *requesters) run(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	q.wg.Go(func() { q.sendAt(ctx, holdsPerSecond, "seat-hold") })
	q.wg.Go(func() { q.sendAt(ctx, checksPerSecond, "seat-check") })
	q.wg.Wait()
}

// sendAt sends requests of one kind at a rate until ctx ends.
func (q *requesters) sendAt(ctx context.Context, perSecond float64, kind string) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.wg.Go(func() { q.send(kind, i) })
		}
	}
}

// send sends one request and keeps its answer.
func (q *requesters) send(kind string, i int) {
	n := q.d.nodes[i%len(q.d.nodes)]
	a := answer{id: fmt.Sprintf("%s%s%05x", q.prefix, kind[5:6], i), kind: kind, node: n.name}
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget+time.Second)
	defer cancel()
	var req *http.Request
	if kind == "seat-hold" {
		req, a.err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+"/puxa403/2f", strings.NewReader(strings.Repeat("s", 600)))
	} else {
		req, a.err = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.front+"/cufi504/fi50/2f", nil)
	}
	if a.err == nil {
		req.Host = host
		req.Header.Set("X-Almondturn-Request-Id", a.id)
		req.Header.Set("X-Almondturn-Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
		q.d.record.line("requester sends %s %s to %s", a.id, kind, n.name)
		q.exchange(req, &a)
	}
	q.d.record.line("requester gets for %s: status %d, stamp %v, whole %v, error %v", a.id, a.status, a.stamped, a.whole, a.err)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answers = append(q.answers, a)
}

// exchange sends the request and reads the answer.
func (q *requesters) exchange(req *http.Request, a *answer) {
	resp, err := q.client.Do(req)
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	a.status, a.stamped = resp.StatusCode, resp.Header.Get("X-Almondturn-Server-Stamp") != ""
	_, a.err = io.Copy(io.Discard, resp.Body)
	a.whole = a.err == nil
}
