package entry

import (
	"time"

	"almondturn/wire"
)

// seenFor is how long a node that is out of sight counts as alive.
const disconnectedNodeLifetime = time.Minute

// learn records what an owner tells of its zone.
func (l *links) receiveZoneState(k *ownerLink, s *wire.ZoneState) {
	if s.Resigned {
		k.state.Store(nil)
		if k.zone == l.node.self.Zone {
			l.node.owner.EndPeerLease(k.owner.Addr)
		}
		return
	}
	l.storeZoneState(k, s)
}

// learnChange records what an owner tells of a change. One that does not follow
// on what is known waits for the next whole state.
func (l *links) receiveZoneChange(k *ownerLink, c *wire.ZoneChange) {
	if s, ok := k.state.Load().Apply(c); ok {
		l.storeZoneState(k, s)
	}
}

// accept puts a zone's state in force.
func (l *links) storeZoneState(k *ownerLink, s *wire.ZoneState) {
	k.state.Store(s)
	l.mu.Lock()
	l.nodeCounts[k.zone] = s.NodeCount
	l.mu.Unlock()
	l.node.observeVersion(s.ConfigurationVersion)
}

// OtherZoneStoreLoads implements zoneowner.Network.
func (l *links) OtherZoneStoreLoads() int {
	n := 0
	for _, zone := range l.node.settings.Zones {
		if zone == l.node.self.Zone {
			continue
		}
		if s := l.zoneState(zone); s != nil {
			n += s.StoreLoads
		}
	}
	return n
}

// NodeCount implements zoneowner.Network.
func (l *links) NodeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.countRecent(time.Now())
}

// countSeen counts the nodes that are connected or were within seenFor, with
// this one. l.mu is held.
func (l *links) countRecent(now time.Time) int {
	count := len(l.accepted) + 1
	for id, at := range l.disconnectedAt {
		switch {
		case now.Sub(at) > disconnectedNodeLifetime:
			delete(l.disconnectedAt, id)
		case l.accepted[id] == nil:
			count++
		}
	}
	return count
}

// nodes returns the number of nodes that may be alive, as far as this one or
// an owner knows.
func (l *links) maxNodeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.countRecent(time.Now())
	for _, told := range l.nodeCounts {
		n = max(n, told)
	}
	return n
}
