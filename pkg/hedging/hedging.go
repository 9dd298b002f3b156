// Package hedging decides when a request that may be repeated is sent to a second target because
// the first one is slow, and bounds how often that is done. It reads no clock.
package hedging

import (
	"slices"
	"sync"
	"time"
)

const (
	// quantile is the quantile of the times of a route's recent requests that is the delay after
	// which a request is hedged.
	quantile = 0.9
	// sampleCount is the number of recent requests of a route from which the quantile is taken,
	// minSamples the least number of them. With fewer, the objective alone decides.
	sampleCount = 64
	minSamples  = 16
	// sortInterval is the number of samples after which the quantile is computed again.
	sortInterval = 8
	// minDelay is the shortest delay.
	minDelay = 5 * time.Millisecond
	// maxObjectiveShare is the share of the latency objective after which a request is hedged at
	// the latest, so that the second target has the rest; defaultObjectiveShare is that without
	// enough samples.
	maxObjectiveShare     = 0.75
	defaultObjectiveShare = 0.5
	// maxBudget bounds the hedges that a service may send at once after a time without hedges.
	maxBudget = 10
	// maxRoutes bounds the routes whose times are kept. Requests of further ones are hedged by
	// their objective.
	maxRoutes = 512
)

// Hedger holds the times of the recent requests and the budgets of hedges of a node. Its methods
// may be called concurrently.
type Hedger struct {
	mu      sync.Mutex // guards all below
	routes  map[string]*times
	budgets map[string]float64 // number of hedges that are allowed, by service
}

// New returns a hedger without times and with empty budgets.
func New() *Hedger {
	return &Hedger{routes: map[string]*times{}, budgets: map[string]float64{}}
}

// times holds how long the recent requests of a route took until their responses began.
type times struct {
	samples  [sampleCount]time.Duration
	count    int // of all samples, also those that were overwritten
	quantile time.Duration
}

// add adds a sample, and updates the quantile after each sortInterval of them.
func (t *times) add(took time.Duration) {
	t.samples[t.count%sampleCount] = took
	t.count++
	if t.count >= minSamples && (t.count-minSamples)%sortInterval == 0 {
		recent := slices.Clone(t.samples[:min(t.count, sampleCount)])
		slices.Sort(recent)
		t.quantile = recent[int(quantile*float64(len(recent)-1))]
	}
}

// RecordRequest counts a request to a service that may be hedged: ratio is the number of hedges
// that a request allows.
func (h *Hedger) RecordRequest(service string, ratio float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budgets[service] = min(h.budgets[service]+ratio, maxBudget)
}

// RecordTime records the time from the send of a request until its response began. For a request
// whose first attempt was given up for the second one, that is the time until then.
func (h *Hedger) RecordTime(route string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.routes[route]
	if t == nil {
		if len(h.routes) >= maxRoutes {
			return
		}
		t = new(times)
		h.routes[route] = t
	}
	t.add(took)
}

// Delay returns how long after its send a request of a route without a response is hedged. ok is
// false if neither recent requests nor the objective, 0 for none, tell that.
func (h *Hedger) Delay(route string, objective time.Duration) (delay time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.routes[route]
	known := t != nil && t.count >= minSamples
	switch {
	case known && objective > 0:
		delay = min(t.quantile, share(objective, maxObjectiveShare))
	case known:
		delay = t.quantile
	case objective > 0:
		delay = share(objective, defaultObjectiveShare)
	default:
		return 0, false
	}
	return max(delay, minDelay), true
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// Take takes a hedge from the budget of a service, and returns false if none is allowed.
func (h *Hedger) Take(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.budgets[service] < 1 {
		return false
	}
	h.budgets[service]--
	return true
}

// GiveBack returns a hedge that was taken and not sent.
func (h *Hedger) GiveBack(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budgets[service] = min(h.budgets[service]+1, maxBudget)
}
