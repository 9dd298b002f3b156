package wire

// table lists every message type with a constructor. A type that is missing
// here is refused by the decoder.
var table = map[Type]func() Message{
	TypeError:        func() Message { return new(Error) },
	TypeAck:          func() Message { return new(Ack) },
	TypeHeartbeat:    func() Message { return new(Heartbeat) },
	TypePlace:        func() Message { return new(Place) },
	TypePlaced:       func() Message { return new(Placed) },
	TypeRunEnded:     func() Message { return new(RunEnded) },
	TypeRunStarted:   func() Message { return new(RunStarted) },
	TypeRuns:         func() Message { return new(Runs) },
	TypeZoneState:    func() Message { return new(ZoneState) },
	TypeZoneChange:   func() Message { return new(ZoneChange) },
	TypeOwnerPing:    func() Message { return new(OwnerPing) },
	TypeOwnerPong:    func() Message { return new(OwnerPong) },
	TypeStoreCall:    func() Message { return new(StoreCall) },
	TypeStoreAnswer:  func() Message { return new(StoreAnswer) },
	TypeNodeState:    func() Message { return new(NodeState) },
	TypeNodesCall:    func() Message { return new(NodesCall) },
	TypeChangesCall:  func() Message { return new(ChangesCall) },
	TypeChanges:      func() Message { return new(Changes) },
	TypeSnapshotCall: func() Message { return new(SnapshotCall) },
	TypeSnapshot:     func() Message { return new(Snapshot) },
	TypeNodes:        func() Message { return new(Nodes) },
}
