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

// maxRetryAfter is the longest time after which a client may retry whose request
// was refused because other requests have the slots.
const maxRetryAfter = 2 * time.Second

// refuseUnservable refuses the requests that will not be served in time, and
// those that another zone is likely to serve sooner.
func (s *Scheduler) refuseUnservable(now time.Time, queues []*queue) {
	targets := 0
	for _, t := range s.targets {
		if t.healthy(now) {
			targets++
		}
	}
	ahead, fromStore := 0, 0
	for _, q := range queues {
		if len(q.waiters) == 0 {
			continue
		}
		k := q.key.modelKey()
		st := s.modelState(now, k)
		if st.ready > 0 && st.loading == 0 && !s.hasFreeSlot(now, k) {
			s.redirectToOtherZone(now, q, RefusalEstimate{ReadyReplicas: st.ready})
			s.refuseBeyondCapacity(now, q, st)
			continue
		}
		if st.ready > 0 {
			continue
		}
		if st.loading > 0 {
			s.refuseBeforeLoadEnds(now, q)
			continue
		}
		ahead++
		estimate := RefusalEstimate{ExpectedWait: s.coldStartWait(now, ahead, targets), TargetsWithCopy: s.targetsWithCopy(now, k), BacklogRank: ahead}
		if m := s.modelConfig(k); m != nil && estimate.TargetsWithCopy == 0 {
			fromStore++
			estimate.ExpectedWait = max(estimate.ExpectedWait, s.store.expectedWait(fromStore, m.WeightStoreLoadTime))
		}
		s.refuseColdStart(now, q, estimate)
	}
}

// refuseBeforeLoadEnds refuses the requests whose deadline comes before the end
// of the model's load. The client may retry by then.
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
			loadTime = s.store.expectedDuration(loadTime)
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

// redirectToOtherZone refuses new requests so that another zone is tried.
func (s *Scheduler) redirectToOtherZone(now time.Time, q *queue, estimate RefusalEstimate) {
	for _, w := range slices.Clone(q.waiters) {
		if !w.OtherZonesRefused && now.Sub(w.submittedAt) < coldStartEstimate/4 {
			estimate.TimeLeft = w.Deadline.Sub(now)
			s.refuse(now, w, TryOtherZone, 0, estimate)
		}
	}
}

// refuseBeyondCapacity refuses new requests for a model whose replicas are full
// if too many requests are ahead of them: the runs that are expected to end
// before the request's latest start are fewer than those. Older requests are not
// refused, because the time that they have waited does not show how long the
// queue is.
func (s *Scheduler) refuseBeyondCapacity(now time.Time, q *queue, st modelState) {
	perSecond := float64(st.runs) / s.demandOf(q.key.modelKey()).runDuration().Seconds()
	if perSecond <= 0 {
		return
	}
	for i, w := range slices.Clone(q.waiters) {
		expected := time.Duration(float64(i+1) / perSecond * float64(time.Second))
		left := w.Deadline.Sub(now) - minRunTime
		fresh := now.Sub(w.submittedAt) < coldStartEstimate/4
		if fresh && float64(expected) > refusalWaitRatio*float64(left) {
			s.refuse(now, w, Overloaded, min(max(expected-left, minRetryAfter), maxRetryAfter), RefusalEstimate{ExpectedWait: expected, TimeLeft: w.Deadline.Sub(now), ReadyReplicas: st.ready})
		}
	}
}

// coldStartWait estimates the time until a model is loaded, given its rank among
// the models that wait for a load.
func (s *Scheduler) coldStartWait(now time.Time, rank, targets int) time.Duration {
	if targets == 0 {
		return time.Hour
	}
	wait := time.Duration(rank) * coldStartEstimate / time.Duration(targets)
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
		fresh := now.Sub(w.submittedAt) < coldStartEstimate/4
		late := ready.After(w.ObjectiveAt)
		estimate.TimeLeft = w.Deadline.Sub(now)
		switch {
		case !w.OtherZonesRefused && fresh && (late || estimate.TargetsWithCopy == 0):
			s.refuse(now, w, TryOtherZone, 0, estimate)
		case ready.After(w.Deadline.Add(-minRunTime)):
			s.refuse(now, w, Overloaded, estimate.ExpectedWait, estimate)
		}
	}
}

// NextStepAt returns when Step has to run again if no other event requires it
// sooner.
func (s *Scheduler) NextStepAt(now time.Time) time.Time {
	next := now.Add(time.Second)
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
			consider(t.recentPrompts[0].sentAt.Add(s.eventIntervals[t.info.Service]))
		}
		for _, r := range t.replicas {
			for _, a := range r.adapters {
				consider(a.readyAt)
			}
		}
	}
	if len(s.waiters) > 0 {
		consider(now.Add(maxWaitingStepInterval))
	}
	return next
}

// maxWaitingStepInterval is the longest time between two steps while requests
// wait.
const maxWaitingStepInterval = 100 * time.Millisecond
