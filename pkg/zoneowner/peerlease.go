package zoneowner

import (
	"context"
	"time"

	"almondturn/fleet"
	"almondturn/wire"
)

// GrantPeerLease responds to a peer lease request. If it grants the lease,
// this node does not acquire the zone for PeerLeaseTTL. Only the node that the
// last-owner record names gets a lease. Without this rule, a node that has just
// started could grant one to an earlier owner that has not noticed that it was
// replaced. A node that is acquiring the zone grants none.
func (o *Owner) GrantPeerLease(from fleet.Node, m *wire.PeerLeaseRequest) *wire.PeerLeaseResponse {
	o.mu.Lock()
	defer o.mu.Unlock()
	response := &wire.PeerLeaseResponse{ConfigurationVersion: o.cfg.ConfigurationVersion()}
	// The owner key names another node, and with a newer fencing token than
	// that of the request.
	outdated := o.entryObserved && o.currentEntry.record.Addr != "" && o.currentEntry.record.Addr != from.Addr && uint64(o.currentEntry.token()) > m.Token
	if m.Zone != o.cfg.Self.Zone || o.term != nil || o.acquiring || outdated || o.lastOwnerAddr != from.Addr {
		return response
	}
	response.Granted = true
	o.peerLeaseGrantedAt = o.cfg.BootClock()
	o.peerLeaseUntil = o.peerLeaseGrantedAt.Add(PeerLeaseTTL)
	o.peerLeaseOwnerAddr = from.Addr
	return response
}

// EndPeerLease ends the peer lease of the owner at addr, which has resigned.
// peerLeaseOwnerAddr and peerLeaseGrantedAt stay, because authorityEnd needs to know when
// the last owner had a peer lease of this node.
func (o *Owner) EndPeerLease(addr string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.peerLeaseOwnerAddr == addr {
		o.peerLeaseUntil = time.Time{}
	}
	o.wakeElection()
}

// peerLeaseLoop requests peer leases from the other nodes of the zone until
// the term ends.
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

// requestPeerLease requests a peer lease from one node and records it if
// granted. The lease counts from when the request was sent.
func (o *Owner) requestPeerLease(t *term, node fleet.NodeID) {
	ctx, cancel := context.WithTimeout(t.ctx, peerLeaseRequestTimeout)
	defer cancel()
	o.mu.Lock()
	token := t.token
	o.mu.Unlock()
	sent := o.cfg.BootClock()
	response, err := o.cfg.Network.RequestPeerLease(ctx, node, &wire.PeerLeaseRequest{Zone: o.cfg.Self.Zone, Token: uint64(token)})
	if err != nil || !response.Granted {
		return // the previous lease is not extended
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t.authority.peerLeaseGranted(sent, node)
}
