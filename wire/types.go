package wire

// table lists every message type with a constructor. A type that is missing
// here is refused by the decoder.
var table = map[Type]func() Message{
	TypeError:         func() Message { return new(Error) },
	TypeHeartbeat:     func() Message { return new(Heartbeat) },
	TypeTargetUpdate:  func() Message { return new(TargetUpdate) },
	TypeTargetList:    func() Message { return new(TargetList) },
	TypeAcquire:       func() Message { return new(Acquire) },
	TypeGrant:         func() Message { return new(Grant) },
	TypeLoad:          func() Message { return new(Load) },
	TypeLoadResult:    func() Message { return new(LoadResult) },
	TypeSettle:        func() Message { return new(Settle) },
	TypeSettled:       func() Message { return new(Settled) },
	TypeHandOver:      func() Message { return new(HandOver) },
	TypeCatalogDigest: func() Message { return new(CatalogDigest) },
	TypeCatalogFetch:  func() Message { return new(CatalogFetch) },
	TypeCatalogParts:  func() Message { return new(CatalogParts) },
	TypeClaim:         func() Message { return new(Claim) },
	TypeClaimResult:   func() Message { return new(ClaimResult) },
	TypeClaimOutcome:  func() Message { return new(ClaimOutcome) },
	TypeBudgetBorrow:  func() Message { return new(BudgetBorrow) },
	TypeBudgetLend:    func() Message { return new(BudgetLend) },
	TypeLeaving:       func() Message { return new(Leaving) },
	TypeAck:           func() Message { return new(Ack) },
	TypeRelease:       func() Message { return new(Release) },
	TypeReleased:      func() Message { return new(Released) },
	TypeRosterFetch:   func() Message { return new(RosterFetch) },
	TypeRosterUpdate:  func() Message { return new(RosterUpdate) },
	TypePeerList:      func() Message { return new(PeerList) },
	TypeAcknowledge:   func() Message { return new(Acknowledge) },
	TypeTargetRefresh: func() Message { return new(TargetRefresh) },
	TypeTargetFetch:   func() Message { return new(TargetFetch) },
	TypeTargetUpdates: func() Message { return new(TargetUpdates) },
	TypeGrantEnd:      func() Message { return new(GrantEnd) },
	TypeCongested:     func() Message { return new(Congested) },
	TypeScaleOut:      func() Message { return new(ScaleOut) },
	TypePlace:         func() Message { return new(Place) },
	TypePlaced:        func() Message { return new(Placed) },
	TypeRunEnded:      func() Message { return new(RunEnded) },
	TypeRunStarted:    func() Message { return new(RunStarted) },
	TypeRuns:          func() Message { return new(Runs) },
	TypeZoneState:     func() Message { return new(ZoneState) },
	TypeOwnerPing:     func() Message { return new(OwnerPing) },
	TypeOwnerPong:     func() Message { return new(OwnerPong) },
	TypeStoreCall:     func() Message { return new(StoreCall) },
	TypeStoreAnswer:   func() Message { return new(StoreAnswer) },
}

// Type implements Message.
func (*Error) Type() Type { return TypeError }

// Type implements Message.
func (*Heartbeat) Type() Type { return TypeHeartbeat }

// Type implements Message.
func (*TargetUpdate) Type() Type { return TypeTargetUpdate }

// Type implements Message.
func (*TargetList) Type() Type { return TypeTargetList }

// Type implements Message.
func (*Acquire) Type() Type { return TypeAcquire }

// Type implements Message.
func (*Grant) Type() Type { return TypeGrant }

// Type implements Message.
func (*Load) Type() Type { return TypeLoad }

// Type implements Message.
func (*LoadResult) Type() Type { return TypeLoadResult }

// Type implements Message.
func (*Settle) Type() Type { return TypeSettle }

// Type implements Message.
func (*Settled) Type() Type { return TypeSettled }

// Type implements Message.
func (*HandOver) Type() Type { return TypeHandOver }

// Type implements Message.
func (*CatalogDigest) Type() Type { return TypeCatalogDigest }

// Type implements Message.
func (*CatalogFetch) Type() Type { return TypeCatalogFetch }

// Type implements Message.
func (*CatalogParts) Type() Type { return TypeCatalogParts }

// Type implements Message.
func (*Claim) Type() Type { return TypeClaim }

// Type implements Message.
func (*ClaimResult) Type() Type { return TypeClaimResult }

// Type implements Message.
func (*ClaimOutcome) Type() Type { return TypeClaimOutcome }

// Type implements Message.
func (*BudgetBorrow) Type() Type { return TypeBudgetBorrow }

// Type implements Message.
func (*BudgetLend) Type() Type { return TypeBudgetLend }

// Type implements Message.
func (*Leaving) Type() Type { return TypeLeaving }

// Type implements Message.
func (*Ack) Type() Type { return TypeAck }

// Type implements Message.
func (*Release) Type() Type { return TypeRelease }

// Type implements Message.
func (*Released) Type() Type { return TypeReleased }
