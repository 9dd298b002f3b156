package scheduler

import (
	"slices"
	"time"
)

// cacheShare is the part of a target's cache that runs may fill by their
// expected sizes; the rest is for answers that grow longer.
const cacheShare = 0.9

// grant gives places to waiting requests, the most urgent first.
func (s *Scheduler) grant(now time.Time, order []*queue) {
	for _, q := range order {
		for _, w := range slices.Clone(q.waiters) {
			candidates := s.notExcluded(now, q.key.modelKey(), w)
			if t := s.choose(now, candidates, w); t != nil {
				s.emit(s.grantTo(now, w, t))
				continue
			}
			if len(candidates) == 0 && len(s.holders[q.key.modelKey()]) > 0 && !w.LastResort {
				s.refuse(now, w, TryOtherZone, 0, RefusalEstimate{TimeLeft: w.Deadline.Sub(now)})
				continue
			}
			if len(w.Exclude) == 0 {
				break // those behind it find no place either
			}
		}
	}
}

// tokensPerRun is the number of unread prompt tokens that weigh as much as one
// run in the choice of a target.
const tokensPerRun = 200

// weight ranks targets by the work that they have.
func (t *target) weight() int { return t.runs + t.unstarted/tokensPerRun }

// notExcluded returns the targets of the model that have not failed the
// request. When all have, and no other zone takes the request, it returns them
// all: a connection may have failed and not the target.
func (s *Scheduler) notExcluded(now time.Time, k modelKey, w *waiter) []*target {
	all := s.holders[k]
	if len(w.Exclude) == 0 {
		return all
	}
	rest := slices.DeleteFunc(slices.Clone(all), func(t *target) bool {
		return slices.Contains(w.Exclude, t.info.ID) || !t.healthy(now)
	})
	if len(rest) == 0 && w.LastResort {
		return all
	}
	return rest
}

// choose returns the target with the least work that can take the request.
func (s *Scheduler) choose(now time.Time, targets []*target, w *waiter) *target {
	var best *target
	for _, t := range targets {
		if !s.fits(now, t, w) {
			continue
		}
		if best == nil || t.weight() < best.weight() {
			best = t
		}
	}
	return best
}

// fits tells whether the request can begin at the target now.
func (s *Scheduler) fits(now time.Time, t *target, w *waiter) bool {
	if !t.healthy(now) || now.Before(t.busyUntil) || !t.has(now, w.Model, w.Adapter) && !t.probeable(now, w.Model, w.Adapter) {
		return false
	}
	e := s.services[w.Service].Engine
	if t.runs >= s.slots(t) {
		return false
	}
	if t.runs > 0 && s.pauses(now, t, w) {
		if w.paced.IsZero() {
			w.paced = now
		}
		return false
	}
	return t.runs == 0 || float64(t.tokens+w.tokens()) <= cacheShare*float64(e.CacheTokens)
}

// slots returns the number of requests that the target runs at once.
func (s *Scheduler) slots(t *target) int {
	if svc := s.services[t.info.Service]; svc != nil && svc.Engine != nil && svc.Engine.Slots > 0 {
		return svc.Engine.Slots
	}
	return t.info.Slots
}

func (w *waiter) tokens() int { return w.InputTokens + w.OutputTokens }

// grantTo gives the request a place at the target.
func (s *Scheduler) grantTo(now time.Time, w *waiter, t *target) Grant {
	s.lastRun++
	r := &run{
		id: s.lastRun, node: w.Node, target: t.info.ID, model: w.Model, adapter: w.Adapter,
		tokens: w.tokens(), input: w.InputTokens, objective: w.latency, since: now,
		probe: t.probeable(now, w.Model, w.Adapter) && !t.has(now, w.Model, w.Adapter),
	}
	if r.probe {
		t.probing = true
		t.probes++
	}
	s.runs[r.id] = r
	t.occupy(now, r)
	r.unread = t.unstarted
	r.paced = w.paced
	t.prompts = append(t.prompts, sentPrompt{now, s.readingOf(modelKey{w.Service, w.Model}, w.InputTokens)})
	s.remove(w)
	return Grant{Ticket: w.ticket, Run: r.id, Target: t.info.ID, Waited: now.Sub(w.since), Running: t.runs, Probe: r.probe}
}
