package zoneowner

import (
	"maps"
	"slices"
	"time"

	"almondturn/fleet"
)

// Times of leases and handover.
const (
	// leaseMargin is subtracted from the times of leases and peer leases, to
	// cover the time that an order takes to leave the node.
	leaseMargin = 150 * time.Millisecond
	// PeerLeaseTTL is how long a node does not acquire the zone after it has
	// granted a peer lease.
	PeerLeaseTTL = 1500 * time.Millisecond
	// handoverMargin is added to the handover delay between the orders of two
	// owners.
	handoverMargin = 250 * time.Millisecond
	// peerTimeout is how long after the last contact a peer still counts as
	// able to acquire the zone.
	peerTimeout = time.Minute
	// maxTimeWithoutLease bounds how long an owner sends orders under peer leases
	// alone, and how long a node that the owner has not recorded waits before it
	// acquires the zone.
	maxTimeWithoutLease = 2 * time.Minute
)

// authority decides until when an owner may send orders: while its lease in
// the key-value service is valid, or while every node of the zone that could
// acquire the zone has granted it a peer lease: the nodes that the last-owner record
// names. Another node acquires the zone only when the owner has not renewed the lease
// for maxTimeWithoutLease. Times are those of Config.BootClock, which continues while
// the VM is suspended. It is guarded by Owner.mu.
type authority struct {
	leaseUntil time.Time
	// withoutLeaseUntil is when the authority under peer leases ends unless the lease
	// is renewed; zero for no end.
	withoutLeaseUntil time.Time
	peers             map[fleet.NodeID]*peer
	recorded          recordedPeers
	// lapsed is true if the authority has ended at a time since the lease was last
	// renewed. Another node may have been the owner then.
	lapsed bool
}

// peer is another node of the zone.
type peer struct {
	peerLeaseUntil time.Time
	lastContact    time.Time
}

// leaseRenewed records that the lease was granted or renewed for ttl by a
// request sent at the given time.
func (a *authority) leaseRenewed(sent time.Time, ttl time.Duration) {
	a.leaseUntil = latest(a.leaseUntil, sent.Add(ttl-leaseMargin))
	a.withoutLeaseUntil = latest(a.withoutLeaseUntil, sent.Add(maxTimeWithoutLease-leaseMargin))
	a.lapsed = false
}

// unbroken reports whether the authority has lasted from the last renewal of the
// lease until now.
func (a *authority) unbroken(now time.Time) bool {
	a.recordLapse(now)
	return !a.lapsed
}

// recordLapse records whether the authority has ended before a time at which it may
// be extended or was asked for.
func (a *authority) recordLapse(at time.Time) {
	if a.validUntil(at).Before(at) {
		a.lapsed = true
	}
}

// leaseLost records that the lease has expired.
func (a *authority) leaseLost() { a.leaseUntil = time.Time{} }

// nodeConnected records that a node of the zone is connected at the given
// time.
func (a *authority) nodeConnected(now time.Time, id fleet.NodeID) {
	if a.peers == nil {
		a.peers = map[fleet.NodeID]*peer{}
	}
	p := a.peers[id]
	if p == nil {
		p = new(peer)
		a.peers[id] = p
	}
	p.lastContact = now
}

// nodeStopped records that a node has shut down. It counts until the last-owner record
// no longer names it: its next incarnation could acquire the zone.
func (a *authority) nodeStopped(now time.Time, id fleet.NodeID) {
	a.recordLapse(now)
	delete(a.peers, id)
}

// peerLeaseGranted records that a node granted a peer lease in response to a
// request sent at the given time.
func (a *authority) peerLeaseGranted(sent time.Time, id fleet.NodeID) {
	a.recordLapse(sent)
	if p := a.peers[id]; p != nil {
		p.peerLeaseUntil = latest(p.peerLeaseUntil, sent.Add(PeerLeaseTTL-leaseMargin))
		p.lastContact = sent
	}
}

// peersWritten records that a last-owner record that names the nodes with the given
// identifiers is being written.
func (a *authority) peersWritten(ids []fleet.NodeID) { a.recorded.written(ids) }

// peersRecorded records that the last-owner record names the nodes with the given
// identifiers and no other.
func (a *authority) peersRecorded(now time.Time, ids []fleet.NodeID) {
	a.recordLapse(now)
	a.recorded.confirmed(ids)
}

// peersToRecord returns the nodes that the last-owner record should name, and whether
// it may name others.
func (a *authority) peersToRecord() (ids []fleet.NodeID, changed bool) {
	ids = slices.Sorted(maps.Keys(a.peers))
	return ids, a.recorded.differ(ids)
}

// validUntil returns when the authority ends unless it is extended. Nodes without
// contact for peerTimeout are removed.
func (a *authority) validUntil(now time.Time) time.Time {
	until := a.grantedUntil(now)
	if end := a.withoutLeaseUntil; !end.IsZero() && end.Before(until) {
		until = latest(a.leaseUntil, end)
	}
	return until
}

// grantedUntil is validUntil without the end of the authority under peer leases alone.
// Peer leases authorize an owner only if the last-owner record names at least one
// node; an owner that has recorded none has only its lease.
func (a *authority) grantedUntil(now time.Time) time.Time {
	a.removeSilentPeers(now)
	if len(a.peers) == 0 || a.recorded.maybeNone {
		return a.leaseUntil
	}
	peerLeasesUntil := now.Add(PeerLeaseTTL)
	for _, p := range a.peers {
		if p.peerLeaseUntil.Before(peerLeasesUntil) {
			peerLeasesUntil = p.peerLeaseUntil
		}
	}
	for id := range a.recorded.ids {
		if a.peers[id] == nil {
			return a.leaseUntil
		}
	}
	return latest(a.leaseUntil, peerLeasesUntil)
}

// removeSilentPeers removes the nodes without contact for peerTimeout.
func (a *authority) removeSilentPeers(now time.Time) {
	for id, p := range a.peers {
		if now.Sub(p.lastContact) > peerTimeout {
			delete(a.peers, id)
			a.lapsed = a.lapsed || a.leaseUntil.Before(now)
		}
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
