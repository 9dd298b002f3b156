package scheduler

import (
	"time"

	"almondturn/pkg/ratelimit"
)

// targetLimit is the rate limit that a target has named.
type targetLimit struct {
	incarnation int64
	perSecond   float64
	bucket      *ratelimit.Bucket
}

// SetTargetLimit sets the number of requests a second that an incarnation of a target takes
// from all nodes together. It also counts for targets that the scheduler does not know, such
// as those of plain services. A limit that is new to the scheduler begins without places.
func (s *Scheduler) SetTargetLimit(now time.Time, target string, incarnation int64, perSecond float64) {
	l := s.targetLimits[target]
	if l == nil || l.incarnation != incarnation {
		l = &targetLimit{incarnation: incarnation, bucket: ratelimit.New(now, perSecond)}
		s.targetLimits[target] = l
	}
	l.perSecond = perSecond
	l.bucket.SetRate(now, perSecond, s.limitShare)
}

// RemoveTargetLimit ends the limit of an incarnation of a target.
func (s *Scheduler) RemoveTargetLimit(target string, incarnation int64) {
	if l := s.targetLimits[target]; l != nil && l.incarnation == incarnation {
		delete(s.targetLimits, target)
	}
}

// SetLimitShare sets the share of all limits that this scheduler gives, from 0 to 1.
func (s *Scheduler) SetLimitShare(now time.Time, share float64) {
	if s.limitShare == share {
		return
	}
	s.limitShare = share
	for _, l := range s.targetLimits {
		l.bucket.SetRate(now, l.perSecond, share)
	}
}

// ReservePermit reserves a request at an incarnation of a target, which may be one of a
// plain service, after a wait of at most maxWait. If that is too short, it returns the wait
// and false. A target without a limit is not waited for.
func (s *Scheduler) ReservePermit(now time.Time, target string, incarnation int64, maxWait time.Duration) (wait time.Duration, ok bool) {
	l := s.targetLimits[target]
	if l == nil || l.incarnation != incarnation {
		return 0, true
	}
	return l.bucket.Reserve(now, maxWait)
}

// limitOf returns the limit of a target, nil if it has none.
func (s *Scheduler) limitOf(t *target) *targetLimit {
	l := s.targetLimits[t.info.ID]
	if l == nil || l.incarnation != t.info.Incarnation {
		return nil
	}
	return l
}

// limitAllows reports whether the limit of a target allows a request now.
func (s *Scheduler) limitAllows(now time.Time, t *target) bool {
	l := s.limitOf(t)
	return l == nil || l.bucket.Wait(now) == 0
}

// takeFromLimit counts a request that is granted at a target.
func (s *Scheduler) takeFromLimit(now time.Time, t *target) {
	if l := s.limitOf(t); l != nil {
		l.bucket.Take(now)
	}
}

// returnToLimit takes back a request that was granted at a target and not sent.
func (s *Scheduler) returnToLimit(now time.Time, t *target, o Outcome) {
	if l := s.limitOf(t); l != nil && (o == Unreachable || o == NotSent) {
		l.bucket.GiveBack(now)
	}
}

// startsPerSecond returns the number of requests a second that a replica starts while slots
// of its slots are in use. limited is true if the limit of its target allows fewer; it is
// that limit then.
func (s *Scheduler) startsPerSecond(t *target, slots int, runDuration time.Duration) (rate float64, limited bool) {
	rate = float64(slots) / runDuration.Seconds()
	if l := s.limitOf(t); l != nil && l.perSecond*s.limitShare < rate {
		return l.perSecond * s.limitShare, true
	}
	return rate, false
}

// unlimitedReplicas returns the number of the model's ready replicas at targets without a
// limit.
func (s *Scheduler) unlimitedReplicas(now time.Time, k modelKey) int {
	n := 0
	for _, t := range s.targetsByModel[k] {
		if t.healthy(now) && t.isReady(k.model) && s.limitOf(t) == nil {
			n++
		}
	}
	return n
}

// limitsDemand reports whether limits of targets keep the replicas of the model from starting
// as many requests as there is demand for.
func (s *Scheduler) limitsDemand(now time.Time, k modelKey) bool {
	anyLimited, perSecond := false, 0.0
	d := s.demandOf(k)
	demand := d.perSecond(now)
	for _, t := range s.targetsByModel[k] {
		if !t.healthy(now) || !t.isReady(k.model) {
			continue
		}
		rate, limited := s.startsPerSecond(t, s.slots(t), d.runDuration())
		if limited {
			anyLimited = true
			rate *= demand / max(s.demandAt(now, t), demand)
		}
		perSecond += rate
	}
	return anyLimited && demand > perSecond
}

// demandAt returns the requests per second for the models of a target, which share its
// limit.
func (s *Scheduler) demandAt(now time.Time, t *target) float64 {
	sum := 0.0
	for name := range t.replicas {
		sum += s.demandOf(modelKey{t.info.Service, name}).perSecond(now)
	}
	return sum
}
