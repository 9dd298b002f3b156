package scheduler

import "time"

// loadAdapters sends orders for the adapters that requests wait for, to targets
// that have the base model loaded.
func (s *Scheduler) loadAdapters(now time.Time, queues []*queue) {
	for _, q := range queues {
		if q.key.adapter == "" || len(q.waiters) == 0 || s.adapterLoadedOrOrdered(now, q) || !s.mayLoadAdapter(q.key) || s.loadHold(now, q.key) > 0 {
			continue
		}
		if t := s.adapterTarget(now, q); t != nil {
			s.orderAdapter(now, t, q.key)
		}
	}
}

// adapterLoadedOrOrdered reports whether, at a healthy target that takes the most urgent
// request of the queue, an order for the adapter is in progress or a replica that is not
// closing has it loaded.
func (s *Scheduler) adapterLoadedOrOrdered(now time.Time, q *queue) bool {
	k := q.key
	for _, t := range s.targets {
		if t.info.Service != k.service || !t.healthy(now) || !s.takes(now, t, q.waiters[0]) {
			continue
		}
		if o := t.order; o != nil && o.Model == k.model && o.Adapter == k.adapter {
			return true
		}
		if r := t.replicas[k.model]; r != nil && !r.closing && r.adapters[k.adapter] != nil {
			return true
		}
	}
	return false
}

// takes reports whether neither the target's limit nor its pause keep the request from it.
func (s *Scheduler) takes(now time.Time, t *target, w *waiter) bool {
	return s.limitAllows(now, t) && !w.isUnavailable(now, t)
}

// maxAdaptersInTransit is the largest number of adapters that one target loads concurrently.
const maxAdaptersInTransit = 4

// adaptersInTransit returns the number of adapters that the target is loading: those whose
// load was accepted less than adapterLoadTime ago, those that a run has found missing and no
// report has listed since, and those that the last report listed as being loaded.
func (t *target) adaptersInTransit(now time.Time) int {
	n := 0
	for _, r := range t.replicas {
		for _, a := range r.adapters {
			if now.Before(a.readyAt) || a.loading || a.unconfirmed && !a.openSince.IsZero() {
				n++
			}
		}
	}
	return n
}

// adapterTarget returns the target with the fewest adapters among those that take the most
// urgent request of the queue and have the base model loaded, a free slot, no order in
// progress and fewer than maxAdaptersInTransit; nil for none.
func (s *Scheduler) adapterTarget(now time.Time, q *queue) *target {
	var best *target
	for _, t := range s.sortedTargets {
		ok := t.info.Service == q.key.service && t.phase == noOrder && t.healthy(now) && t.canServe(now, q.key.model, "") &&
			t.runs < s.slots(t) && !now.Before(t.nextOrderAt) && s.takes(now, t, q.waiters[0]) && t.adaptersInTransit(now) < maxAdaptersInTransit
		if ok && (best == nil || t.adapterCount() < best.adapterCount()) {
			best = t
		}
	}
	return best
}

// orderAdapter loads the adapter or, if it does not fit, unloads the least
// recently used one.
func (s *Scheduler) orderAdapter(now time.Time, t *target, k queueKey) {
	e := s.services[k.service].Engine
	m := e.Models[k.model]
	if m == nil || e.AdapterSlots <= 0 {
		return
	}
	// The memory that a plan frees for its model is not available to adapters.
	late := t.roomForLateOrders(e)
	used := max(t.usedMB(e), t.plannedMB(e)) + m.AdapterMB
	if t.adapterCount()+late.adapters < e.AdapterSlots && used <= e.WeightsMB {
		s.sendOrder(now, t, Order{Operation: Load, Model: k.model, Adapter: k.adapter}, adapterLoadTime)
		return
	}
	if used > e.WeightsMB && used-late.mb <= e.WeightsMB {
		return // no unload of an adapter frees the room for a model
	}
	if model, name, ok := t.leastRecentlyUsedAdapter(); ok {
		s.sendOrder(now, t, Order{Operation: Unload, Model: model, Adapter: name}, 0)
	}
}

// leastRecentlyUsedAdapter returns the least recently used of the target's
// adapters without runs, and its model. Unconfirmed adapters don't count. ok is
// false if there is none.
func (t *target) leastRecentlyUsedAdapter() (model, name string, ok bool) {
	var oldest time.Time
	for m, r := range t.replicas {
		for n, a := range r.adapters {
			if a.runs > 0 || a.unconfirmed {
				continue
			}
			earlier := !ok || a.lastUsed.Before(oldest) || a.lastUsed.Equal(oldest) && m+"/"+n < model+"/"+name
			if earlier {
				model, name, oldest, ok = m, n, a.lastUsed, true
			}
		}
	}
	return model, name, ok
}
