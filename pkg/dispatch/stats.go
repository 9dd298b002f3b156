package dispatch

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/fault"
)

// statsKey identifies one set of histograms.
type statsKey struct {
	team  fleet.Team
	class catalog.Class
}

// requestStats are the histograms of one team and class, in seconds.
type requestStats struct {
	key        statsKey
	firstToken *metrics.Histogram
	total      *metrics.Histogram
	wait       *metrics.Histogram
	cold       *metrics.Histogram
	outcomes   sync.Map // outcome code to *metrics.Counter
}

// statsTable holds the histograms of all teams and classes.
type statsTable struct {
	sets sync.Map // statsKey to *requestStats
}

func (t *statsTable) get(k statsKey) *requestStats {
	if s, ok := t.sets.Load(k); ok {
		return s.(*requestStats)
	}
	name := func(what string) string {
		return fmt.Sprintf("almondturn_dispatch_%s{team=%q,class=%q}", what, string(k.team), strconv.Itoa(int(k.class)))
	}
	s, _ := t.sets.LoadOrStore(k, &requestStats{
		key:        k,
		firstToken: metrics.GetOrCreateHistogram(name("first_byte_seconds")),
		total:      metrics.GetOrCreateHistogram(name("total_seconds")),
		wait:       metrics.GetOrCreateHistogram(name("queue_wait_seconds")),
		cold:       metrics.GetOrCreateHistogram(name("cold_first_byte_seconds")),
	})
	return s.(*requestStats)
}

func (s *requestStats) outcome(code string) *metrics.Counter {
	if c, ok := s.outcomes.Load(code); ok {
		return c.(*metrics.Counter)
	}
	c := metrics.GetOrCreateCounter(fmt.Sprintf("almondturn_dispatch_requests_total{team=%q,class=%q,outcome=%q}",
		string(s.key.team), strconv.Itoa(int(s.key.class)), code))
	s.outcomes.Store(code, c)
	return c
}

// observe records a request that has ended.
func (t *statsTable) observe(r *Request, a *answer, err error, now time.Time) {
	s := t.get(statsKey{team: r.Identity.Team, class: r.Class})
	code := "ok"
	if err != nil {
		code = fault.KindOf(err).String()
	}
	s.outcome(code).Inc()
	s.total.Update(now.Sub(a.arrived).Seconds())
	if !a.placedAt.IsZero() {
		s.wait.Update(a.placedAt.Sub(a.arrived).Seconds())
	}
	if a.firstAt.IsZero() {
		return
	}
	first := a.firstAt.Sub(a.arrived).Seconds()
	s.firstToken.Update(first)
	if a.cold {
		s.cold.Update(first)
	}
}
