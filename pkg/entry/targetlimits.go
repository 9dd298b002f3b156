package entry

import (
	"context"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
	"almondturn/pkg/notices"
	"almondturn/pkg/zoneowner"
	"almondturn/wire"
)

// limitReportInterval is the shortest time between two messages to an owner that a target
// still names the same limit.
const limitReportInterval = 100 * time.Millisecond

// recordLimit records the rate limit of a target, or that it has none, as of a time on the
// clock of the notices, and tells the owner of its zone.
func (n *Node) recordLimit(t *inventory.Target, source string, limit notices.RateLimit, asOf time.Time) {
	before := n.notices.State(noticeKey(t))
	changed := n.notices.RecordLimit(noticeKey(t), limit, asOf)
	if !changed && (!limit.Named || asOf.Sub(before.LimitAsOf) < limitReportInterval) {
		return
	}
	if changed {
		n.applyLimit(noticeKey(t), source, limit, asOf)
	}
	m := &wire.TargetLimits{Limits: []wire.TargetLimit{limitMessage(noticeKey(t), limit, n.notices.Now().Sub(asOf))}}
	switch {
	case t.Zone != n.self.Zone || !n.owner.IsOwner():
		n.links.sendToOwner(t.Zone, m)
	case changed:
		n.links.Broadcast(m)
	}
}

// applyLimit logs a limit that has changed, and puts it in force at this node.
func (n *Node) applyLimit(k notices.Key, source string, limit notices.RateLimit, asOf time.Time) {
	n.metrics.countNotice("limit", source)
	if !limit.Named {
		n.shares.remove(k)
		event.TargetLimitEnds.Log(n.log).Str("target", k.Target).Int64("incarnation", k.Incarnation).Str("source", source).Send()
		n.owner.RemoveTargetLimit(k.Target, k.Incarnation)
		return
	}
	event.TargetLimits.Log(n.log).Str("target", k.Target).Int64("incarnation", k.Incarnation).Str("source", source).
		Float64("per_second", limit.PerSecond).Dur("age_ms", n.notices.Now().Sub(asOf)).Send()
	n.owner.SetTargetLimit(zoneowner.TargetLimit{Target: k.Target, Incarnation: k.Incarnation, PerSecond: limit.PerSecond})
}

// unheardLimitTime is how long the limit of a target that is not listed is kept. The list may
// lack a target for a moment that is still there.
const unheardLimitTime = 10 * time.Minute

// forgetLimits ends the limits of targets that are gone.
func (n *Node) forgetLimits() {
	set, now := n.targetSet.Load(), n.notices.Now()
	for k, s := range n.notices.Limits() {
		listed := set != nil && set.Target(k.Target) != nil && set.Target(k.Target).Incarnation == k.Incarnation
		if !listed && now.Sub(s.LimitAsOf) > unheardLimitTime && n.notices.RecordLimit(k, notices.RateLimit{}, now) {
			n.applyLimit(k, noticeFromList, notices.RateLimit{}, now)
		}
	}
}

// limitMessage returns the entry of a message about a limit that is as of an age ago.
func limitMessage(k notices.Key, limit notices.RateLimit, age time.Duration) wire.TargetLimit {
	return wire.TargetLimit{Target: k.Target, Incarnation: k.Incarnation, Named: limit.Named, PerSecond: limit.PerSecond, AgeMillis: max(age.Milliseconds(), 0)}
}

// receiveLimits records limits that another node has heard of. An owner relays those that
// have changed.
func (n *Node) receiveLimits(from fleet.NodeID, m *wire.TargetLimits) {
	changed := new(wire.TargetLimits)
	for _, l := range m.Limits {
		k := notices.Key{Target: l.Target, Incarnation: l.Incarnation}
		limit := notices.RateLimit{Named: l.Named, PerSecond: l.PerSecond}
		asOf := n.notices.Now().Add(-time.Duration(l.AgeMillis) * time.Millisecond)
		if !n.notices.RecordLimit(k, limit, asOf) {
			continue
		}
		n.applyLimit(k, noticeFromNode, limit, asOf)
		changed.Limits = append(changed.Limits, l)
	}
	if len(changed.Limits) > 0 && n.owner.IsOwner() {
		n.links.Broadcast(changed)
	}
}

// targetLimits returns all limits in force, nil if there is none.
func (n *Node) targetLimits() *wire.TargetLimits {
	limits := n.notices.Limits()
	if len(limits) == 0 {
		return nil
	}
	m := new(wire.TargetLimits)
	for k, s := range limits {
		m.Limits = append(m.Limits, limitMessage(k, s.Limit, n.notices.Now().Sub(s.LimitAsOf)))
	}
	return m
}

// reservePermit reserves a request at a target of a plain service with a limit after a wait
// of at most most: from the owner of its zone, or from this node's share if no owner
// responds. If that is too short, it returns the wait and false.
func (n *Node) reservePermit(ctx context.Context, t *inventory.Target, limit notices.RateLimit, most time.Duration) (wait time.Duration, ok bool) {
	if !limit.Named {
		return 0, true
	}
	m := &wire.PermitRequest{Target: t.ID, Incarnation: t.Incarnation, MaxWaitMillis: most.Milliseconds()}
	if r := n.links.requestPermit(ctx, t.Zone, m); r != nil && !r.NotOwner {
		return time.Duration(r.WaitMillis) * time.Millisecond, r.Granted
	}
	return n.shares.reserve(noticeKey(t), limit, most)
}

// permitTimeout bounds the wait for an owner's response to a request for a permit.
const permitTimeout = 150 * time.Millisecond

// requestPermit requests a permit from the owner of a zone, which may be this node. It
// returns nil if the owner does not respond.
func (l *links) requestPermit(ctx context.Context, zone fleet.Zone, m *wire.PermitRequest) *wire.PermitResponse {
	if zone == l.node.self.Zone && l.node.owner.IsOwner() {
		return l.node.owner.ReservePermit(m)
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	r, err := callOwner[*wire.PermitResponse](ctx, l, zone, m)
	if err != nil {
		return nil
	}
	return r
}
