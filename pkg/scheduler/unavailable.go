package scheduler

import (
	"slices"
	"time"
)

// isUnavailable reports whether the node of the request sends none to the target now.
func (w *waiter) isUnavailable(now time.Time, t *target) bool {
	return slices.ContainsFunc(w.Unavailable, func(u Unavailability) bool {
		return u.Target == t.info.ID && (u.Until.IsZero() || now.Before(u.Until))
	})
}

// missesTarget reports whether a healthy target that has the model, or plans to load it,
// takes requests of other nodes only.
func (s *Scheduler) missesTarget(now time.Time, k modelKey, w *waiter) bool {
	return len(w.Unavailable) > 0 && slices.ContainsFunc(s.targetsByModel[k], func(t *target) bool {
		return t.healthy(now) && w.isUnavailable(now, t)
	})
}

// pauseState says how long no target with the model takes the request.
type pauseState struct {
	// blocked is true if there are targets with the model and none takes it now.
	blocked bool
	// left is the time until the first pause ends, or a target recovers that takes the
	// request, 0 if all targets leave.
	left time.Duration
}

// pauseOf returns the pause of the targets that have the model, or plan to load it, for a
// request.
func (s *Scheduler) pauseOf(now time.Time, k modelKey, w *waiter) pauseState {
	if !s.missesTarget(now, k, w) {
		return pauseState{}
	}
	p := pauseState{blocked: true}
	for _, t := range s.targetsByModel[k] {
		left := time.Duration(0)
		switch {
		case w.isUnavailable(now, t):
			left = w.pauseLeft(now, t)
		case t.healthy(now):
			return pauseState{}
		case !t.info.Draining:
			left = t.suspectUntil.Sub(now)
		}
		if left > 0 && (p.left == 0 || left < p.left) {
			p.left = left
		}
	}
	return p
}

// pauseLeft returns the time left of a target's pause, 0 without one.
func (w *waiter) pauseLeft(now time.Time, t *target) time.Duration {
	left := time.Duration(0)
	for _, u := range w.Unavailable {
		if u.Target == t.info.ID && !u.Until.IsZero() {
			left = max(left, u.Until.Sub(now))
		}
	}
	return left
}

// needsReplicaInPause reports whether the most urgent request of the queue finds all
// replicas of its model out of use for longer than a cold start takes.
func (s *Scheduler) needsReplicaInPause(now time.Time, q *queue) bool {
	p := s.pauseOf(now, q.key.modelKey(), q.waiters[0])
	return p.blocked && (p.left == 0 || p.left > coldStartEstimate)
}

// replicaElsewhereIn returns the time in which another target may have the model loaded, if
// one that does not have it has a copy of its weights. ok is false without one.
func (s *Scheduler) replicaElsewhereIn(now time.Time, k modelKey) (wait time.Duration, ok bool) {
	if s.unloadedCopies(now, k) == 0 || !s.mayAddReplica(k) || s.loadHold(now, k.baseKey()) > 0 {
		return 0, false
	}
	return max(s.ordersFrom.Sub(now), 0) + coldStartEstimate, true
}

// refusePaused refuses the requests whose node may not send them to any target with the
// model. They are sent to another zone first, and wait if the pause ends, or another target
// may have the model, in their time.
func (s *Scheduler) refusePaused(now time.Time, queues []*queue) {
	for _, q := range queues {
		for _, w := range slices.Clone(q.waiters) {
			k := q.key.modelKey()
			p := s.pauseOf(now, k, w)
			if !p.blocked {
				continue
			}
			if !w.OtherZonesRefused {
				s.refuse(now, w, TryOtherZone, 0, RefusalEstimate{TimeLeft: w.Deadline.Sub(now)})
				continue
			}
			left := p.left
			if p.left == 0 {
				left = maxRetryAfter // all leave
			}
			elsewhere, ok := s.replicaElsewhereIn(now, k)
			if ok && now.Sub(w.submittedAt) < elsewhere { // no load has begun in this time otherwise
				left = min(left, elsewhere)
			}
			if p.left == 0 && now.Sub(w.submittedAt) > coldStartEstimate || now.Add(left).After(w.Deadline.Add(-minRunTime)) {
				s.refuse(now, w, Overloaded, left, RefusalEstimate{ExpectedWait: left, TimeLeft: w.Deadline.Sub(now)})
			}
		}
	}
}
