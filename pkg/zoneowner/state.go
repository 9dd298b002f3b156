package zoneowner

import (
	"maps"
	"slices"
	"time"

	"almondturn/wire"
)

// stateSent is what the nodes were last told of the zone.
type stateSent struct {
	// last is the last state, which changes refer to; nil for none.
	last *wire.ZoneState
	// at is when it was told, wholeAt when a state was last told as a whole.
	at, wholeAt time.Time
}

// BacklogStep is the size of the steps in which a zone's backlog is told and
// compared, so that small differences do not part the requests for one model.
const BacklogStep = 3

// tellState tells the nodes what has changed in the zone, and now and then the
// whole state, in case a message was dropped. It returns the time until the
// next look. o.mu is held.
func (o *Owner) tellState(t *tenure, now time.Time) time.Duration {
	if since := now.Sub(t.state.at); since < stateInterval {
		return stateInterval - since
	}
	before := t.state.last
	state := o.state(t, now)
	whole := before == nil || before.Token != state.Token || now.Sub(t.state.wholeAt) >= stateRefresh
	if !whole && sameState(state, before) {
		return stateRefresh - now.Sub(t.state.wholeAt)
	}
	if before != nil {
		state.Sequence = before.Sequence + 1
	}
	t.state.last, t.state.at = state, now
	o.told.Store(state)
	if whole {
		t.state.wholeAt = now
		o.cfg.Network.Broadcast(state)
	} else {
		o.cfg.Network.Broadcast(before.ChangeTo(state))
	}
	return stateRefresh - now.Sub(t.state.wholeAt)
}

// sameState tells whether nothing has changed that nodes act on.
func sameState(now, before *wire.ZoneState) bool {
	return (now.OrdersAfterMillis == 0) == (before.OrdersAfterMillis == 0) && now.NodeCount == before.NodeCount &&
		now.StoreLoads == before.StoreLoads &&
		now.ConfigurationVersion == before.ConfigurationVersion && now.Backlog/BacklogStep == before.Backlog/BacklogStep &&
		maps.EqualFunc(now.Loaded, before.Loaded, slices.Equal[[]string]) && maps.EqualFunc(now.Full, before.Full, slices.Equal[[]string])
}

// state returns what the nodes are told. o.mu is held.
func (o *Owner) state(t *tenure, now time.Time) *wire.ZoneState {
	summary := t.scheduler.Summary(now)
	m := &wire.ZoneState{
		Zone: o.cfg.Self.Zone, Token: t.token, Loaded: summary.Loaded, Full: summary.Full, Backlog: summary.Backlog,
		ConfigurationVersion: o.cfg.Version(), NodeCount: o.cfg.Network.NodeCount(),
		StoreLoads: summary.StoreLoads,
	}
	boot := o.cfg.BootClock()
	if after := t.ordersFrom.Sub(boot); after > 0 {
		m.OrdersAfterMillis = max(after.Milliseconds(), 1)
	} else if !boot.Before(t.authority.until(boot)) {
		m.OrdersAfterMillis = o.cfg.HandoverDelay.Milliseconds()
	}
	return m
}

// State returns the last state that was told, nil when this node does not own
// its zone.
func (o *Owner) State() *wire.ZoneState { return o.told.Load() }
