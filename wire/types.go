package wire

// constructors maps every message type to a function that returns an empty
// message of that type. The decoder refuses types that are missing here.
var constructors = map[Type]func() Message{
	TypeError:                func() Message { return new(Error) },
	TypeAck:                  func() Message { return new(Ack) },
	TypeHeartbeat:            func() Message { return new(Heartbeat) },
	TypeSlotRequest:          func() Message { return new(SlotRequest) },
	TypeSlotResponse:         func() Message { return new(SlotResponse) },
	TypeRunEnded:             func() Message { return new(RunEnded) },
	TypeRunStarted:           func() Message { return new(RunStarted) },
	TypeActiveRuns:           func() Message { return new(ActiveRuns) },
	TypeZoneState:            func() Message { return new(ZoneState) },
	TypeZoneChange:           func() Message { return new(ZoneChange) },
	TypePeerLeaseRequest:     func() Message { return new(PeerLeaseRequest) },
	TypePeerLeaseResponse:    func() Message { return new(PeerLeaseResponse) },
	TypeStoreRequest:         func() Message { return new(StoreRequest) },
	TypeStoreResponse:        func() Message { return new(StoreResponse) },
	TypeNodeState:            func() Message { return new(NodeState) },
	TypeNodesRequest:         func() Message { return new(NodesRequest) },
	TypeTargetChangesRequest: func() Message { return new(TargetChangesRequest) },
	TypeOwnerChangesRequest:  func() Message { return new(OwnerChangesRequest) },
	TypeEntryChanges:         func() Message { return new(EntryChanges) },
	TypeSnapshotRequest:      func() Message { return new(SnapshotRequest) },
	TypeSnapshot:             func() Message { return new(Snapshot) },
	TypePartEvidence:         func() Message { return new(PartEvidence) },
	TypeStoreEra:             func() Message { return new(StoreEra) },
	TypeLeavingTargets:       func() Message { return new(LeavingTargets) },
	TypeTargetLimits:         func() Message { return new(TargetLimits) },
	TypePermitRequest:        func() Message { return new(PermitRequest) },
	TypePermitResponse:       func() Message { return new(PermitResponse) },
	TypeNodes:                func() Message { return new(Nodes) },
}
