package scheduler

import (
	"cmp"
	"slices"
	"time"

	"almondturn/pkg/fairness"
)

// queueKey identifies a queue. The adapter is empty for requests to a base model.
type queueKey struct{ service, model, adapter string }

func (k queueKey) modelKey() modelKey { return modelKey{k.service, k.model} }

// waiter is a waiting request.
type waiter struct {
	Request
	ticket      Ticket
	submittedAt time.Time
	// latencyObjective equals Request.LatencyObjective. grantTo passes it to the run.
	latencyObjective time.Duration
	// pacedSince is when a target was first skipped for the request because of
	// its prefill budget, zero if none was.
	pacedSince time.Time
	// modelRemoved is set when a change of the configuration removes the model.
	modelRemoved bool
	// position is the place among the requests of other customers as of the last step.
	position fairness.Position
}

// queue holds the waiting requests for one model or adapter, the most urgent
// first.
type queue struct {
	key     queueKey
	waiters []*waiter
}

func (q *queue) add(w *waiter) {
	i, _ := slices.BinarySearchFunc(q.waiters, w, compareUrgency)
	q.waiters = slices.Insert(q.waiters, i, w)
}

func (q *queue) remove(w *waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// compareUrgency orders requests by priority, streams that continue before others, those
// within their customer's share before those above it, time of the latency objective and
// arrival.
func compareUrgency(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), compareBool(b.Continues, a.Continues),
		a.position.Compare(b.position), a.ObjectiveAt.Compare(b.ObjectiveAt), cmp.Compare(a.ticket, b.ticket))
}

// isLate reports whether the request misses its latency objective if it begins at a time. A
// stream that continues has none any more.
func (w *waiter) isLate(at time.Time) bool { return !w.Continues && !at.Before(w.ObjectiveAt) }

// urgency is the rank of a queue. Queues with a request that can still meet its
// latency objective, or a stream that continues, come before those in which all are late.
type urgency struct {
	q         *queue
	late      bool
	priority  int
	position  fairness.Position
	objective time.Time
}

// queuesByUrgency returns the queues, the most urgent first.
func (s *Scheduler) queuesByUrgency(now time.Time) []*queue {
	s.orderFairly(now)
	ranks := make([]urgency, 0, len(s.queues))
	for _, q := range s.queues {
		ranks = append(ranks, q.urgency(now))
	}
	slices.SortFunc(ranks, func(a, b urgency) int {
		return cmp.Or(compareBool(a.late, b.late), cmp.Compare(a.priority, b.priority), a.position.Compare(b.position), a.objective.Compare(b.objective),
			cmp.Compare(a.q.waiters[0].ticket, b.q.waiters[0].ticket))
	})
	out := make([]*queue, len(ranks))
	for i, r := range ranks {
		out[i] = r.q
	}
	return out
}

// urgency returns the rank of the queue, which must not be empty.
func (q *queue) urgency(now time.Time) urgency {
	u := urgency{q: q, late: true}
	for _, w := range q.waiters {
		if !w.isLate(now) {
			return urgency{q: q, priority: w.Priority, position: w.position, objective: w.ObjectiveAt}
		}
	}
	first := q.waiters[0]
	u.priority, u.position, u.objective = first.Priority, first.position, first.ObjectiveAt
	return u
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// minRunTime is the time that must be left until the deadline when a request is
// granted; a request with less is refused. The constant of the same name in package
// entry is the least time that a node requires for an attempt.
const minRunTime = 250 * time.Millisecond

// minRetryAfter is the shortest time after which the client of a request that was
// refused as expired or beyond capacity may retry.
const minRetryAfter = 500 * time.Millisecond

// refuseExpired refuses the requests that can no longer be served before their
// deadline.
func (s *Scheduler) refuseExpired(now time.Time) {
	var expired []*waiter
	for _, w := range s.waiters {
		if w.Deadline.Sub(now) < minRunTime {
			expired = append(expired, w)
		}
	}
	slices.SortFunc(expired, func(a, b *waiter) int { return cmp.Compare(a.ticket, b.ticket) })
	for _, w := range expired {
		s.refuse(now, w, Overloaded, minRetryAfter, RefusalEstimate{TimeLeft: w.Deadline.Sub(now)})
	}
}

// refuse removes a waiting request and emits its refusal.
func (s *Scheduler) refuse(now time.Time, w *waiter, reason Reason, retryAfter time.Duration, estimate RefusalEstimate) {
	s.removeWaiter(w)
	s.emit(Refusal{Ticket: w.ticket, Reason: reason, RetryAfter: retryAfter, Waited: now.Sub(w.submittedAt), Estimate: estimate})
}
