package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// queueKey names what the requests of a queue wait for.
type queueKey struct{ service, model, adapter string }

func (k queueKey) modelKey() modelKey { return modelKey{k.service, k.model} }

// waiter is one request that waits.
type waiter struct {
	Request
	ticket Ticket
	since  time.Time
	// latency is the latency objective as a duration.
	latency time.Duration
	// paced is when the request first waited only for the pacing of prompts;
	// zero when it has not.
	paced time.Time
}

// queue holds the requests for one model or adapter, the most urgent first.
type queue struct {
	key     queueKey
	waiters []*waiter
}

func (q *queue) add(w *waiter) {
	i, _ := slices.BinarySearchFunc(q.waiters, w, moreUrgent)
	q.waiters = slices.Insert(q.waiters, i, w)
}

func (q *queue) remove(w *waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// moreUrgent orders requests by rank, latency objective and arrival.
func moreUrgent(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Objective.Compare(b.Objective), cmp.Compare(a.ticket, b.ticket))
}

// urgency ranks queues. Requests that can still meet their objective come
// before those that are late already.
type urgency struct {
	q         *queue
	late      bool
	priority  int
	objective time.Time
}

// byUrgency returns the queues, the most urgent first.
func (s *Scheduler) byUrgency(now time.Time) []*queue {
	ranks := make([]urgency, 0, len(s.queues))
	for _, q := range s.queues {
		ranks = append(ranks, q.urgency(now))
	}
	slices.SortFunc(ranks, func(a, b urgency) int {
		return cmp.Or(compareBool(a.late, b.late), cmp.Compare(a.priority, b.priority), a.objective.Compare(b.objective),
			cmp.Compare(a.q.waiters[0].ticket, b.q.waiters[0].ticket))
	})
	out := make([]*queue, len(ranks))
	for i, r := range ranks {
		out[i] = r.q
	}
	return out
}

func (q *queue) urgency(now time.Time) urgency {
	u := urgency{q: q, late: true}
	for _, w := range q.waiters {
		if w.Objective.After(now) {
			return urgency{q: q, priority: w.Priority, objective: w.Objective}
		}
	}
	u.priority, u.objective = q.waiters[0].Priority, q.waiters[0].Objective
	return u
}

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

// minimumRun is the part of a request's time that must be left for its run;
// a request with less is refused.
const minimumRun = 250 * time.Millisecond

// refusedRetry is the time after which a refused request may come back.
const refusedRetry = 500 * time.Millisecond

// expire refuses the requests that cannot be answered in time any more.
func (s *Scheduler) expire(now time.Time) {
	var late []*waiter
	for _, w := range s.tickets {
		if w.Deadline.Sub(now) < minimumRun {
			late = append(late, w)
		}
	}
	slices.SortFunc(late, func(a, b *waiter) int { return cmp.Compare(a.ticket, b.ticket) })
	for _, w := range late {
		s.refuse(now, w, Overloaded, refusedRetry, RefusalEstimate{TimeLeft: w.Deadline.Sub(now)})
	}
}

func (s *Scheduler) refuse(now time.Time, w *waiter, reason Reason, retry time.Duration, b RefusalEstimate) {
	s.remove(w)
	s.emit(Refusal{Ticket: w.ticket, Reason: reason, RetryAfter: retry, Waited: now.Sub(w.since), Estimate: b})
}
