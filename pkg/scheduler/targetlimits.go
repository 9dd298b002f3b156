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
// of its slots are in use, at most the limit of its target.
func (s *Scheduler) startsPerSecond(t *target, slots int, runDuration time.Duration) float64 {
	rate := float64(slots) / runDuration.Seconds()
	if l := s.limitOf(t); l != nil {
		return min(rate, l.perSecond*s.limitShare)
	}
	return rate
}
