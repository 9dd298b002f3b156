package zoneowner

import (
	"context"
	"time"

	"almondturn/fleet"
	"almondturn/wire"
)

// GrantPeerLease answers a ping of an owner: this node does not take the zone over
// for PeerLeaseTime. Only the last owner gets a promise: a node that has just
// started must not give one to an owner that does not know of its successor.
func (o *Owner) GrantPeerLease(from fleet.Node, m *wire.PeerLeaseRequest) *wire.PeerLeaseResponse {
	o.mu.Lock()
	defer o.mu.Unlock()
	pong := &wire.PeerLeaseResponse{ConfigurationVersion: o.cfg.Version()}
	outdated := o.known && o.held.record.Addr != "" && o.held.record.Addr != from.Addr && uint64(o.held.revision) > m.Token
	if m.Zone != o.cfg.Self.Zone || o.tenure != nil || outdated || o.lastAddr != from.Addr {
		return pong
	}
	pong.Granted = true
	o.promisedUntil = o.cfg.BootClock().Add(PeerLeaseTime)
	o.promisedTo = from.Addr
	return pong
}

// EndPeerLease ends the promise to an owner that has resigned.
func (o *Owner) EndPeerLease(addr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.promisedTo == addr {
		o.promisedUntil = time.Time{}
	}
	o.nudge()
}

// keepPromises pings the other nodes of the zone until the tenure ends.
func (o *Owner) keepPromises(t *tenure) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		for _, n := range o.cfg.Network.Connected() {
			if n.Zone != o.cfg.Self.Zone {
				continue
			}
			o.mu.Lock()
			t.authority.joined(o.cfg.BootClock(), n.ID)
			o.mu.Unlock()
			go o.ping(t, n.ID)
		}
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *Owner) ping(t *tenure, node fleet.NodeID) {
	ctx, cancel := context.WithTimeout(t.ctx, pingTimeout)
	defer cancel()
	o.mu.Lock()
	token := t.token
	o.mu.Unlock()
	sent := o.cfg.BootClock()
	pong, err := o.cfg.Network.RequestPeerLease(ctx, node, &wire.PeerLeaseRequest{Zone: o.cfg.Self.Zone, Token: token})
	if err != nil || !pong.Granted {
		return // the promise is not extended
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t.authority.promised(sent, node)
}
