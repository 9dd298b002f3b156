package entry

import (
	"context"

	"almondturn/fleet"
	"almondturn/pkg/kv"
	"almondturn/wire"
)

// handle processes a message of another node and returns the response, nil for
// a message that needs none. link is the link to the owner that sent the
// message; it is nil on connections that the other node opened, and on those to
// seeds.
func (n *Node) handle(ctx context.Context, link *ownerLink, from fleet.Node, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.SlotRequest:
		return n.owner.AcquireSlot(ctx, from.ID, m)
	case *wire.RunStarted:
		n.owner.RunStarted(m)
		n.receiveOrigin(m.Origin)
	case *wire.RunEnded:
		n.owner.RunEnded(m)
	case *wire.ActiveRuns:
		n.owner.AdoptRuns(from, m)
		n.guard.introduce(from.ID)
		n.links.introduceNotices(from.ID)
	case *wire.PartEvidence:
		n.guard.receive(from.ID, m)
	case *wire.LeavingTargets:
		n.receiveLeaving(from.ID, m)
	case *wire.TargetLimits:
		n.receiveLimits(from.ID, m)
	case *wire.PermitRequest:
		return n.owner.ReservePermit(m)
	case *wire.StreamOrigins:
		for i := range m.Origins {
			n.receiveOrigin(&m.Origins[i])
		}
	case *wire.StreamOriginRequest:
		return n.answerOrigin(m)
	case *wire.QuotaRequests:
		return n.owner.LeaseQuota(m)
	case *wire.ZoneState:
		if link != nil {
			n.links.receiveZoneState(link, m)
		}
	case *wire.ZoneChange:
		if link != nil {
			n.links.receiveZoneChange(link, m)
		}
	case *wire.PeerLeaseRequest:
		return n.owner.GrantPeerLease(from, m)
	case *wire.TargetChangesRequest:
		return n.serveChanges(ctx, n.targetChanges, m.After, m.WaitMillis)
	case *wire.OwnerChangesRequest:
		return n.serveChanges(ctx, n.ownerChanges, m.After, m.WaitMillis)
	case *wire.SnapshotRequest:
		return n.serveSnapshot(m)
	case *wire.NodeState:
		n.links.recordNodeState(from.ID, m)
	case *wire.NodesRequest:
		return n.links.connectedNodes()
	case *wire.Heartbeat:
		if m.Leaving {
			n.owner.NodeStopping(from.ID)
		}
	case *wire.StoreEra:
		n.store.AnnounceEra(kv.Era(m.Era))
	case *wire.StoreRequest:
		return n.serveRelayedCall(ctx, m)
	}
	return nil
}
