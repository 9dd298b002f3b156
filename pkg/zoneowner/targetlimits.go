package zoneowner

import (
	"time"

	"almondturn/pkg/ratelimit"
	"almondturn/wire"
)

// TargetLimit is the rate limit that an incarnation of a target has named.
type TargetLimit struct {
	Target      string
	Incarnation int64
	PerSecond   float64
}

// SetTargetLimit records the limit of a target, of a plain service or with models. Limits
// outlast terms; each term begins without places.
func (o *Owner) SetTargetLimit(l TargetLimit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits[l.Target] = l
	if o.term != nil {
		o.term.scheduler.SetTargetLimit(time.Now(), l.Target, l.Incarnation, l.PerSecond)
	}
	o.wakeScheduler()
}

// RemoveTargetLimit ends the limit of an incarnation of a target.
func (o *Owner) RemoveTargetLimit(target string, incarnation int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.limits[target].Incarnation == incarnation {
		delete(o.limits, target)
	}
	if o.term != nil {
		o.term.scheduler.RemoveTargetLimit(target, incarnation)
	}
	o.wakeScheduler()
}

// ReservePermit reserves a request at a target of a plain service within its limit, as
// scheduler.ReservePermit. The response has NotOwner set if this node does not own the zone.
func (o *Owner) ReservePermit(m *wire.PermitRequest) *wire.PermitResponse {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return &wire.PermitResponse{NotOwner: true}
	}
	now := time.Now()
	o.term.scheduler.SetLimitShare(now, o.limitShare(o.term))
	wait, ok := o.term.scheduler.ReservePermit(now, m.Target, m.Incarnation, time.Duration(m.MaxWaitMillis)*time.Millisecond)
	return &wire.PermitResponse{Granted: ok, WaitMillis: ceilMillis(wait)}
}

// ceilMillis returns a duration in milliseconds, rounded up.
func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// limitShare returns the share of the limits of targets that the owner gives: all, unless
// its authority has ended and another node may own the zone. o.mu must be held.
func (o *Owner) limitShare(t *term) float64 {
	if boot := o.cfg.BootClock(); !boot.Before(t.authority.validUntil(boot)) {
		return ratelimit.WithoutAuthority
	}
	return 1
}
