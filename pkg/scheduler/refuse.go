package scheduler

import (
	"slices"
	"time"
)

// loadEstimate is the expected time from the choice of a target for a model
// to the first free place, including the unload before it.
const loadEstimate = time.Second

// doubt is how many times longer than the time left the expected wait for a
// place has to be for a refusal: other models may give way meanwhile.
const doubt = 1.5

// longestRetry bounds the time after which a request may come back that was
// refused because others have the places.
const longestRetry = 2 * time.Second

// refuseHopeless refuses the requests that will not be served in time, and
// those that another zone is likely to serve sooner.
func (s *Scheduler) refuseHopeless(now time.Time, order []*queue) {
	targets := 0
	for _, t := range s.targets {
		if t.healthy(now) {
			targets++
		}
	}
	ahead, fromStore := 0, 0
	for _, q := range order {
		if len(q.waiters) == 0 {
			continue
		}
		k := q.key.modelKey()
		st := s.state(now, k)
		if st.usable > 0 && st.coming == 0 && !s.hasRoom(now, k) {
			s.sendElsewhere(now, q, RefusalEstimate{ReadyReplicas: st.usable})
			s.refuseBeyond(now, q, st)
			continue
		}
		if st.usable > 0 {
			continue
		}
		if st.coming > 0 {
			s.refuseBeforeLoaded(now, q)
			continue
		}
		ahead++
		b := RefusalEstimate{ExpectedWait: s.coldWait(now, ahead, targets), TargetsWithCopy: s.copies(now, k), BacklogRank: ahead}
		if m := s.model(k); m != nil && b.TargetsWithCopy == 0 {
			fromStore++
			b.ExpectedWait = max(b.ExpectedWait, s.store.wait(fromStore, m.LoadTime))
		}
		s.refuseCold(now, q, b)
	}
}

// refuseBeforeLoaded refuses the requests whose time is over before the load
// that is in progress ends; they may come back by then.
func (s *Scheduler) refuseBeforeLoaded(now time.Time, q *queue) {
	left, ok := s.loadLeft(now, q.key.modelKey())
	if !ok {
		return
	}
	for _, w := range slices.Clone(q.waiters) {
		if now.Add(left).After(w.Deadline.Add(-minimumRun)) {
			s.refuse(now, w, Overloaded, left, RefusalEstimate{ExpectedWait: left, TimeLeft: w.Deadline.Sub(now), LoadingReplicas: 1})
		}
	}
}

// loadLeft returns the least time until a load of the model that is planned or
// in progress can end; ok is false when there is none.
func (s *Scheduler) loadLeft(now time.Time, k modelKey) (left time.Duration, ok bool) {
	m := s.model(k)
	if m == nil {
		return 0, false
	}
	for _, t := range s.holders[k] {
		if !t.healthy(now) || t.plan == nil || t.plan.model != k.model {
			continue
		}
		source, l := sourceOf(t, m)
		if source == FromStore {
			l = s.store.expected(l)
		}
		if t.loads(k.model) {
			l = max(t.orderSince.Add(t.expected).Sub(now), 0)
		}
		if !ok || l < left {
			left, ok = l, true
		}
	}
	return left, ok
}

// refuseWithoutCopy lets new requests look for a zone that keeps a copy of
// their model before it is loaded from the weight store.
func (s *Scheduler) refuseWithoutCopy(now time.Time, order []*queue) {
	for _, q := range order {
		k := q.key.modelKey()
		if len(q.waiters) == 0 || s.copies(now, k) > 0 {
			continue
		}
		if st := s.state(now, k); st.usable == 0 && st.coming == 0 {
			s.sendElsewhere(now, q, RefusalEstimate{})
		}
	}
}

// sendElsewhere lets new requests look for room in other zones.
func (s *Scheduler) sendElsewhere(now time.Time, q *queue, b RefusalEstimate) {
	for _, w := range slices.Clone(q.waiters) {
		if !w.LastResort && now.Sub(w.since) < loadEstimate/4 {
			b.TimeLeft = w.Deadline.Sub(now)
			s.refuse(now, w, TryOtherZone, 0, b)
		}
	}
}

// refuseBeyond refuses the requests of a model whose replicas are full that
// will not get a place in time: those behind as many others as runs are
// expected to end before their latest start. It is decided while a request is
// new; later, the time that has passed says more of luck than of the queue.
func (s *Scheduler) refuseBeyond(now time.Time, q *queue, st state) {
	perSecond := float64(st.runs) / s.demandOf(q.key.modelKey()).duration().Seconds()
	if perSecond <= 0 {
		return
	}
	for i, w := range slices.Clone(q.waiters) {
		expected := time.Duration(float64(i+1) / perSecond * float64(time.Second))
		left := w.Deadline.Sub(now) - minimumRun
		fresh := now.Sub(w.since) < loadEstimate/4
		if fresh && float64(expected) > doubt*float64(left) {
			s.refuse(now, w, Overloaded, min(max(expected-left, refusedRetry), longestRetry), RefusalEstimate{ExpectedWait: expected, TimeLeft: w.Deadline.Sub(now), ReadyReplicas: st.usable})
		}
	}
}

// coldWait estimates the time until the model of the queue at the given rank
// is loaded.
func (s *Scheduler) coldWait(now time.Time, rank, targets int) time.Duration {
	if targets == 0 {
		return time.Hour
	}
	wait := time.Duration(rank) * loadEstimate / time.Duration(targets)
	if s.ordersFrom.After(now) {
		wait += s.ordersFrom.Sub(now)
	}
	return max(wait, loadEstimate/2)
}

func (s *Scheduler) refuseCold(now time.Time, q *queue, b RefusalEstimate) {
	ready := now.Add(b.ExpectedWait)
	for _, w := range slices.Clone(q.waiters) {
		fresh := now.Sub(w.since) < loadEstimate/4
		late := ready.After(w.Objective)
		b.TimeLeft = w.Deadline.Sub(now)
		switch {
		case !w.LastResort && fresh && (late || b.TargetsWithCopy == 0):
			s.refuse(now, w, TryOtherZone, 0, b)
		case ready.After(w.Deadline.Add(-minimumRun)):
			s.refuse(now, w, Overloaded, b.ExpectedWait, b)
		}
	}
}

// NextStepAt returns when Step has to be called again if nothing else happens.
func (s *Scheduler) NextStepAt(now time.Time) time.Time {
	next := now.Add(time.Second)
	consider := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	consider(s.ordersFrom)
	for _, t := range s.targets {
		consider(t.reportAt)
		consider(t.suspectUntil)
		consider(t.busyUntil)
		consider(t.quietUntil)
		if at, ok := t.nextProbe(); ok && len(s.tickets) > 0 {
			consider(at)
		}
		if len(s.tickets) > 0 && len(t.prompts) > 0 {
			consider(t.prompts[0].at.Add(s.gaps[t.info.Service]))
		}
		for _, r := range t.replicas {
			for _, a := range r.adapters {
				consider(a.readyAt)
			}
		}
	}
	if len(s.tickets) > 0 {
		consider(now.Add(waitingStep))
	}
	return next
}

// waitingStep is the longest time between two steps while requests wait.
const waitingStep = 100 * time.Millisecond
