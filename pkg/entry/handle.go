package entry

import (
	"context"

	"almondturn/fleet"
	"almondturn/wire"
)

// handle answers the messages of other nodes. k is nil on connections that
// the other node opened.
func (n *Node) handle(ctx context.Context, k *link, from fleet.Node, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.SlotRequest:
		return n.owner.AcquireSlot(ctx, from.ID, m)
	case *wire.RunStarted:
		n.owner.RunStarted(m)
	case *wire.RunEnded:
		n.owner.RunEnded(m)
	case *wire.ActiveRuns:
		n.owner.AdoptRuns(from, m)
	case *wire.ZoneState:
		if k != nil {
			n.links.learn(k, m)
		}
	case *wire.ZoneChange:
		if k != nil {
			n.links.learnChange(k, m)
		}
	case *wire.PeerLeaseRequest:
		return n.owner.GrantPeerLease(from, m)
	case *wire.ChangesRequest:
		return n.changes(ctx, m)
	case *wire.SnapshotRequest:
		return n.snapshotOf(m)
	case *wire.NodeState:
		n.links.learnState(from.ID, m)
	case *wire.NodesRequest:
		return n.links.connected()
	case *wire.Heartbeat:
		if m.Leaving {
			n.owner.RemoveNode(from.ID, true)
		}
	case *wire.StoreRequest:
		status, body, err := n.forward(ctx, m.Method, m.Path, m.Body)
		if err != nil {
			return new(wire.StoreResponse)
		}
		return &wire.StoreResponse{Status: status, Body: body}
	}
	return nil
}
