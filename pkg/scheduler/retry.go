package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// maxRetryPrediction is the longest RetryAfter that is predicted. The demand further ahead
	// is not known.
	maxRetryPrediction = 8 * time.Second
	// spareHalfLife is the time in which the weight of a grant is halved in the mean rate of a
	// model's grants. It spans a peak of the demand and the time after it: the rate of the peak
	// alone shows no spare capacity.
	spareHalfLife = 15 * time.Second
)

// retryForecast holds what the RetryAfter of a model's refusals is computed from.
type retryForecast struct {
	// grants is the decayed number of grants as of countedAt, counted since firstAt.
	grants             float64
	countedAt, firstAt time.Time
	// due are the times at which requests that were refused may be retried, in ascending order.
	due []time.Time
}

// addGrant counts a grant.
func (f *retryForecast) addGrant(now time.Time) {
	if f.firstAt.IsZero() {
		f.firstAt, f.countedAt = now, now
	}
	f.grants = f.decayedGrants(now) + 1
	f.countedAt = now
}

func (f *retryForecast) decayedGrants(now time.Time) float64 {
	return f.grants * math.Exp2(-now.Sub(f.countedAt).Seconds()/spareHalfLife.Seconds())
}

// grantsPerSecond returns the mean rate of grants. The division by the share that the count
// has reached of its final value is that of demand.perSecond.
func (f *retryForecast) grantsPerSecond(now time.Time) float64 {
	if f.firstAt.IsZero() {
		return 0
	}
	age := max(now.Sub(f.firstAt), minRateAge)
	reachedShare := 1 - math.Exp2(-age.Seconds()/spareHalfLife.Seconds())
	return f.decayedGrants(now) * math.Ln2 / spareHalfLife.Seconds() / reachedShare
}

// after returns the time in which a model that starts perSecond requests has done a number of
// requests, and those that may be retried before, with what its usual demand leaves.
func (f *retryForecast) after(now time.Time, perSecond, requests float64) time.Duration {
	past, _ := slices.BinarySearchFunc(f.due, now, time.Time.Compare)
	f.due = f.due[past:]
	spare := perSecond - f.grantsPerSecond(now)
	if spare <= 0 {
		return maxRetryPrediction
	}
	return time.Duration(min((requests+float64(len(f.due)))/spare, maxRetryPrediction.Seconds()) * float64(time.Second))
}

// promise records that a request may be retried at a time.
func (f *retryForecast) promise(at time.Time) {
	i, _ := slices.BinarySearchFunc(f.due, at, time.Time.Compare)
	f.due = slices.Insert(f.due, i, at)
}

// retryAfter returns the RetryAfter of a request that is refused because its expected wait is
// longer than limit, at a model that starts perSecond requests, 0 if that is not known. Half of the
// time until the deadline, or maxRetryAfter, is left for the retry. The time is predicted where the
// configuration has customers, who compete for the slots.
func (s *Scheduler) retryAfter(now time.Time, w *waiter, perSecond float64, expected, limit time.Duration) time.Duration {
	left := w.Deadline.Sub(now) - minRunTime
	if perSecond <= 0 || !s.hasCustomers() {
		return min(max(expected-left, minRetryAfter), maxRetryAfter)
	}
	f := &s.demandOf(modelKey{w.Service, w.Model}).retries
	after := f.after(now, perSecond, (expected-min(limit, left)).Seconds()*perSecond+1)
	after = max(min(after, max(left/2, maxRetryAfter)), minRetryAfter)
	f.promise(now.Add(after))
	return after
}
