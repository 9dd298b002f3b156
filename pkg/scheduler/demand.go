package scheduler

import (
	"math"
	"time"
)

// demandHalfLife is the time in which the weight of a request is halved.
const demandHalfLife = 5 * time.Second

// Estimates of the duration of a run.
const (
	// defaultRunDuration applies to a model until its first run has completed.
	defaultRunDuration = 2 * time.Second
	// durationSampleWeight is the weight of the last run in the mean duration.
	durationSampleWeight = 0.1
)

// demand holds the recent rate of requests for one model, as an exponentially
// decaying count, and statistics of its runs.
type demand struct {
	count     float64
	countedAt time.Time
	// firstAt is the time of the first request, since which the count has grown.
	firstAt time.Time
	// meanDuration is the mean duration of a run at the usual pace.
	meanDuration time.Duration
	// latencyRatio is a moving average of the time to the first event, as a share
	// of the latency objective and at most 1. The time is counted from the grant,
	// or from run.pacedSince if that is set. scaleUp lowers the average to at
	// most quickStartRatio when it calls for another replica.
	latencyRatio float64
	// prefill estimates the model's prefill time per token.
	prefill prefillEstimate
	// idleSince is when the last run ended, zero once the keep-alive policy has
	// received the idle gap.
	idleSince time.Time
	// retries predicts when a refused request may be retried.
	retries retryForecast
}

// latencySampleWeight is the weight of the last run in latencyRatio.
const latencySampleWeight = 0.12

// observeStart adds the time to a run's first event to latencyRatio. The sample
// is at most 1. Runs without a latency objective have no effect.
func (d *demand) observeStart(took, objective time.Duration) {
	if objective <= 0 {
		return
	}
	d.latencyRatio += latencySampleWeight * (min(took.Seconds()/objective.Seconds(), 1) - d.latencyRatio)
}

// observeEnd adds the duration of a run to the mean.
func (d *demand) observeEnd(took time.Duration) {
	if d.meanDuration == 0 {
		d.meanDuration = took
		return
	}
	d.meanDuration += time.Duration(durationSampleWeight * float64(took-d.meanDuration))
}

// runDuration returns the mean duration of a run at the usual pace.
func (d *demand) runDuration() time.Duration {
	if d.meanDuration == 0 {
		return defaultRunDuration
	}
	return d.meanDuration
}

// addRequest counts a request.
func (d *demand) addRequest(now time.Time) {
	d.count = d.decayedCount(now) + 1
	d.countedAt = now
	if d.firstAt.IsZero() {
		d.firstAt = now
	}
}

// decayedCount returns the count as decayed until now.
func (d *demand) decayedCount(now time.Time) float64 {
	if d.countedAt.IsZero() {
		return 0
	}
	return d.count * math.Exp2(-now.Sub(d.countedAt).Seconds()/demandHalfLife.Seconds())
}

// minRateAge is the shortest time over which a rate is computed. It prevents the
// first requests from counting as a high rate.
const minRateAge = time.Second

// perSecond returns the rate of requests. Shortly after the first request, the
// decayed count underestimates the rate. Dividing it by the share of its final
// value that it would have reached at a constant rate corrects for this.
func (d *demand) perSecond(now time.Time) float64 {
	age := max(now.Sub(d.firstAt), minRateAge)
	reachedShare := 1 - math.Exp2(-age.Seconds()/demandHalfLife.Seconds())
	return d.decayedCount(now) * math.Ln2 / demandHalfLife.Seconds() / reachedShare
}

// demandOf returns the demand for a model and creates it on first use.
func (s *Scheduler) demandOf(k modelKey) *demand {
	d := s.demand[k]
	if d == nil {
		d = new(demand)
		s.demand[k] = d
	}
	return d
}
