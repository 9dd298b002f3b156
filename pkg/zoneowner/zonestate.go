package zoneowner

import (
	"maps"
	"slices"
	"time"

	"almondturn/wire"
)

// sentState is the zone state that was last broadcast to the nodes.
type sentState struct {
	// zoneState is the last state, to which the next change refers; nil for
	// none.
	zoneState *wire.ZoneState
	// at is when a state or a change was last broadcast, fullAt when a full
	// state was.
	at, fullAt time.Time
}

// BacklogStep is the unit, in models, in which backlogs of zones are compared,
// rounded down. A change within one step is broadcast only with the next full
// state or with another change, and does not make one zone preferable to
// another, so that small differences do not spread the requests for one model
// over several zones.
const BacklogStep = 3

// broadcastState broadcasts the changes of the zone state, and the full state
// every fullStateInterval in case a message was dropped. It returns the time
// until it has to be called again. o.mu must be held.
func (o *Owner) broadcastState(t *term, now time.Time) time.Duration {
	if since := now.Sub(t.sent.at); since < minBroadcastInterval {
		return minBroadcastInterval - since
	}
	previous := t.sent.zoneState
	state := o.currentZoneState(t, now)
	full := previous == nil || previous.Token != state.Token || now.Sub(t.sent.fullAt) >= fullStateInterval
	if !full && equalZoneState(state, previous) {
		return fullStateInterval - now.Sub(t.sent.fullAt)
	}
	if previous != nil {
		state.Sequence = previous.Sequence + 1
	}
	t.sent.zoneState, t.sent.at = state, now
	o.lastSent.Store(state)
	if full {
		t.sent.fullAt = now
		o.cfg.Network.Broadcast(state)
	} else {
		o.cfg.Network.Broadcast(previous.ChangeTo(state))
	}
	return fullStateInterval - now.Sub(t.sent.fullAt)
}

// equalZoneState reports whether two states agree in everything that nodes act
// on: OrdersAfterMillis is compared only as zero or not, and Backlog in steps of
// BacklogStep.
func equalZoneState(current, previous *wire.ZoneState) bool {
	return (current.OrdersAfterMillis == 0) == (previous.OrdersAfterMillis == 0) && current.NodeCount == previous.NodeCount &&
		current.WeightStoreLoads == previous.WeightStoreLoads &&
		current.ConfigurationVersion == previous.ConfigurationVersion && current.Backlog/BacklogStep == previous.Backlog/BacklogStep &&
		maps.EqualFunc(current.Loaded, previous.Loaded, slices.Equal[[]string]) && maps.EqualFunc(current.Full, previous.Full, slices.Equal[[]string])
}

// currentZoneState returns the zone state to broadcast, without a sequence
// number. o.mu must be held.
func (o *Owner) currentZoneState(t *term, now time.Time) *wire.ZoneState {
	summary := t.scheduler.Summary(now)
	m := &wire.ZoneState{
		Zone: o.cfg.Self.Zone, Token: uint64(t.token), Loaded: summary.Loaded, Full: summary.Full, Backlog: summary.Backlog,
		ConfigurationVersion: o.cfg.ConfigurationVersion(), NodeCount: o.cfg.Network.NodeCount(),
		WeightStoreLoads: summary.WeightStoreLoads,
	}
	boot := o.cfg.BootClock()
	if after := t.ordersFrom.Sub(boot); after > 0 {
		m.OrdersAfterMillis = max(after.Milliseconds(), 1)
	} else if !boot.Before(t.authority.validUntil(boot)) {
		// The authority has ended. A node that acquires the zone now has to
		// wait for about the handover delay.
		m.OrdersAfterMillis = o.cfg.HandoverDelay.Milliseconds()
	}
	return m
}

// LastZoneState returns the last zone state that was broadcast, nil if this
// node does not own its zone.
func (o *Owner) LastZoneState() *wire.ZoneState { return o.lastSent.Load() }

// LastZoneStateAge returns how long ago LastZoneState was broadcast, and false if there is none.
func (o *Owner) LastZoneStateAge(now time.Time) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil || o.term.sent.zoneState == nil {
		return 0, false
	}
	return now.Sub(o.term.sent.at), true
}
