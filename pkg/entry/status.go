package entry

import (
	"context"
	"sync"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
	"almondturn/wire"
)

// NodeStatus is what is known of one node.
type NodeStatus struct {
	fleet.Node
	// Version is that of the configuration in force at the node.
	Version int64
	Ready   bool
}

// ZoneStatus is what the owner of a zone tells of it.
type ZoneStatus struct {
	Zone fleet.Zone
	// Owner is empty when none was reached.
	Owner fleet.NodeID
	// Nodes are those of the zone that are connected to the owner, with it.
	Nodes []NodeStatus
}

// Self returns the node's identity.
func (n *Node) Self() fleet.Node { return n.self }

// Table returns the configuration in force, nil for none.
func (n *Node) Table() *route.Table { return n.table.Load() }

// Targets returns the targets that are listed, nil for none.
func (n *Node) Targets() *inventory.View { return n.view.Load() }

// Ready tells whether the node takes clients.
func (n *Node) Ready() bool { return n.ready.Load() && !n.stopping.Load() }

// InFlight returns the number of clients' requests in progress.
func (n *Node) InFlight() int { return int(n.inFlight.Load()) }

// Status asks the owners of all zones for their nodes.
func (n *Node) Status(ctx context.Context) []ZoneStatus {
	out := make([]ZoneStatus, len(n.settings.Zones))
	var wg sync.WaitGroup
	for i, zone := range n.settings.Zones {
		wg.Go(func() { out[i] = n.zoneStatus(ctx, zone) })
	}
	wg.Wait()
	return out
}

func (n *Node) zoneStatus(ctx context.Context, zone fleet.Zone) ZoneStatus {
	s := ZoneStatus{Zone: zone}
	owner, answer := n.links.zoneNodes(ctx, zone)
	if answer == nil || !answer.Owner {
		if zone == n.self.Zone {
			s.Nodes = []NodeStatus{{n.self, n.version(), n.Ready()}}
		}
		return s
	}
	s.Owner = owner
	for _, e := range answer.Nodes {
		if e.Node.Zone == zone {
			s.Nodes = append(s.Nodes, NodeStatus{e.Node, e.State.ConfigurationVersion, e.State.Ready})
		}
	}
	return s
}

// state is what the node tells owners of itself.
func (n *Node) nodeState() *wire.NodeState {
	return &wire.NodeState{ConfigurationVersion: n.version(), Ready: n.Ready()}
}

// tellState tells all owners the node's state.
func (l *links) sendNodeState() {
	state := l.node.nodeState()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.owners {
		if c := k.conn.Load(); c != nil {
			c.Send(state)
		}
	}
}

func (l *links) recordNodeState(id fleet.NodeID, s *wire.NodeState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodeStates[id] = *s
}

// connected returns the nodes that are connected to this one, and itself.
func (l *links) connectedNodes() *wire.Nodes {
	out := &wire.Nodes{Owner: l.node.owner.IsOwner()}
	out.Nodes = append(out.Nodes, wire.NodeEntry{Node: l.node.self, State: *l.node.nodeState()})
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.accepted {
		out.Nodes = append(out.Nodes, wire.NodeEntry{Node: c.Peer(), State: l.nodeStates[id]})
	}
	return out
}

// nodesOf asks the owner of a zone for its nodes; nil when it does not answer.
func (l *links) zoneNodes(ctx context.Context, zone fleet.Zone) (fleet.NodeID, *wire.Nodes) {
	if zone == l.node.self.Zone && l.node.owner.IsOwner() {
		return l.node.self.ID, l.connectedNodes()
	}
	k, _ := l.ownerLink(zone)
	if k == nil {
		return "", nil
	}
	c := k.conn.Load()
	if c == nil {
		return "", nil
	}
	answer, err := c.Call(ctx, new(wire.NodesRequest))
	if err != nil {
		return "", nil // the zone is shown without an owner
	}
	nodes, _ := answer.(*wire.Nodes)
	return k.owner.Node, nodes
}
