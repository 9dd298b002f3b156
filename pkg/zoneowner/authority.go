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
	// PeerLeaseTime is how long a node that answered a ping does not take the
	// zone over.
	PeerLeaseTime = 1500 * time.Millisecond
	// pauseMargin is added to the pause between the orders of two owners.
	pauseMargin = 250 * time.Millisecond
	// memberMemory is how long a node of the zone that is out of sight may
	// still take the zone over.
	memberMemory = time.Minute
)

// authority is the right of an owner to give orders. It holds while the lease
// in the key-value service runs, or while every node of the zone that could
// take the zone over has promised not to. Times are those of a clock that
// counts suspensions.
type authority struct {
	leaseUntil time.Time
	members    map[fleet.NodeID]*member
}

// member is another node of the zone.
type member struct {
	promisedUntil time.Time
	seen          time.Time
}

// renewed records a renewal of the lease that was sent at the given time.
func (a *authority) renewed(sent time.Time, ttl time.Duration) {
	a.leaseUntil = later(a.leaseUntil, sent.Add(ttl-leaseMargin))
}

// lost records that the lease has ended.
func (a *authority) lost() { a.leaseUntil = time.Time{} }

// joined records a node of the zone that is connected.
func (a *authority) joined(now time.Time, id fleet.NodeID) {
	if a.members == nil {
		a.members = map[fleet.NodeID]*member{}
	}
	m := a.members[id]
	if m == nil {
		m = new(member)
		a.members[id] = m
	}
	m.seen = now
}

// left records that a node has shut down; it takes nothing over any more.
func (a *authority) left(id fleet.NodeID) { delete(a.members, id) }

// promised records a node's promise, in answer to a ping sent at the given time.
func (a *authority) promised(sent time.Time, id fleet.NodeID) {
	if m := a.members[id]; m != nil {
		m.promisedUntil = later(m.promisedUntil, sent.Add(PeerLeaseTime-leaseMargin))
		m.seen = sent
	}
}

// until returns when the authority ends unless it is extended. An owner that
// knows of no other node has only its lease.
func (a *authority) until(now time.Time) time.Time {
	promises := now.Add(PeerLeaseTime)
	for id, m := range a.members {
		if now.Sub(m.seen) > memberMemory {
			delete(a.members, id)
			continue
		}
		if m.promisedUntil.Before(promises) {
			promises = m.promisedUntil
		}
	}
	if len(a.members) == 0 {
		return a.leaseUntil
	}
	return later(a.leaseUntil, promises)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
