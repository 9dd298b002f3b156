package entry

import (
	"context"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/wire"
)

// ownerLink returns the link to the owner of a zone, nil if none is known, and
// a channel that is closed when an owner changes.
func (l *links) ownerLink(zone fleet.Zone) (*ownerLink, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owners[zone], l.ownerChanged
}

// ownerConn returns the connection to the owner of a zone, nil if there is none.
func (l *links) ownerConn(zone fleet.Zone) *wire.Conn {
	link, _ := l.ownerLink(zone)
	if link == nil {
		return nil
	}
	return link.conn.Load()
}

// callOwner calls the owner of a zone, which is another node. It returns errNoConnection if the
// owner is not known or not connected, or if its response has another type than R.
func callOwner[R wire.Message](ctx context.Context, l *links, zone fleet.Zone, m wire.Message) (R, error) {
	var none R
	c := l.ownerConn(zone)
	if c == nil {
		return none, errNoConnection
	}
	resp, err := c.Call(ctx, m)
	if err != nil {
		return none, err
	}
	r, ok := resp.(R)
	if !ok {
		return none, errNoConnection
	}
	return r, nil
}

// requestSlot requests a slot from the owner of a zone, which may be this node,
// and waits for the response. It returns errNoConnection if the owner is not
// known or not connected, or if its response has an unexpected type.
func (l *links) requestSlot(ctx context.Context, zone fleet.Zone, m *wire.SlotRequest) (*wire.SlotResponse, error) {
	if zone == l.node.self.Zone && l.node.owner.IsOwner() {
		return l.node.owner.AcquireSlot(ctx, l.node.self.ID, m), nil
	}
	return callOwner[*wire.SlotResponse](ctx, l, zone, m)
}

// runStarted reports to the current owner of a zone, which may not be the one
// that granted the run, that the response of the run has started. Without a
// connection, the message is dropped.
func (l *links) runStarted(zone fleet.Zone, m *wire.RunStarted) {
	if zone == l.node.self.Zone && l.node.owner.IsOwner() {
		l.node.owner.RunStarted(m)
		return
	}
	l.sendToOwner(zone, m)
}

// runEnded reports the end of a run to the current owner of a zone, which may not
// be the one that granted it. Without a connection, the message is dropped; the runs that are sent
// on the next connection replace it.
func (l *links) runEnded(zone fleet.Zone, m *wire.RunEnded) {
	if zone == l.node.self.Zone && l.node.owner.IsOwner() {
		l.node.owner.RunEnded(m)
		return
	}
	l.sendToOwner(zone, m)
}

// sendToOwner sends a message to the owner of a zone. Without a connection it is dropped.
func (l *links) sendToOwner(zone fleet.Zone, m wire.Message) {
	if c := l.ownerConn(zone); c != nil {
		c.Send(m)
	}
}

// sendToOwners sends a message to the owners of all zones that are connected.
func (l *links) sendToOwners(m wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.owners {
		if c := link.conn.Load(); c != nil {
			c.Send(m)
		}
	}
}

// lacksOwner reports whether this node is connected to no owner of a zone, and owns it not itself.
func (l *links) lacksOwner(zone fleet.Zone) bool {
	if zone == l.node.self.Zone && l.node.owner.IsOwner() {
		return false
	}
	return l.ownerConn(zone) == nil
}

// mayReachOwner reports whether to repeat a request to zones whose owners did
// not respond to the last one: whether the owner of one is connected by now, or
// is expected to connect because it is new or lost its connection less than
// ownerReconnectWindow ago.
func (l *links) mayReachOwner(now time.Time, zones []fleet.Zone) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(zones, func(zone fleet.Zone) bool {
		link := l.owners[zone]
		if link == nil || link.owner.Addr == "" {
			return false
		}
		return link.conn.Load() != nil || now.Sub(*link.downSince.Load()) < ownerReconnectWindow
	})
}
