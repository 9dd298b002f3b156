package entry

import (
	"time"

	"almondturn/wire"
)

// seenFor is how long a node that is out of sight counts as alive.
const seenFor = time.Minute

// learn records what an owner tells of its zone.
func (l *links) learn(k *link, s *wire.ZoneState) {
	if s.Resigned {
		k.state.Store(nil)
		if k.zone == l.node.self.Zone {
			l.node.owner.EndPeerLease(k.owner.Addr)
		}
		return
	}
	l.accept(k, s)
}

// learnChange records what an owner tells of a change. One that does not follow
// on what is known waits for the next whole state.
func (l *links) learnChange(k *link, c *wire.ZoneChange) {
	if s, ok := k.state.Load().Apply(c); ok {
		l.accept(k, s)
	}
}

// accept puts a zone's state in force.
func (l *links) accept(k *link, s *wire.ZoneState) {
	k.state.Store(s)
	l.mu.Lock()
	l.counts[k.zone] = s.NodeCount
	l.mu.Unlock()
	l.node.learnVersion(s.ConfigurationVersion)
}

// OtherZoneStoreLoads implements zoneowner.Network.
func (l *links) OtherZoneStoreLoads() int {
	n := 0
	for _, zone := range l.node.settings.Zones {
		if zone == l.node.self.Zone {
			continue
		}
		if s := l.state(zone); s != nil {
			n += s.StoreLoads
		}
	}
	return n
}

// NodeCount implements zoneowner.Network.
func (l *links) NodeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.countSeen(time.Now())
}

// countSeen counts the nodes that are connected or were within seenFor, with
// this one. l.mu is held.
func (l *links) countSeen(now time.Time) int {
	count := len(l.accepted) + 1
	for id, at := range l.left {
		switch {
		case now.Sub(at) > seenFor:
			delete(l.left, id)
		case l.accepted[id] == nil:
			count++
		}
	}
	return count
}

// nodes returns the number of nodes that may be alive, as far as this one or
// an owner knows.
func (l *links) nodes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.countSeen(time.Now())
	for _, told := range l.counts {
		n = max(n, told)
	}
	return n
}
