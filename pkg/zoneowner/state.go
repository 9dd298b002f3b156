package zoneowner

import (
	"maps"
	"slices"
	"time"

	"almondturn/wire"
)

// stateSent is the last broadcast of a zone's state.
type stateSent struct {
	at     time.Time
	loaded map[string][]string
	full   map[string][]string
	orders bool
}

// tellState broadcasts the zone's state when it has changed or is due, and
// returns the time until the next look. o.mu is held.
func (o *Owner) tellState(t *tenure, now time.Time) time.Duration {
	since := now.Sub(t.state.at)
	if since < stateInterval {
		return stateInterval - since
	}
	m := o.state(t, now)
	orders := m.OrdersAfterMillis == 0
	same := orders == t.state.orders && maps.EqualFunc(m.Loaded, t.state.loaded, slices.Equal[[]string]) &&
		maps.EqualFunc(m.Full, t.state.full, slices.Equal[[]string])
	if same && since < stateRefresh {
		return stateRefresh - since
	}
	t.state = stateSent{at: now, loaded: m.Loaded, full: m.Full, orders: orders}
	o.told.Store(m)
	o.cfg.Network.Broadcast(m)
	return stateRefresh
}

// state returns what the nodes are told. o.mu is held.
func (o *Owner) state(t *tenure, now time.Time) *wire.ZoneState {
	summary := t.scheduler.Summary(now)
	m := &wire.ZoneState{
		Zone: o.cfg.Self.Zone, Token: t.token, Loaded: summary.Loaded, Full: summary.Full, Backlog: summary.Backlog,
		Nodes: append(o.cfg.Network.Connected(), o.cfg.Self), ConfigurationVersion: o.cfg.Version(),
	}
	boot := o.cfg.Boot()
	if after := t.ordersFrom.Sub(boot); after > 0 {
		m.OrdersAfterMillis = max(after.Milliseconds(), 1)
	} else if !boot.Before(t.authority.until(boot)) {
		m.OrdersAfterMillis = o.cfg.HolderPause.Milliseconds()
	}
	return m
}

// State returns the last state that was told, nil when this node does not own
// its zone.
func (o *Owner) State() *wire.ZoneState { return o.told.Load() }
