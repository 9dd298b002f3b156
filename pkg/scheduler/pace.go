package scheduler

import (
	"time"

	"almondturn/pkg/pace"
)

// paceScoreWeight is the number of seconds that a replica at a target with a lasting duration
// factor of 2 costs in the score of a load: less than a load from disk takes.
const paceScoreWeight = 1.0

// ObservePace records how long work takes at the target of a run, in percent of the usual, as the
// target has reported it; 0 means that it has not. It has no effect on unknown runs, and on
// those that have started: their start has brought the pace.
func (s *Scheduler) ObservePace(now time.Time, id RunID, percent int) {
	r := s.runs[id]
	if r == nil || r.started || percent <= 0 {
		return
	}
	if t := s.targets[r.target]; t != nil {
		t.pace.Observe(now, float64(percent)/100)
		s.reportsPace = true
	}
}

// factor returns the duration factor of a target, 1 if it reports none.
func (s *Scheduler) factor(now time.Time, t *target) float64 {
	if !s.reportsPace {
		return 1
	}
	return t.pace.Factor(now)
}

// scaled returns a time multiplied by a factor. The factor 1 changes nothing.
func scaled(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// timeAt returns how long work that takes d at the usual pace takes at a target.
func (s *Scheduler) timeAt(now time.Time, t *target, d time.Duration) time.Duration {
	return scaled(d, s.factor(now, t))
}

// sustainedTimeAt is timeAt for work over several seconds: a target that is temporarily faster than
// its lasting factor counts with the lasting one.
func (s *Scheduler) sustainedTimeAt(now time.Time, t *target, d time.Duration) time.Duration {
	if !s.reportsPace {
		return d
	}
	return scaled(d, max(t.pace.Factor(now), t.pace.Lasting(now)))
}

// timeAtReplicas returns how long work that takes d at the usual pace takes at the ready
// replicas of a model together: the harmonic mean, because each serves as many requests as it can.
func (s *Scheduler) timeAtReplicas(now time.Time, k modelKey, d time.Duration, factor func(*pace.Estimate, time.Time) float64) time.Duration {
	if !s.reportsPace {
		return d
	}
	ready, speed := 0.0, 0.0
	for _, t := range s.targetsByModel[k] {
		if t.healthy(now) && t.isReady(k.model) {
			ready++
			speed += 1 / factor(&t.pace, now)
		}
	}
	if ready == 0 {
		return d
	}
	return scaled(d, ready/speed)
}

// usualTime returns the time since the grant of a run as it would be at the usual pace.
func (s *Scheduler) usualTime(now time.Time, t *target, r *run) time.Duration {
	factor := s.factor(now, t)
	if r.factor > 0 {
		factor = (factor + r.factor) / 2 // it may have changed since the grant
	}
	return scaled(now.Sub(r.grantedAt), 1/factor)
}

// startCost is what the targets for a request are compared by: the work in progress at the
// target, in runs. If targets report their pace, it is the expected time of that work and of the
// request's own prompt, in units of one run at the usual pace.
func (s *Scheduler) startCost(now time.Time, t *target, w *waiter) float64 {
	if !s.reportsPace {
		return float64(t.workload())
	}
	own := 1 + w.InputTokens/prefillTokensPerRun
	return s.factor(now, t) * float64(t.workload()+own)
}

// paceScore returns what a slow target adds to the score of a load; it is negative for a fast
// one. Its temporary pace says nothing about the time after the load.
func (s *Scheduler) paceScore(now time.Time, t *target) float64 {
	if !s.reportsPace {
		return 0
	}
	return paceScoreWeight * (t.pace.Lasting(now) - 1)
}

// Paces returns the duration factors of the targets that report their pace, at most limit of
// them, in the order of their identifiers.
func (s *Scheduler) Paces(now time.Time, limit int) []pace.TargetFactor {
	var out []pace.TargetFactor
	for _, t := range s.sortedTargets {
		if len(out) < limit && t.pace.Known(now) {
			out = append(out, pace.TargetFactor{Target: t.info.ID, Factor: t.pace.Factor(now), Age: t.pace.Age(now)})
		}
	}
	return out
}
