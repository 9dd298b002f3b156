package scheduler

import "time"

// maxStepAge is the longest time since the last step at which TryGrant grants
// requests.
const maxStepAge = 100 * time.Millisecond

// TryGrant grants a request immediately after its Submit, without a step, if a
// replica has a free slot and no other request may need it. It avoids the cost of
// a step, which visits all targets of the zone, for most requests, because their
// model is loaded. If it returns false, the request waits for the next Step.
func (s *Scheduler) TryGrant(now time.Time, ticket Ticket) (Grant, bool) {
	w := s.waiters[ticket]
	if w == nil || len(w.Exclude) > 0 || now.Sub(s.lastStepAt) >= maxStepAge {
		return Grant{}, false
	}
	k := modelKey{w.Service, w.Model}
	if s.waitingByModel[k] != 1 {
		return Grant{}, false
	}
	// SetTargets resets lastStepAt, so that targetsByModel has no replaced target
	// here. The comparison with s.targets does not rely on that.
	t := s.chooseTarget(now, s.targetsByModel[k], w)
	if t == nil || s.targets[t.info.ID] != t || s.contended(t, k) {
		return Grant{}, false
	}
	return s.grantTo(now, w, t), true
}

// contended reports whether the target has a plan, or another model that requests
// wait for.
func (s *Scheduler) contended(t *target, k modelKey) bool {
	return t.plan != nil || s.othersWaiting(t, k)
}

// othersWaiting reports whether requests wait for a model of the target other
// than k, or for any of its models if k is the zero value.
func (s *Scheduler) othersWaiting(t *target, k modelKey) bool {
	for name := range t.replicas {
		other := modelKey{t.info.Service, name}
		if other != k && s.waitingByModel[other] > 0 {
			return true
		}
	}
	return false
}

// NeedsStepOnEnd reports whether the caller must run a Step when the run ends:
// the run is a probe, or its target has a plan, has a model that requests wait
// for, or could unload a replica. It must be called before RunEnded.
func (s *Scheduler) NeedsStepOnEnd(id RunID) bool {
	r := s.runs[id]
	if r == nil {
		return false
	}
	t := s.targets[r.target]
	if t == nil {
		return false
	}
	if r.probe || t.plan != nil || s.othersWaiting(t, modelKey{}) {
		return true
	}
	rep := t.replicas[r.model]
	return rep != nil && rep.runs <= 1 && (rep.retiring || len(s.waiters) > 0)
}

// NeedsStepOnStart reports whether the caller must run a Step when the response
// of the run begins, because that confirms the end of a load.
func (s *Scheduler) NeedsStepOnStart(id RunID) bool {
	r := s.runs[id]
	return r != nil && r.probe
}
