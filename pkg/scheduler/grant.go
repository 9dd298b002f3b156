package scheduler

import (
	"slices"
	"time"
)

// maxCacheUtilization is the share of a target's cache that runs may fill by
// their expected sizes; the remainder is for responses that are longer.
const maxCacheUtilization = 0.9

// grantWaiting grants slots to waiting requests, the most urgent first.
func (s *Scheduler) grantWaiting(now time.Time, queues []*queue) {
	for _, q := range queues {
		for _, w := range slices.Clone(q.waiters) {
			candidates := s.candidateTargets(now, q.key.modelKey(), w)
			if t := s.chooseTarget(now, candidates, w); t != nil {
				s.emit(s.grantTo(now, w, t))
				continue
			}
			if len(candidates) == 0 && len(s.targetsByModel[q.key.modelKey()]) > 0 && !w.OtherZonesRefused {
				s.refuse(now, w, TryOtherZone, 0, RefusalEstimate{TimeLeft: w.Deadline.Sub(now)})
				continue
			}
			if len(w.Exclude) == 0 && !s.missesTarget(now, q.key.modelKey(), w) {
				break // the requests behind it in the queue must not overtake it
			}
		}
	}
}

// prefillTokensPerRun is the number of prompt tokens waiting for prefill that
// count as much as one run in the choice of a target.
const prefillTokensPerRun = 200

// workload returns the target's work in progress, in runs.
func (t *target) workload() int { return t.runs + t.pendingPrefillTokens/prefillTokensPerRun }

// candidateTargets returns the targets that have the model loaded or plan to load
// it and are available to the request. If it excludes targets, it returns only the
// healthy ones of the others. If there is none of these and OtherZonesRefused is true, it
// returns all, because the cause may have been a connection and not the target.
func (s *Scheduler) candidateTargets(now time.Time, k modelKey, w *waiter) []*target {
	modelTargets := s.targetsByModel[k]
	if len(w.Unavailable) > 0 {
		modelTargets = slices.DeleteFunc(slices.Clone(modelTargets), func(t *target) bool { return w.isUnavailable(now, t) })
	}
	if len(w.Exclude) == 0 {
		return modelTargets
	}
	candidates := slices.DeleteFunc(slices.Clone(modelTargets), func(t *target) bool {
		return slices.Contains(w.Exclude, t.info.ID) || !t.healthy(now)
	})
	if len(candidates) == 0 && w.OtherZonesRefused {
		return modelTargets
	}
	return candidates
}

// chooseTarget returns the target at which the request can start at the lowest startCost, nil
// for none.
func (s *Scheduler) chooseTarget(now time.Time, targets []*target, w *waiter) *target {
	var best *target
	lowest := 0.0
	for _, t := range targets {
		if !s.canStart(now, t, w) {
			continue
		}
		if cost := s.startCost(now, t, w); best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

// canStart reports whether the request can start at the target now. A target
// without runs takes a request of any size. It sets w.pacedSince at the first target
// whose prefill budget does not allow the prompt.
func (s *Scheduler) canStart(now time.Time, t *target, w *waiter) bool {
	o := s.startObstacle(now, t, w)
	if o == prefillExceeded && w.pacedSince.IsZero() {
		w.pacedSince = now
	}
	return o == noObstacle
}

// obstacle is why a request can't start at a target now.
type obstacle uint8

const (
	noObstacle obstacle = iota
	unhealthy
	withheldOrLimited
	busy
	notServing
	noSlot
	prefillExceeded
	cacheFull
)

// String returns the reason for operators, empty for noObstacle.
func (o obstacle) String() string {
	return [...]string{
		"", "draining or suspect", "paused for the node, leaving, or at its rate limit", "has just refused a request as full",
		"model or adapter not ready", "no free slot", "prefill budget used up", "cache full",
	}[o]
}

// startObstacle returns why the request can't start at the target now.
func (s *Scheduler) startObstacle(now time.Time, t *target, w *waiter) obstacle {
	switch {
	case !t.healthy(now):
		return unhealthy
	case !s.takes(now, t, w):
		return withheldOrLimited
	case now.Before(t.busyUntil):
		return busy
	case !t.canServe(now, w.Model, w.Adapter) && !t.canProbe(now, w.Model, w.Adapter):
		return notServing
	case t.runs >= s.slots(t):
		return noSlot
	case t.runs > 0 && s.exceedsPrefillBudget(now, t, w):
		return prefillExceeded
	case t.runs > 0 && float64(t.tokens+w.tokens()) > maxCacheUtilization*float64(s.services[w.Service].Engine.CacheTokens):
		return cacheFull
	}
	return noObstacle
}

// slots returns the number of requests that the target can run concurrently.
func (s *Scheduler) slots(t *target) int {
	if svc := s.services[t.info.Service]; svc != nil && svc.Engine != nil && svc.Engine.Slots > 0 {
		return svc.Engine.Slots
	}
	return t.info.Slots
}

// tokens returns the number of cache tokens that the request is expected to use.
func (r *Request) tokens() int { return r.InputTokens + r.OutputTokens }

// grantTo grants the request a slot at the target.
func (s *Scheduler) grantTo(now time.Time, w *waiter, t *target) Grant {
	s.lastRun++
	r := &run{
		id: s.lastRun, node: w.Node, target: t.info.ID, model: w.Model, adapter: w.Adapter,
		tokens: w.tokens(), inputTokens: w.InputTokens, latencyObjective: w.latencyObjective, grantedAt: now,
		probe:    t.canProbe(now, w.Model, w.Adapter) && !t.canServe(now, w.Model, w.Adapter),
		customer: w.Customer, priority: w.Priority,
		factor: s.factor(now, t),
	}
	if r.probe {
		t.probing = true
		t.probes++
	}
	s.runs[r.id] = r
	t.addRun(now, r)
	s.takeFromLimit(now, t)
	s.chargeCustomer(now, &w.Request)
	if s.hasCustomers() {
		s.demandOf(modelKey{w.Service, w.Model}).retries.addGrant(now)
	}
	r.pendingPrefillTokens = t.pendingPrefillTokens
	r.pacedSince = w.pacedSince
	t.recentPrompts = append(t.recentPrompts, grantedPrompt{now, s.prefillTime(modelKey{w.Service, w.Model}, w.InputTokens)})
	s.removeWaiter(w)
	return Grant{Ticket: w.ticket, Run: r.id, Target: t.info.ID, Waited: now.Sub(w.submittedAt), Running: t.runs, Probe: r.probe}
}
