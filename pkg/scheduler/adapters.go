package scheduler

import "time"

// loadAdapters orders the adapters that requests wait for, at targets that
// have the base model loaded.
func (s *Scheduler) loadAdapters(now time.Time, order []*queue) {
	for _, q := range order {
		if q.key.adapter == "" || len(q.waiters) == 0 || s.adapterComing(now, q.key) || !s.mayLoadAdapter(q.key) {
			continue
		}
		if t := s.adapterTarget(now, q); t != nil {
			s.makeAdapterRoom(now, t, q.key)
		}
	}
}

// adapterComing tells whether the adapter is on its way, or loaded at a
// target that only lacks a free slot.
func (s *Scheduler) adapterComing(now time.Time, k queueKey) bool {
	for _, t := range s.targets {
		if t.info.Service != k.service || !t.healthy(now) {
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

// adapterTarget returns the idle target with the fewest adapters among those
// that have the base model.
func (s *Scheduler) adapterTarget(now time.Time, q *queue) *target {
	var best *target
	for _, t := range s.sorted {
		ok := t.info.Service == q.key.service && t.phase == idle && t.healthy(now) && t.has(now, q.key.model, "") &&
			t.runs < s.slots(t) && !now.Before(t.quietUntil)
		if ok && (best == nil || t.adapterCount() < best.adapterCount()) {
			best = t
		}
	}
	return best
}

// makeAdapterRoom loads the adapter, or unloads the one that has been unused
// for longest to make room for it.
func (s *Scheduler) makeAdapterRoom(now time.Time, t *target, k queueKey) {
	e := s.services[k.service].Engine
	m := e.Models[k.model]
	if m == nil || e.AdapterSlots <= 0 {
		return
	}
	// A target that makes room for a model keeps that room.
	fits := max(t.usedMB(e), t.plannedMB(e))+m.AdapterMB <= e.WeightsMB
	if t.adapterCount() < e.AdapterSlots && fits {
		s.send(now, t, Order{Operation: Load, Model: k.model, Adapter: k.adapter}, adapterLoadTime)
		return
	}
	if model, name, ok := t.oldestAdapter(); ok {
		s.send(now, t, Order{Operation: Unload, Model: model, Adapter: name}, 0)
	}
}

// oldestAdapter returns the adapter without runs that has been unused for
// longest, among those that are known to be there.
func (t *target) oldestAdapter() (model, name string, ok bool) {
	var oldest time.Time
	for m, r := range t.replicas {
		for n, a := range r.adapters {
			if a.runs > 0 || a.doubted {
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
