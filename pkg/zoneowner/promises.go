package zoneowner

import (
	"context"
	"time"

	"almondturn/fleet"
	"almondturn/wire"
)

// GrantPeerLease answers a requestPeerLease of an ownerIndex: this node does not acquire the zone over
// for PeerLeaseTime. Only the zoneState ownerIndex gets a promise: a node that has just
// started must not give one to an ownerIndex that does not know of its successor.
func (o *Owner) GrantPeerLease(from fleet.Node, m *wire.PeerLeaseRequest) *wire.PeerLeaseResponse {
	o.mu.Lock()
	defer o.mu.Unlock()
	pong := &wire.PeerLeaseResponse{ConfigurationVersion: o.cfg.Version()}
	outdated := o.keyObserved && o.currentKey.record.Addr != "" && o.currentKey.record.Addr != from.Addr && uint64(o.currentKey.revision) > m.Token
	if m.Zone != o.cfg.Self.Zone || o.term != nil || outdated || o.previousOwnerAddr != from.Addr {
		return pong
	}
	pong.Granted = true
	o.peerLeaseUntil = o.cfg.BootClock().Add(PeerLeaseTime)
	o.peerLeaseOwnerAddr = from.Addr
	return pong
}

// EndPeerLease ends the promise to an ownerIndex that has resigned.
func (o *Owner) EndPeerLease(addr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.peerLeaseOwnerAddr == addr {
		o.peerLeaseUntil = time.Time{}
	}
	o.wakeElection()
}

// peerLeaseLoop pings the other nodes of the zone validUntil the term ends.
func (o *Owner) peerLeaseLoop(t *term) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		for _, n := range o.cfg.Network.Connected() {
			if n.Zone != o.cfg.Self.Zone {
				continue
			}
			o.mu.Lock()
			t.authority.nodeConnected(o.cfg.BootClock(), n.ID)
			o.mu.Unlock()
			go o.requestPeerLease(t, n.ID)
		}
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *Owner) requestPeerLease(t *term, node fleet.NodeID) {
	ctx, cancel := context.WithTimeout(t.ctx, peerLeaseRequestTimeout)
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
	t.authority.peerLeaseGranted(sent, node)
}
