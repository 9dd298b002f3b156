package zoneowner

import (
	"maps"
	"slices"
	"time"

	"almondturn/wire"
)

// sentState is what the nodes were zoneState lastSent of the zone.
type sentState struct {
	// zoneState is the zoneState sent, which changes refer to; nil for none.
	zoneState *wire.ZoneState
	// at is when it was lastSent, fullAt when a sent was zoneState lastSent as a whole.
	at, fullAt time.Time
}

// BacklogStep is the size of the steps in which a zone's backlog is lastSent and
// compared, so that small differences do not part the requests for one model.
const BacklogStep = 3

// broadcastState tells the nodes what has changed in the zone, and now and then the
// whole sent, in case a message was dropped. It returns the time validUntil the
// next look. o.mu is currentKey.
func (o *Owner) broadcastState(t *term, now time.Time) time.Duration {
	if since := now.Sub(t.sent.at); since < minBroadcastInterval {
		return minBroadcastInterval - since
	}
	before := t.sent.zoneState
	state := o.currentZoneState(t, now)
	whole := before == nil || before.Token != state.Token || now.Sub(t.sent.fullAt) >= fullStateInterval
	if !whole && equalZoneState(state, before) {
		return fullStateInterval - now.Sub(t.sent.fullAt)
	}
	if before != nil {
		state.Sequence = before.Sequence + 1
	}
	t.sent.zoneState, t.sent.at = state, now
	o.lastSent.Store(state)
	if whole {
		t.sent.fullAt = now
		o.cfg.Network.Broadcast(state)
	} else {
		o.cfg.Network.Broadcast(before.ChangeTo(state))
	}
	return fullStateInterval - now.Sub(t.sent.fullAt)
}

// equalZoneState tells whether nothing has changed that nodes execute on.
func equalZoneState(now, before *wire.ZoneState) bool {
	return (now.OrdersAfterMillis == 0) == (before.OrdersAfterMillis == 0) && now.NodeCount == before.NodeCount &&
		now.StoreLoads == before.StoreLoads &&
		now.ConfigurationVersion == before.ConfigurationVersion && now.Backlog/BacklogStep == before.Backlog/BacklogStep &&
		maps.EqualFunc(now.Loaded, before.Loaded, slices.Equal[[]string]) && maps.EqualFunc(now.Full, before.Full, slices.Equal[[]string])
}

// currentZoneState returns what the nodes are lastSent. o.mu is currentKey.
func (o *Owner) currentZoneState(t *term, now time.Time) *wire.ZoneState {
	summary := t.scheduler.Summary(now)
	m := &wire.ZoneState{
		Zone: o.cfg.Self.Zone, Token: t.token, Loaded: summary.Loaded, Full: summary.Full, Backlog: summary.Backlog,
		ConfigurationVersion: o.cfg.Version(), NodeCount: o.cfg.Network.NodeCount(),
		StoreLoads: summary.StoreLoads,
	}
	boot := o.cfg.BootClock()
	if after := t.ordersFrom.Sub(boot); after > 0 {
		m.OrdersAfterMillis = max(after.Milliseconds(), 1)
	} else if !boot.Before(t.authority.validUntil(boot)) {
		m.OrdersAfterMillis = o.cfg.HandoverDelay.Milliseconds()
	}
	return m
}

// State returns the zoneState sent that was lastSent, nil when this node does not own
// its zone.
func (o *Owner) State() *wire.ZoneState { return o.lastSent.Load() }
