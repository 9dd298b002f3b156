package scheduler

import (
	"time"

	"almondturn/pkg/route"
)

// Limits of loads from the weight store. Durations of loads are expressed as a
// slowdown, which is a multiple of the model's declared load time.
const (
	// storeRateWindow is the period over which the rate of loads is counted.
	storeRateWindow = 5 * time.Second
	// initialStoreLimit is the number of concurrent loads in all zones until the
	// capacity of the store is known.
	initialStoreLimit = 2
	// fullSpeedSlowdown is the slowdown up to which the store is not saturated.
	fullSpeedSlowdown = 1.15
	// fullSpeedLoadsToRaise is the number of loads at full speed, with as many
	// concurrent loads as the limit allows, after which the limit grows by one.
	fullSpeedLoadsToRaise = 2
	// maxOccupiedShare is the largest share of a zone's targets that loads from the
	// store may occupy if one of them is for a further replica. An occupied target
	// can't change its models, which cold requests wait for.
	maxOccupiedShare = 0.1
	// storeWantTime is how long a model that was to be loaded from the store, and
	// was not, takes precedence over models with less demand.
	storeWantTime = 500 * time.Millisecond
	// excessSampleWeight is the weight of the last load in the mean of
	// excessRatio. maxSlowdown bounds the slowdown of one sample.
	excessSampleWeight = 0.3
	maxSlowdown        = 4
)

// weightStoreBudget limits the loads from the weight store. The store does not
// declare how many concurrent loads it can serve at full speed; beyond that number,
// each load takes proportionally longer, so that more of them delay all of them.
type weightStoreBudget struct {
	// startTimes are the start times of the zone's loads within storeRateWindow.
	startTimes []time.Time
	// limit is the number of concurrent loads in all zones; 0 means
	// initialStoreLimit.
	limit int
	// fullSpeedLoads counts the loads at full speed since the limit last changed.
	fullSpeedLoads int
	// zoneLoads are the loads in progress in this zone; otherZoneLoads are those
	// in other zones, as last reported by their owners.
	zoneLoads, otherZoneLoads int
	// excessRatio is how much longer than declared loads take, as a share of the
	// declared time.
	excessRatio float64
}

// mayStart reports whether another load may start. Each zone has an equal share
// of the permitted rate.
func (b *weightStoreBudget) mayStart(now time.Time, e *route.Engine, zoneCount int) bool {
	b.startTimes = timesAfter(b.startTimes, now.Add(-storeRateWindow))
	share := max(int(e.LoadsPerSecond*storeRateWindow.Seconds())/zoneCount, 1)
	return len(b.startTimes) < share && b.inProgress() < b.maxConcurrent()
}

func (b *weightStoreBudget) inProgress() int { return b.zoneLoads + b.otherZoneLoads }

// maxConcurrent returns the limit of concurrent loads in all zones.
func (b *weightStoreBudget) maxConcurrent() int {
	if b.limit == 0 {
		return initialStoreLimit
	}
	return b.limit
}

func (b *weightStoreBudget) loadStarted(now time.Time) {
	b.startTimes = append(b.startTimes, now)
	b.zoneLoads++
}

// expectedDuration returns the expected time of a load, given its declared time.
func (b *weightStoreBudget) expectedDuration(declared time.Duration) time.Duration {
	return declared + time.Duration(b.excessRatio*float64(declared))
}

// loadFinished updates the estimates by a load that ended with the given
// slowdown. peakLoads is the largest number of concurrent loads during it.
func (b *weightStoreBudget) loadFinished(slowdown float64, peakLoads int) {
	b.excessRatio += excessSampleWeight * (min(max(slowdown, 1), maxSlowdown) - 1 - b.excessRatio)
	if slowdown > fullSpeedSlowdown {
		b.lowerLimitIfSaturated(slowdown, peakLoads)
		return
	}
	if peakLoads < b.maxConcurrent() {
		return // it does not show whether the store can serve more
	}
	if b.fullSpeedLoads++; b.fullSpeedLoads >= fullSpeedLoadsToRaise {
		b.limit, b.fullSpeedLoads = b.maxConcurrent()+1, 0
	}
}

// lowerLimitIfSaturated lowers the limit if the slowdown of a load, which may still
// be in progress, shows that the store is saturated.
func (b *weightStoreBudget) lowerLimitIfSaturated(slowdown float64, peakLoads int) {
	capacity := max(int(float64(peakLoads)/slowdown), 1)
	if slowdown > fullSpeedSlowdown && capacity < b.maxConcurrent() {
		b.limit, b.fullSpeedLoads = capacity, 0
	}
}

// expectedWait returns the time until the end of a load that has not started
// yet, given its rank among the loads that have not started; rank 1 starts next.
func (b *weightStoreBudget) expectedWait(rank int, declared time.Duration) time.Duration {
	ahead := max(b.inProgress()+rank-b.maxConcurrent(), 0)
	rounds := 1 + float64(ahead)/float64(b.maxConcurrent())
	return time.Duration(rounds * float64(b.expectedDuration(declared)))
}

// timesAfter returns the times after t. It reuses the array of times.
func timesAfter(times []time.Time, t time.Time) []time.Time {
	kept := times[:0]
	for _, x := range times {
		if x.After(t) {
			kept = append(kept, x)
		}
	}
	return kept
}

// mayUseStore reports whether the model is the next one to load from the weight store.
// A further replica is loaded from there only if the others are full and overloaded,
// because the load occupies the store for long, and if maxOccupiedShare allows it.
func (s *Scheduler) mayUseStore(now time.Time, k modelKey, e *route.Engine) bool {
	st := s.modelState(now, k)
	isFurther := st.ready > 0
	if isFurther && (s.hasFreeSlot(now, k) || !s.isOverloaded(now, k, s.startRate(now, k)) || !s.mayOccupyTarget(now, k.service)) {
		return false
	}
	s.storeWanted[k] = now
	return s.isFirstForStore(now, k, e)
}

// isFirstForStore reports whether no other model in storeWanted, recorded within
// storeWantTime, has more requests per second beyond its replicas. It removes older
// records.
func (s *Scheduler) isFirstForStore(now time.Time, k modelKey, e *route.Engine) bool {
	own := s.unservedRate(now, k, e)
	for other, at := range s.storeWanted {
		if now.Sub(at) > storeWantTime {
			delete(s.storeWanted, other)
			continue
		}
		if other.service == k.service && other != k && s.unservedRate(now, other, e) > own {
			return false
		}
	}
	return true
}

// mayOccupyTarget reports whether another target of the service may be occupied by a
// load from the weight store for a further replica.
func (s *Scheduler) mayOccupyTarget(now time.Time, service string) bool {
	healthy, occupied := 0, 1
	for _, t := range s.sortedTargets {
		if t.info.Service != service || !t.healthy(now) {
			continue
		}
		healthy++
		if t.weightStoreLoad() != nil {
			occupied++
		}
	}
	return float64(occupied) <= maxOccupiedShare*float64(healthy)
}

// unservedRate returns the estimated number of requests per second for the model
// beyond those that its replicas in the zone can serve.
func (s *Scheduler) unservedRate(now time.Time, k modelKey, e *route.Engine) float64 {
	ready, needed := s.modelState(now, k).ready, s.neededReplicas(now, k, e)
	if ready >= needed {
		return 0
	}
	return s.demandOf(k).perSecond(now) * float64(needed-ready) / float64(needed)
}

// SetOtherZoneWeightStoreLoads sets the number of loads from the weight store that
// the other zones have in progress.
func (s *Scheduler) SetOtherZoneWeightStoreLoads(n int) { s.weightStore.otherZoneLoads = n }

// StoreLoads returns the number of loads from the weight store in this zone,
// including those of unconfirmed orders, which may be in progress.
func (s *Scheduler) StoreLoads() int {
	n := 0
	for _, t := range s.sortedTargets {
		if t.weightStoreLoad() != nil {
			n++
		}
	}
	return n
}

// weightStoreLoad returns the load from the weight store that the target carries
// out or may carry out, nil for none.
func (t *target) weightStoreLoad() *Order {
	o := t.order
	if o == nil || o.Operation != Load || o.Adapter != "" || o.Source != FromWeightStore {
		return nil
	}
	return o
}

// updateWeightStoreBudget counts the loads in progress and lowers the limit if one
// of them is overdue.
func (s *Scheduler) updateWeightStoreBudget(now time.Time) {
	s.weightStore.zoneLoads = s.StoreLoads()
	for _, t := range s.sortedTargets {
		if o := t.weightStoreLoad(); o != nil && t.phase == modelLoading {
			t.peakWeightStoreLoads = max(t.peakWeightStoreLoads, s.weightStore.inProgress())
			s.weightStore.lowerLimitIfSaturated(s.slowdown(now, t, o), t.peakWeightStoreLoads)
		}
	}
}

// slowdown returns how long a load has taken so far, as a multiple of the
// declared time.
func (s *Scheduler) slowdown(now time.Time, t *target, o *Order) float64 {
	m := s.modelConfig(modelKey{t.info.Service, o.Model})
	if m == nil || m.WeightStoreLoadTime <= 0 {
		return 0
	}
	return now.Sub(t.orderSince).Seconds() / m.WeightStoreLoadTime.Seconds()
}

// weightStoreLoadFinished updates the estimates by a load that has ended.
func (s *Scheduler) weightStoreLoadFinished(now time.Time, t *target, o *Order) {
	s.weightStore.loadFinished(s.slowdown(now, t, o), t.peakWeightStoreLoads)
}
