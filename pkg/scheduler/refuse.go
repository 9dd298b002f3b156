package scheduler

import (
	"slices"
	"time"
)

// coldStartEstimate is the expected time from the choice of a target for a model
// until its first free slot, including an unload before the load.
const coldStartEstimate = time.Second

// refusalWaitRatio is the ratio of the expected wait for a slot to the time left
// above which a request is refused. It is above 1 because other models may
// release memory meanwhile.
const refusalWaitRatio = 1.5

// maxRetryAfter is the longest RetryAfter of a request that was refused because
// other requests have the slots, if it can't be predicted or half of the time left is
// shorter. It is also the RetryAfter of requests for models whose quota in the zone is 0.
const maxRetryAfter = 2 * time.Second

// refuseUnservable refuses the requests that will not be served in time, and
// those that another zone is likely to serve sooner.
func (s *Scheduler) refuseUnservable(now time.Time, queues []*queue) {
	recoveries := s.targetRecoveries(now)
	rank, fromStore := 0, 0
	prefillAhead := map[modelKey]time.Duration{}
	for _, q := range queues {
		if len(q.waiters) == 0 {
			continue
		}
		k := q.key.modelKey()
		st := s.modelState(now, k)
		if st.ready > 0 && st.loading == 0 && !s.hasFreeSlot(now, k) {
			s.redirectToOtherZone(now, q, RefusalEstimate{ReadyReplicas: st.ready, ReferralWait: s.queueWait(now, q)})
			s.refuseBeyondCapacity(now, q, st)
			continue
		}
		if st.ready > 0 {
			if st.loading == 0 {
				prefillAhead[k] = s.refuseBeyondPrefill(now, q, st, prefillAhead[k])
			}
			continue
		}
		if st.loading > 0 {
			s.refuseBeforeLoadEnds(now, q)
			continue
		}
		if s.modelConfig(k) == nil {
			s.refuseRemoved(now, q)
		}
		if len(q.waiters) == 0 {
			continue
		}
		rank++
		r := recoveries[k.service]
		estimate := RefusalEstimate{ExpectedWait: s.coldStartWait(now, rank, r), TargetsWithCopy: s.targetsWithCopy(now, k), BacklogRank: rank}
		if m := s.modelConfig(k); m != nil && estimate.TargetsWithCopy == 0 && r.healthy > 0 {
			fromStore++
			estimate.ExpectedWait = max(estimate.ExpectedWait, s.weightStore.expectedWait(fromStore, m.WeightStoreLoadTime))
		}
		s.refuseColdStart(now, q, estimate)
	}
}

// markModelRemoved records that a change of the configuration has removed the model.
func (q *queue) markModelRemoved() {
	for _, w := range q.waiters {
		w.modelRemoved = true
	}
}

// refuseRemoved refuses the requests that waited when their model was removed. Others
// wait, because their model may be that of a configuration that has not arrived yet.
func (s *Scheduler) refuseRemoved(now time.Time, q *queue) {
	for _, w := range slices.Clone(q.waiters) {
		if w.modelRemoved {
			s.refuse(now, w, Overloaded, maxRetryAfter, RefusalEstimate{TimeLeft: w.Deadline.Sub(now)})
		}
	}
}

// refuseBeforeLoadEnds refuses the requests whose deadline comes before the end
// of the model's load. The client may retry after that end.
func (s *Scheduler) refuseBeforeLoadEnds(now time.Time, q *queue) {
	left, ok := s.remainingLoadTime(now, q.key.modelKey())
	if !ok {
		return
	}
	for _, w := range slices.Clone(q.waiters) {
		if now.Add(left).After(w.Deadline.Add(-minRunTime)) {
			s.refuse(now, w, Overloaded, left, RefusalEstimate{ExpectedWait: left, TimeLeft: w.Deadline.Sub(now), LoadingReplicas: 1})
		}
	}
}

// remainingLoadTime returns the shortest time in which a planned load of the
// model, or one in progress, can end. ok is false if there is none.
func (s *Scheduler) remainingLoadTime(now time.Time, k modelKey) (left time.Duration, ok bool) {
	m := s.modelConfig(k)
	if m == nil {
		return 0, false
	}
	for _, t := range s.targetsByModel[k] {
		if !t.healthy(now) || t.plan == nil || t.plan.model != k.model {
			continue
		}
		source, loadTime := loadSource(t, m)
		if source == FromWeightStore {
			loadTime = s.weightStore.expectedDuration(loadTime)
		}
		if t.isLoading(k.model) {
			loadTime = max(t.orderSince.Add(t.expectedDuration).Sub(now), 0)
		}
		if !ok || loadTime < left {
			left, ok = loadTime, true
		}
	}
	return left, ok
}

// redirectWithoutCopy sends new requests to other zones, one of which may have a
// local copy of their model, before the model is loaded from the weight store.
func (s *Scheduler) redirectWithoutCopy(now time.Time, queues []*queue) {
	for _, q := range queues {
		k := q.key.modelKey()
		if len(q.waiters) == 0 || s.targetsWithCopy(now, k) > 0 {
			continue
		}
		if st := s.modelState(now, k); st.ready == 0 && st.loading == 0 {
			s.redirectToOtherZone(now, q, RefusalEstimate{})
		}
	}
}

// queueWait returns the expected wait for a slot behind the requests for the model that
// are not sent to another zone, 0 if it is not known or the configuration has no customers.
func (s *Scheduler) queueWait(now time.Time, q *queue) time.Duration {
	if !s.hasCustomers() {
		return 0
	}
	k := q.key.modelKey()
	perSecond := s.startRate(now, k)
	if perSecond <= 0 {
		return 0
	}
	staying := s.waitingByModel[k] + 1
	for _, w := range q.waiters {
		if w.mayBeRedirected(now) {
			staying--
		}
	}
	return time.Duration(float64(staying) / perSecond * float64(time.Second))
}

// mayBeRedirected reports whether the request may be sent to another zone.
func (w *waiter) mayBeRedirected(now time.Time) bool { return !w.OtherZonesRefused && w.isNew(now) }

// redirectToOtherZone refuses new requests so that another zone is tried.
func (s *Scheduler) redirectToOtherZone(now time.Time, q *queue, estimate RefusalEstimate) {
	for _, w := range slices.Clone(q.waiters) {
		if w.mayBeRedirected(now) {
			estimate.TimeLeft = w.Deadline.Sub(now)
			s.refuse(now, w, TryOtherZone, 0, estimate)
		}
	}
}

// refuseBeyondCapacity refuses new requests for a model whose replicas are full if
// the expected wait for a slot exceeds refusalWaitRatio times the time left until the
// latest start or, while the model is overloaded, the time left until their latency
// objective. Older requests are not refused: less time is left to them because they
// have waited, and not because the queue has become longer. Those above their customer's
// share are, because others have come before them since.
func (s *Scheduler) refuseBeyondCapacity(now time.Time, q *queue, st modelState) {
	k := q.key.modelKey()
	perSecond := s.startRate(now, k)
	if perSecond <= 0 {
		return
	}
	overloaded := s.isOverloaded(now, k, perSecond)
	waiting := 0
	for _, w := range slices.Clone(q.waiters) {
		expected := time.Duration(float64(waiting+1) / perSecond * float64(time.Second))
		left := w.Deadline.Sub(now) - minRunTime
		limit := time.Duration(refusalWaitRatio * float64(left))
		if overloaded && !w.Continues {
			limit = min(left, max(w.ObjectiveAt.Sub(now), 0))
		}
		if !w.mayBeRefused(now, expected, left) || expected <= limit {
			waiting++
			continue
		}
		s.refuse(now, w, Overloaded, s.retryAfter(now, w, perSecond, expected, limit), RefusalEstimate{ExpectedWait: expected, TimeLeft: w.Deadline.Sub(now), ReadyReplicas: st.ready})
	}
}

// startRate returns the number of requests per second that the replicas of the model
// start while all their slots are in use, or the limits of their targets.
func (s *Scheduler) startRate(now time.Time, k modelKey) float64 {
	rate := 0.0
	for _, t := range s.targetsByModel[k] {
		if !t.healthy(now) || !t.isReady(k.model) {
			continue
		}
		slots := t.replicas[k.model].runs
		if s.limitOf(t) != nil {
			slots = s.slots(t) // the limit keeps most of them free
		}
		rate += s.startsPerSecond(t, slots, s.sustainedTimeAt(now, t, s.demandOf(k).runDuration()))
	}
	return rate
}

// isNew reports whether the request has waited for less than a quarter of
// coldStartEstimate. Only new requests are sent to another zone or refused because of
// the requests before them.
func (w *waiter) isNew(now time.Time) bool { return now.Sub(w.submittedAt) < coldStartEstimate/4 }

// mayBeRefused reports whether the request may be refused because of the requests before it:
// it is new, or it is above its customer's share and starts too late.
func (w *waiter) mayBeRefused(now time.Time, expected, left time.Duration) bool {
	return w.isNew(now) || w.position.Above && expected > left
}

// overloadAge is the age of a model's demand from which its rate is compared with
// what the replicas serve.
const overloadAge = 2 * time.Second

// isOverloaded reports whether more requests for the model arrive than its replicas
// start, perSecond, not in a burst alone, and no copy of the weights allows another
// replica soon. A longer queue would then serve no more requests, and all of them late:
// those that miss their latency objective are refused, but for streams that continue.
func (s *Scheduler) isOverloaded(now time.Time, k modelKey, perSecond float64) bool {
	d := s.demandOf(k)
	return now.Sub(d.firstAt) >= overloadAge && d.perSecond(now) > perSecond && s.unloadedCopies(now, k) == 0
}

// refuseBeyondPrefill refuses new requests for a model whose replicas have free slots
// if they would wait beyond their deadline for the prefill budgets of the replicas.
// They are sent to another zone if one may have the model. ahead is the time that one
// replica takes to start the requests in more urgent queues of the model; the result
// includes those of q.
func (s *Scheduler) refuseBeyondPrefill(now time.Time, q *queue, st modelState, ahead time.Duration) time.Duration {
	first := s.prefillTurn(now, q.waiters[0])
	overloaded := first > 0 && s.isOverloaded(now, q.key.modelKey(), float64(st.ready)/first.Seconds())
	for _, w := range slices.Clone(q.waiters) {
		withOwn := ahead + s.prefillTurn(now, w)
		expected := s.eventIntervals[w.Service] + withOwn/time.Duration(st.ready) // the prompts granted last take up to one interval
		left := w.Deadline.Sub(now) - minRunTime
		limit := left
		if overloaded && !w.Continues {
			limit = min(left, max(w.ObjectiveAt.Sub(now), s.eventIntervals[w.Service]))
		}
		if !w.mayBeRefused(now, expected, left) || expected <= limit {
			ahead = withOwn
			continue
		}
		estimate := RefusalEstimate{ExpectedWait: expected, TimeLeft: w.Deadline.Sub(now), ReadyReplicas: st.ready}
		if !w.OtherZonesRefused {
			if s.hasCustomers() {
				estimate.ReferralWait = expected
			}
			s.refuse(now, w, TryOtherZone, 0, estimate)
			continue
		}
		s.refuse(now, w, Overloaded, s.retryAfter(now, w, s.prefillRate(now, w, st), expected, limit), estimate)
	}
	return ahead
}

// prefillRate returns the number of prompts like the request's per second that the replicas
// of its model start, 0 if their prefill time is not known.
func (s *Scheduler) prefillRate(now time.Time, w *waiter, st modelState) float64 {
	turn := s.prefillTurn(now, w)
	if turn <= 0 {
		return 0
	}
	return float64(st.ready) / turn.Seconds()
}

// targetRecovery says when the targets of a service can take requests.
type targetRecovery struct {
	// healthy is the number of healthy targets.
	healthy int
	// next is when the first of the targets that are neither healthy nor draining
	// takes requests again, zero if there is none.
	next time.Time
}

// targetRecoveries returns the recovery of each service with targets.
func (s *Scheduler) targetRecoveries(now time.Time) map[string]targetRecovery {
	out := make(map[string]targetRecovery, len(s.services))
	for _, t := range s.sortedTargets {
		r := out[t.info.Service]
		switch {
		case t.healthy(now):
			r.healthy++
		case !t.info.Draining && (r.next.IsZero() || t.suspectUntil.Before(r.next)):
			r.next = t.suspectUntil
		}
		out[t.info.Service] = r
	}
	return out
}

// coldStartWait estimates the time until a model is loaded, given its rank among
// the models that wait for a load. It is at least half of coldStartEstimate. Without
// a healthy target it is the time until one recovers, which may have the model.
func (s *Scheduler) coldStartWait(now time.Time, rank int, r targetRecovery) time.Duration {
	if r.healthy == 0 && r.next.IsZero() {
		return time.Hour // no target can load the model
	}
	if r.healthy == 0 {
		return r.next.Sub(now)
	}
	wait := time.Duration(rank) * coldStartEstimate / time.Duration(r.healthy)
	if s.ordersFrom.After(now) {
		wait += s.ordersFrom.Sub(now)
	}
	return max(wait, coldStartEstimate/2)
}

// refuseColdStart refuses the requests that will not be served in time by a load
// that has not been planned yet. New ones are sent to another zone if they would
// miss their latency objective here, or no target has a local copy.
func (s *Scheduler) refuseColdStart(now time.Time, q *queue, estimate RefusalEstimate) {
	ready := now.Add(estimate.ExpectedWait)
	for _, w := range slices.Clone(q.waiters) {
		late := ready.After(w.ObjectiveAt)
		estimate.TimeLeft = w.Deadline.Sub(now)
		switch {
		case !w.OtherZonesRefused && w.isNew(now) && (late || estimate.TargetsWithCopy == 0):
			s.refuse(now, w, TryOtherZone, 0, estimate)
		case ready.After(w.Deadline.Add(-minRunTime)):
			s.refuse(now, w, Overloaded, estimate.ExpectedWait, estimate)
		}
	}
}

// NextStepAt returns when Step has to run again if no other event requires it
// sooner. It is at most one second after now.
func (s *Scheduler) NextStepAt(now time.Time) time.Time {
	next := now.Add(time.Second) // the longest time between two steps
	consider := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	consider(s.ordersFrom)
	for _, t := range s.targets {
		consider(t.nextReportAt)
		consider(t.suspectUntil)
		consider(t.busyUntil)
		consider(t.nextOrderAt)
		if at, ok := t.nextProbeAt(); ok && len(s.waiters) > 0 {
			consider(at)
		}
		if len(s.waiters) > 0 && len(t.recentPrompts) > 0 {
			consider(t.recentPrompts[0].grantedAt.Add(s.eventIntervals[t.info.Service]))
		}
		for _, r := range t.replicas {
			for _, a := range r.adapters {
				consider(a.readyAt)
			}
		}
	}
	if len(s.waiters) > 0 {
		consider(now.Add(maxStepDelayWhileWaiting))
		for _, l := range s.targetLimits {
			consider(now.Add(l.bucket.Wait(now)))
		}
	}
	return next
}

// maxStepDelayWhileWaiting is the longest time until the next step while requests
// wait.
const maxStepDelayWhileWaiting = 100 * time.Millisecond
