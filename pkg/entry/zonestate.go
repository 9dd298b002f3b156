package entry

import (
	"time"

	"almondturn/wire"
)

// disconnectedNodeLifetime is how long a node without a connection is still
// counted as alive.
const disconnectedNodeLifetime = time.Minute

// receiveZoneState records the state that the owner of a link sent. A state
// with Resigned set ends the peer lease that this node granted the owner.
func (l *links) receiveZoneState(link *ownerLink, s *wire.ZoneState) {
	if s.Resigned {
		link.state.Store(nil)
		if link.zone == l.node.self.Zone {
			l.node.owner.EndPeerLease(link.owner.Addr)
		}
		return
	}
	l.storeZoneState(link, s)
}

// receiveZoneChange applies a change that the owner of a link sent. It ignores
// one that does not follow the last recorded state; the next full state
// replaces it.
func (l *links) receiveZoneChange(link *ownerLink, c *wire.ZoneChange) {
	if s, ok := link.state.Load().Apply(c); ok {
		l.storeZoneState(link, s)
	}
}

// storeZoneState records the state of a zone, and fetches the configuration if
// the owner has a newer one.
func (l *links) storeZoneState(link *ownerLink, s *wire.ZoneState) {
	link.state.Store(s)
	now := time.Now()
	link.stateAt.Store(&now)
	l.mu.Lock()
	l.nodeCounts[link.zone] = s.NodeCount
	l.mu.Unlock()
	l.node.observeVersion(s.ConfigurationVersion)
}

// OtherZoneWeightStoreLoads implements zoneowner.Network: it returns the number
// of loads from the weight store in other zones, as their owners last reported
// it. Zones without a connected owner are not counted.
func (l *links) OtherZoneWeightStoreLoads() int {
	n := 0
	for _, zone := range l.node.settings.Zones {
		if zone == l.node.self.Zone {
			continue
		}
		if s := l.zoneState(zone); s != nil {
			n += s.WeightStoreLoads
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

// countRecent returns the number of nodes that are connected or were within
// disconnectedNodeLifetime, including this one. l.mu must be held.
func (l *links) countRecent(now time.Time) int {
	count := len(l.peers) + 1
	for id, at := range l.disconnectedAt {
		switch {
		case now.Sub(at) > disconnectedNodeLifetime:
			delete(l.disconnectedAt, id)
		case l.peers[id] == nil:
			count++
		}
	}
	return count
}

// maxNodeCount returns the number of nodes that may be alive: the largest count
// of this node and of the owners of the zones.
func (l *links) maxNodeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.countRecent(time.Now())
	for _, reported := range l.nodeCounts {
		n = max(n, reported)
	}
	return n
}

// sharingNodes returns the number of nodes among which shared retries are divided: that of
// maxNodeCount, and as many for each zone of which this node has not heard as for the
// others, since it may be cut off from them. It returns 0 if it has heard of no zone.
func (l *links) sharingNodes() int {
	n := l.maxNodeCount()
	zones := len(l.node.settings.Zones)
	heard := l.zonesHeardOf()
	if heard == 0 {
		return 0
	}
	return (n*max(zones, heard) + heard - 1) / heard
}

// zonesHeardOf returns the number of zones whose owners have sent their number of nodes
// since the start. The owner of a zone knows its own.
func (l *links) zonesHeardOf() int {
	l.mu.Lock()
	heard := len(l.nodeCounts)
	_, ownHeard := l.nodeCounts[l.node.self.Zone]
	l.mu.Unlock()
	if !ownHeard && l.node.owner.IsOwner() {
		heard++
	}
	return heard
}
