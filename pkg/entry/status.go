package entry

import (
	"context"
	"sync"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
	"almondturn/wire"
)

// NodeStatus is the last reported state of one node.
type NodeStatus struct {
	fleet.Node
	// Version is that of the configuration in force at the node, 0 if there is
	// none.
	Version int64
	// Ready is true if the node accepts clients.
	Ready bool
}

// ZoneStatus is the state of one zone as its owner reports it.
type ZoneStatus struct {
	Zone fleet.Zone
	// Owner is empty if no owner was reached.
	Owner fleet.NodeID
	// Nodes are the owner and the nodes of the zone that are connected to it.
	Nodes []NodeStatus
}

// Self returns the node's identity.
func (n *Node) Self() fleet.Node { return n.self }

// Table returns the configuration in force, nil if there is none.
func (n *Node) Table() *route.Table { return n.table.Load() }

// Targets returns the list of targets in force, nil if there is none.
func (n *Node) Targets() *inventory.TargetSet { return n.targetSet.Load() }

// Ready reports whether the node accepts clients.
func (n *Node) Ready() bool { return n.ready.Load() && !n.stopping.Load() }

// InFlight returns the number of clients' requests in progress.
func (n *Node) InFlight() int { return int(n.inFlight.Load()) }

// Status requests the nodes of all zones from their owners, concurrently, and
// returns one status per zone in the order of the settings. It waits for the
// slowest owner or the end of ctx.
func (n *Node) Status(ctx context.Context) []ZoneStatus {
	out := make([]ZoneStatus, len(n.settings.Zones))
	var wg sync.WaitGroup
	for i, zone := range n.settings.Zones {
		wg.Go(func() { out[i] = n.zoneStatus(ctx, zone) })
	}
	wg.Wait()
	return out
}

// zoneStatus returns the status of one zone. Without an owner, the nodes are
// unknown except for this one.
func (n *Node) zoneStatus(ctx context.Context, zone fleet.Zone) ZoneStatus {
	s := ZoneStatus{Zone: zone}
	owner, resp := n.links.zoneNodes(ctx, zone)
	if resp == nil || !resp.Owner {
		if zone == n.self.Zone {
			s.Nodes = []NodeStatus{{n.self, n.version(), n.Ready()}}
		}
		return s
	}
	s.Owner = owner
	for _, e := range resp.Nodes {
		if e.Node.Zone == zone {
			s.Nodes = append(s.Nodes, NodeStatus{e.Node, e.State.ConfigurationVersion, e.State.Ready})
		}
	}
	return s
}

// nodeState returns the state of this node as it is sent to owners.
func (n *Node) nodeState() *wire.NodeState {
	return &wire.NodeState{ConfigurationVersion: n.version(), Ready: n.Ready()}
}

// sendNodeState sends the state of this node to all connected owners.
func (l *links) sendNodeState() {
	state := l.node.nodeState()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.owners {
		if c := link.conn.Load(); c != nil {
			c.Send(state)
		}
	}
}

// recordNodeState records the state that a node has sent.
func (l *links) recordNodeState(id fleet.NodeID, s *wire.NodeState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodeStates[id] = *s
}

// connectedNodes returns this node and those that are connected to it, with
// their last states.
func (l *links) connectedNodes() *wire.Nodes {
	out := &wire.Nodes{Owner: l.node.owner.IsOwner()}
	out.Nodes = append(out.Nodes, wire.NodeEntry{Node: l.node.self, State: *l.node.nodeState()})
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.peers {
		out.Nodes = append(out.Nodes, wire.NodeEntry{Node: c.Peer(), State: l.nodeStates[id]})
	}
	return out
}

// zoneNodes requests the nodes that are connected to the owner of a zone, and
// returns them with the owner's ID. It returns nil if the owner does not
// respond.
func (l *links) zoneNodes(ctx context.Context, zone fleet.Zone) (fleet.NodeID, *wire.Nodes) {
	if zone == l.node.self.Zone && l.node.owner.IsOwner() {
		return l.node.self.ID, l.connectedNodes()
	}
	link, _ := l.ownerLink(zone)
	if link == nil {
		return "", nil
	}
	c := link.conn.Load()
	if c == nil {
		return "", nil
	}
	resp, err := c.Call(ctx, new(wire.NodesRequest))
	if err != nil {
		return "", nil // the status shows the zone without an owner
	}
	nodes, _ := resp.(*wire.Nodes)
	return link.owner.Node, nodes
}
