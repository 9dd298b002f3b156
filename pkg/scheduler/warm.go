package scheduler

import "time"

// stepInterval is the longest time between two steps while requests are granted
// without one.
const stepInterval = 100 * time.Millisecond

// TryGrant grants a request that has just been submitted, without a step, if
// a replica has room and nothing else waits for it. Most requests are for loaded
// models, and a step looks at all targets of the zone.
func (s *Scheduler) TryGrant(now time.Time, ticket Ticket) (Grant, bool) {
	w := s.tickets[ticket]
	if w == nil || len(w.Exclude) > 0 || now.Sub(s.steppedAt) >= stepInterval {
		return Grant{}, false
	}
	k := modelKey{w.Service, w.Model}
	if s.awaited[k] != 1 {
		return Grant{}, false
	}
	t := s.choose(now, s.holders[k], w)
	if t == nil || s.targets[t.info.ID] != t || s.contended(t, k) {
		return Grant{}, false
	}
	return s.grantTo(now, w, t), true
}

// contended tells whether the target is to make room, or has another model that
// requests wait for.
func (s *Scheduler) contended(t *target, k modelKey) bool {
	return t.plan != nil || s.wanted(t, k)
}

// wanted tells whether requests wait for a model of the target other than k.
func (s *Scheduler) wanted(t *target, k modelKey) bool {
	for name := range t.replicas {
		other := modelKey{t.info.Service, name}
		if other != k && s.awaited[other] > 0 {
			return true
		}
	}
	return false
}

// NeedsStepOnEnd tells whether a step is due when a run ends: its target makes room,
// has a model that requests wait for, or could make room for one.
func (s *Scheduler) NeedsStepOnEnd(id RunID) bool {
	r := s.runs[id]
	if r == nil {
		return false
	}
	t := s.targets[r.target]
	if t == nil {
		return false
	}
	if r.probe || t.plan != nil || s.wanted(t, modelKey{}) {
		return true
	}
	rep := t.replicas[r.model]
	return rep != nil && rep.runs <= 1 && (rep.retiring || len(s.tickets) > 0)
}

// NeedsStepOnStart tells whether a step is due when the answer of a run begins: it
// shows that a load has ended.
func (s *Scheduler) NeedsStepOnStart(id RunID) bool {
	r := s.runs[id]
	return r != nil && r.probe
}
