// Package pace holds how long work takes at targets, as a factor of the usual duration: 0.7 is
// faster than usual, 1.7 slower. Targets report the factor themselves. It reads no clock.
package pace

import (
	"math"
	"time"
)

// Bounds of the factor. A target outside them is broken or reports nonsense.
const (
	minFactor = 0.1
	maxFactor = 10
)

// Parameters of the smoothing. Reported factors change many times a second, and a node may see
// one of a target only once in several seconds.
const (
	// priorWeight is the weight of the factor 1 in the lasting part, in reports.
	priorWeight = 1
	// lastingHalfLife is the half-life of the weight of a report in the lasting part.
	lastingHalfLife = 15 * time.Second
	// reportSpacing is the time between two reports from which each counts in full in the
	// lasting part.
	reportSpacing = 500 * time.Millisecond
	// maxWeight bounds the weight of the reports, so that the lasting part follows a change.
	maxWeight = 16
	// deviationTime is the time constant with which the deviation follows the reports.
	deviationTime = 150 * time.Millisecond
	// maxDeviationWeight is the largest weight of a single report in the deviation.
	maxDeviationWeight = 0.7
	// deviationHalfLife is the time in which the deviation halves without reports.
	deviationHalfLife = time.Second
	// maxAge is the age of the last report from which the factor is 1.
	maxAge = 2 * time.Minute
)

// Estimate is the smoothed factor of one target: the sum of a lasting part and a temporary deviation
// from it. The zero value has no report.
type Estimate struct {
	// sum is the weighted sum of the reported factors, weight that of their weights, as of at.
	sum, weight float64
	// deviation is the difference of the factor from the lasting part, as of at.
	deviation float64
	// at is the time of the last report, zero if there is none.
	at time.Time
}

// Observe adds a factor that the target has reported. It ignores one that is not positive.
func (e *Estimate) Observe(now time.Time, factor float64) {
	if !(factor > 0) { // NaN too
		return
	}
	factor = min(max(factor, minFactor), maxFactor)
	recent := e.Factor(now)
	reportWeight, deviationWeight := 1.0, maxDeviationWeight
	if e.Known(now) {
		elapsed := max(now.Sub(e.at), 0)
		reportWeight = min(elapsed.Seconds()/reportSpacing.Seconds(), 1)
		deviationWeight = min(1-math.Exp(-elapsed.Seconds()/deviationTime.Seconds()), maxDeviationWeight)
		decay := halved(elapsed, lastingHalfLife)
		e.sum, e.weight = e.sum*decay, e.weight*decay
	} else {
		*e = Estimate{}
	}
	e.sum += reportWeight * factor
	e.weight += reportWeight
	if e.weight > maxWeight {
		e.sum, e.weight = e.sum*(maxWeight/e.weight), e.weight*(maxWeight/e.weight)
	}
	recent += deviationWeight * (factor - recent)
	if now.After(e.at) {
		e.at = now
	}
	e.deviation = recent - e.Lasting(e.at)
}

// Known reports whether there is a report that is not too old.
func (e *Estimate) Known(now time.Time) bool { return !e.at.IsZero() && now.Sub(e.at) < maxAge }

// Age returns the time since the last report. It says nothing without one.
func (e *Estimate) Age(now time.Time) time.Duration { return max(now.Sub(e.at), 0) }

// Factor returns the factor expected now: 1 without a report, and decaying to 1 with the age of
// the last one.
func (e *Estimate) Factor(now time.Time) float64 {
	if !e.Known(now) {
		return 1
	}
	f := e.Lasting(now) + e.deviation*halved(e.Age(now), deviationHalfLife)
	return min(max(f, minFactor), maxFactor)
}

// Lasting returns the factor without its temporary deviation.
func (e *Estimate) Lasting(now time.Time) float64 {
	if !e.Known(now) {
		return 1
	}
	decay := halved(e.Age(now), lastingHalfLife)
	return (priorWeight + e.sum*decay) / (priorWeight + e.weight*decay)
}

// halved returns the share that is left of something after a time, given its half-life.
func halved(after, halfLife time.Duration) float64 {
	return math.Exp2(-after.Seconds() / halfLife.Seconds())
}
