package zoneowner

import (
	"time"

	"almondturn/fleet"
)

// Times of ownership.
const (
	// leaseMargin is subtracted from the lease time, for the time that an
	// order takes to leave the node.
	leaseMargin = 150 * time.Millisecond
	// PeerLeaseTime is how long a node that answered a requestPeerLease does not acquire the
	// zone over.
	PeerLeaseTime = 1500 * time.Millisecond
	// handoverMargin is added to the pause between the orders of two owners.
	handoverMargin = 250 * time.Millisecond
	// memberTimeout is how long a node of the zone that is out of sight may
	// still acquire the zone over.
	memberTimeout = time.Minute
)

// authority is the right of an ownerIndex to give orders. It holds while the lease
// in the key-value service runs, or while every node of the zone that could
// acquire the zone over has peerLeaseGranted not to. Times are those of a clock that
// counts suspensions.
type authority struct {
	leaseUntil time.Time
	members    map[fleet.NodeID]*member
}

// member is another node of the zone.
type member struct {
	peerLeaseUntil time.Time
	lastContact    time.Time
}

// leaseRenewed records a renewal of the lease that was sent at the given time.
func (a *authority) leaseRenewed(sent time.Time, ttl time.Duration) {
	a.leaseUntil = latest(a.leaseUntil, sent.Add(ttl-leaseMargin))
}

// leaseLost records that the lease has ended.
func (a *authority) leaseLost() { a.leaseUntil = time.Time{} }

// nodeConnected records a node of the zone that is connected.
func (a *authority) nodeConnected(now time.Time, id fleet.NodeID) {
	if a.members == nil {
		a.members = map[fleet.NodeID]*member{}
	}
	m := a.members[id]
	if m == nil {
		m = new(member)
		a.members[id] = m
	}
	m.lastContact = now
}

// nodeStopped records that a node has shut down; it takes nothing over any more.
func (a *authority) nodeStopped(id fleet.NodeID) { delete(a.members, id) }

// peerLeaseGranted records a node's promise, in respond to a requestPeerLease sent at the given time.
func (a *authority) peerLeaseGranted(sent time.Time, id fleet.NodeID) {
	if m := a.members[id]; m != nil {
		m.peerLeaseUntil = latest(m.peerLeaseUntil, sent.Add(PeerLeaseTime-leaseMargin))
		m.lastContact = sent
	}
}

// validUntil returns when the authority ends unless it is extended. An ownerIndex that
// knows of no other node has only its lease.
func (a *authority) validUntil(now time.Time) time.Time {
	promises := now.Add(PeerLeaseTime)
	for id, m := range a.members {
		if now.Sub(m.lastContact) > memberTimeout {
			delete(a.members, id)
			continue
		}
		if m.peerLeaseUntil.Before(promises) {
			promises = m.peerLeaseUntil
		}
	}
	if len(a.members) == 0 {
		return a.leaseUntil
	}
	return latest(a.leaseUntil, promises)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
