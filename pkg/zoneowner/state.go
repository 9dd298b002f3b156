package zoneowner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/wire"
)

// stateSent is the last broadcast of a zone's state.
type stateSent struct {
	at    time.Time
	state *wire.ZoneState
	// nodes are those that were last told; only changes of them are.
	nodes []fleet.Node
}

// BacklogStep is the size of the steps in which a zone's backlog is told and
// compared, so that small differences do not part the requests for one model.
const BacklogStep = 3

// tellState broadcasts the zone's state when it has changed or is due, and
// returns the time until the next look. o.mu is held.
func (o *Owner) tellState(t *tenure, now time.Time) time.Duration {
	since := now.Sub(t.state.at)
	if since < stateInterval {
		return stateInterval - since
	}
	m := o.state(t, now)
	nodes := o.nodes()
	met := slices.Equal(nodes, t.state.nodes)
	if met && sameState(m, t.state.state) && since < stateRefresh {
		return stateRefresh - since
	}
	if !met {
		m.Nodes = nodes
	}
	t.state = stateSent{at: now, state: m, nodes: nodes}
	o.told.Store(m)
	o.cfg.Network.Broadcast(m)
	return stateRefresh
}

// nodes returns the connected nodes and this one, in order.
func (o *Owner) nodes() []fleet.Node {
	nodes := append(o.cfg.Network.Connected(), o.cfg.Self)
	slices.SortFunc(nodes, func(a, b fleet.Node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// sameState tells whether nothing has changed that nodes act on. before may be nil.
func sameState(now, before *wire.ZoneState) bool {
	return before != nil && (now.OrdersAfterMillis == 0) == (before.OrdersAfterMillis == 0) &&
		now.ConfigurationVersion == before.ConfigurationVersion && now.Backlog/BacklogStep == before.Backlog/BacklogStep &&
		maps.EqualFunc(now.Loaded, before.Loaded, slices.Equal[[]string]) && maps.EqualFunc(now.Full, before.Full, slices.Equal[[]string])
}

// state returns what the nodes are told. o.mu is held.
func (o *Owner) state(t *tenure, now time.Time) *wire.ZoneState {
	summary := t.scheduler.Summary(now)
	m := &wire.ZoneState{
		Zone: o.cfg.Self.Zone, Token: t.token, Loaded: summary.Loaded, Full: summary.Full, Backlog: summary.Backlog,
		ConfigurationVersion: o.cfg.Version(),
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
