package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"almondturn/pkg/inventory"
	"almondturn/pkg/notices"
)

// Times of probes.
const (
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// probeReuse is how long the result of a probe is used again. It bounds the rate of
	// the probes of one target, and is below maxOverlap, after which a target that could
	// not be reached is probed again.
	probeReuse = 200 * time.Millisecond
)

// targetProbes probes targets, each at most once at a time, and shares the results between
// all streams. Its methods may be called concurrently.
type targetProbes struct {
	targets prober
	// ctx ends all probes.
	ctx context.Context

	mu     sync.Mutex // guards recent
	recent map[notices.Key]*probe
}

// probe is one query of the state of a target.
type probe struct {
	// done is closed when the fields below are set.
	done   chan struct{}
	ended  time.Time
	report inventory.Report
	err    error
}

// expired reports whether the result is there and is not to be used again.
func (p *probe) expired(now time.Time) bool {
	select {
	case <-p.done:
		return now.Sub(p.ended) >= probeReuse
	default:
		return false
	}
}

// diagnose returns what a probe shows about an attempt, targetUnknown if ctx ends before.
func (p *targetProbes) diagnose(ctx context.Context, s attemptState) diagnosis {
	query := p.start(s.target)
	select {
	case <-query.done:
		return diagnose(query.report, query.err, s)
	case <-ctx.Done():
		return targetUnknown
	}
}

// start returns a probe of the target that is in progress or has just ended, or a new one.
func (p *targetProbes) start(t *inventory.Target) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(p.recent, func(_ notices.Key, old *probe) bool { return old.expired(now) })
	if recent := p.recent[noticeKey(t)]; recent != nil {
		return recent
	}
	if p.recent == nil {
		p.recent = map[notices.Key]*probe{}
	}
	query := &probe{done: make(chan struct{})}
	p.recent[noticeKey(t)] = query
	go query.run(p.ctx, p.targets, t)
	return query
}

// run queries the target.
func (p *probe) run(ctx context.Context, targets prober, t *inventory.Target) {
	defer close(p.done)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p.report, p.err = targets.Probe(ctx, t)
	p.ended = time.Now()
}
