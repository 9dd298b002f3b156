package scheduler

import (
	"math"
	"time"
)

// demandHalfLife is the time in which an old request counts half as much.
const demandHalfLife = 5 * time.Second

// Estimates of the duration of a run.
const (
	// defaultDuration stands for a model of which no run has ended yet.
	defaultDuration = 2 * time.Second
	// durationStep is the weight of the last run in the mean duration.
	durationStep = 0.1
)

// demand is the recent rate of requests for one model, as an exponentially
// weighted count.
type demand struct {
	count float64
	at    time.Time
	// first is the time of the first request; the count has grown since.
	first time.Time
	mean  time.Duration
	// latency is the mean time from a grant to the first event, as a share
	// of the latency objective.
	latency float64
	// reading is the time that prompts take to be read.
	reading readingTime
	// idleSince is when the last run ended, zero once the gap was learned.
	idleSince time.Time
}

// latencyStep is the weight of the last run in the mean latency.
const latencyStep = 0.12

// began learns from the time until a run's first event.
func (d *demand) began(took, objective time.Duration) {
	if objective <= 0 {
		return
	}
	d.latency += latencyStep * (min(took.Seconds()/objective.Seconds(), 1) - d.latency)
}

// ended learns from the duration of a run.
func (d *demand) ended(took time.Duration) {
	if d.mean == 0 {
		d.mean = took
		return
	}
	d.mean += time.Duration(durationStep * float64(took-d.mean))
}

// duration returns the mean duration of a run.
func (d *demand) duration() time.Duration {
	if d.mean == 0 {
		return defaultDuration
	}
	return d.mean
}

func (d *demand) add(now time.Time) {
	d.count = d.decayed(now) + 1
	d.at = now
	if d.first.IsZero() {
		d.first = now
	}
}

func (d *demand) decayed(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.count * math.Exp2(-now.Sub(d.at).Seconds()/demandHalfLife.Seconds())
}

// leastAge keeps the first requests from counting as a high rate.
const leastAge = time.Second

// perSecond returns the rate of requests. While the count is younger than the
// half-life, it is scaled to what it would be by then.
func (d *demand) perSecond(now time.Time) float64 {
	age := max(now.Sub(d.first), leastAge)
	grown := 1 - math.Exp2(-age.Seconds()/demandHalfLife.Seconds())
	return d.decayed(now) * math.Ln2 / demandHalfLife.Seconds() / grown
}

func (s *Scheduler) demandOf(k modelKey) *demand {
	d := s.demand[k]
	if d == nil {
		d = new(demand)
		s.demand[k] = d
	}
	return d
}
