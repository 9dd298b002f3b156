package scheduler

import (
	"time"

	"almondturn/pkg/pace"
)

// Pacing of prompts. A target prefills the prompts of new runs between the tokens
// of those in progress, so that many prompts at a time delay the events of all
// its streams. Within one maximum event interval, a target gets no more prompts
// than it prefills in a share of that interval.
const (
	// prefillShare is the share of the maximum event interval that prefill may
	// take; the remainder is for the tokens of one event.
	prefillShare = 0.6
	// minPrefillSamples is the smallest total weight of samples that gives an
	// estimate.
	minPrefillSamples = 20
	// prefillSampleDecay is the factor by which each new sample reduces the
	// weight of the earlier ones.
	prefillSampleDecay = 0.99
	// maxPrefillSampleRatio bounds a sample, as a multiple of the estimate. The
	// time of a stalled target says nothing about prefill.
	maxPrefillSampleRatio = 2
	// medianStep is the relative step by which a sample moves the running median.
	medianStep = 0.05
)

// prefillEstimate estimates the prefill time per token, by a weighted linear
// regression of the time to a run's first event over the number of prompt tokens
// waiting for prefill when it was granted. Its fields are the weighted sums of
// the samples: n of 1, x of tokens, y of seconds, xx and xy of their products.
//
// Prompts granted later share the target's prefill, so that at a busy target the
// regression overestimates. The estimate is therefore at most medianPerToken, the
// running median of the seconds per pending token, which includes the fixed part of
// the time and so is an upper bound wherever runs don't compete.
type prefillEstimate struct {
	n, x, y, xx, xy float64
	medianPerToken  float64
}

// addSample adds the time from the grant to the first event of a run.
func (e *prefillEstimate) addSample(pendingTokens int, took time.Duration) {
	if pendingTokens <= 0 {
		return
	}
	x, y := float64(pendingTokens), took.Seconds()
	if secondsPerToken := e.secondsPerToken(); secondsPerToken > 0 {
		fixed := (e.y - secondsPerToken*e.x) / e.n
		y = min(y, maxPrefillSampleRatio*max(fixed+secondsPerToken*x, 0))
	}
	e.addToMedian(y / x)
	e.n = e.n*prefillSampleDecay + 1
	e.x = e.x*prefillSampleDecay + x
	e.y = e.y*prefillSampleDecay + y
	e.xx = e.xx*prefillSampleDecay + x*x
	e.xy = e.xy*prefillSampleDecay + x*y
}

// addToMedian moves the running median by one step towards a sample.
func (e *prefillEstimate) addToMedian(perToken float64) {
	switch {
	case e.medianPerToken == 0:
		e.medianPerToken = perToken
	case perToken > e.medianPerToken:
		e.medianPerToken *= 1 + medianStep
	default:
		e.medianPerToken /= 1 + medianStep
	}
}

// secondsPerToken returns the estimate in seconds, 0 as long as there are too few
// samples.
func (e *prefillEstimate) secondsPerToken() float64 {
	spread := float64(e.n*e.xx) - float64(e.x*e.x) // rounded products: equal samples have no spread on any architecture
	if e.n < minPrefillSamples || spread <= 0 {
		return 0
	}
	return min(max((float64(e.n*e.xy)-float64(e.x*e.y))/spread, 0), e.medianPerToken)
}

// recordPrefill adds a sample for a model and for its service.
func (s *Scheduler) recordPrefill(k modelKey, pendingTokens int, took time.Duration) {
	s.demandOf(k).prefill.addSample(pendingTokens, took)
	serviceEstimate := s.prefill[k.service]
	if serviceEstimate == nil {
		serviceEstimate = new(prefillEstimate)
		s.prefill[k.service] = serviceEstimate
	}
	serviceEstimate.addSample(pendingTokens, took)
}

// prefillTime returns the expected prefill time of a prompt at the usual pace. It is estimated by
// all samples of the service if the model has too few.
func (s *Scheduler) prefillTime(k modelKey, tokens int) time.Duration {
	secondsPerToken := s.demandOf(k).prefill.secondsPerToken()
	if serviceEstimate := s.prefill[k.service]; secondsPerToken == 0 && serviceEstimate != nil {
		secondsPerToken = serviceEstimate.secondsPerToken()
	}
	return time.Duration(secondsPerToken * float64(tokens) * float64(time.Second))
}

// grantedPrompt is the prompt of a run granted at a target, with its prefill time at the
// usual pace.
type grantedPrompt struct {
	grantedAt time.Time
	prefill   time.Duration
}

// recordEventInterval stores the maximum event interval of a request if it is the
// shortest of its service; 0 means no limit.
func (s *Scheduler) recordEventInterval(service string, interval time.Duration) {
	if interval <= 0 {
		return
	}
	if current, ok := s.eventIntervals[service]; !ok || interval < current {
		s.eventIntervals[service] = interval
	}
}

// exceedsPrefillBudget reports whether the prompt of a request would delay the
// events of the target's streams too much. The caller does not check targets
// without runs, because they have no streams to delay. A target without recent prompts takes
// any prompt, because a single one cannot be spread over time. Prompts that were
// granted more than one interval ago are removed from t.recentPrompts.
func (s *Scheduler) exceedsPrefillBudget(now time.Time, t *target, w *waiter) bool {
	interval := s.eventIntervals[w.Service]
	t.removePromptsBefore(now.Add(-interval))
	if interval <= 0 || len(t.recentPrompts) == 0 {
		return false
	}
	total := s.prefillTime(modelKey{w.Service, w.Model}, w.InputTokens)
	for _, p := range t.recentPrompts {
		total += p.prefill
	}
	return s.timeAt(now, t, total) > time.Duration(prefillShare*float64(interval))
}

// prefillTurn returns the share of the maximum event interval that one prompt like
// the request's takes of a replica's prefill budget: the interval divided by the
// number of such prompts that the budget allows in it, which is at least 1.
func (s *Scheduler) prefillTurn(now time.Time, w *waiter) time.Duration {
	interval := s.eventIntervals[w.Service]
	k := modelKey{w.Service, w.Model}
	own := s.timeAtReplicas(now, k, s.prefillTime(k, w.InputTokens), (*pace.Estimate).Factor)
	if own <= 0 {
		return 0
	}
	return interval / max(time.Duration(prefillShare*float64(interval))/own, 1)
}

// removePromptsBefore removes the prompts that were granted before the given time.
func (t *target) removePromptsBefore(before time.Time) {
	n := 0
	for n < len(t.recentPrompts) && t.recentPrompts[n].grantedAt.Before(before) {
		n++
	}
	t.recentPrompts = t.recentPrompts[n:]
}
