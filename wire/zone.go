package wire

import "almondturn/fleet"

// The message types between the entry nodes and the owner of an availability
// zone, numbered apart from those in messages.go.
const (
	TypeSlotRequest Type = iota + 600
	TypeSlotResponse
	TypeRunEnded
	TypeActiveRuns
	TypeZoneState
	TypePeerLeaseRequest
	TypePeerLeaseResponse
	TypeStoreRequest
	TypeStoreResponse
	TypeRunStarted
	TypeNodeState
	TypeNodesRequest
	TypeNodes
	TypeChangesRequest
	TypeChanges
	TypeSnapshotRequest
	TypeSnapshot
	TypeZoneChange
)

// SlotRequest asks the owner of a zone for a target that has the model loaded. The
// answer is SlotResponse; it comes when a place is free or the request is refused.
type SlotRequest struct {
	RequestID string `cbor:"1,keyasint"`
	Service   string `cbor:"2,keyasint"`
	Model     string `cbor:"3,keyasint"`
	Adapter   string `cbor:"4,keyasint,omitempty"`
	// InputTokens and OutputTokens are the sizes of the prompt and of the
	// expected answer.
	InputTokens  int `cbor:"5,keyasint,omitempty"`
	OutputTokens int `cbor:"6,keyasint,omitempty"`
	// Priority is the route's rank, 0 is the most urgent.
	Priority int `cbor:"7,keyasint,omitempty"`
	// ObjectiveMillis is the time left until the latency objective, negative
	// when it has passed.
	ObjectiveMillis int64 `cbor:"8,keyasint,omitempty"`
	// DeadlineMillis is the time left until the deadline.
	DeadlineMillis int64 `cbor:"9,keyasint"`
	// Exclude lists targets that failed this request before.
	Exclude []string `cbor:"10,keyasint,omitempty"`
	// LastResort tells that all other zones have refused.
	LastResort bool `cbor:"11,keyasint,omitempty"`
	// LatencyObjectiveMillis is the latency objective.
	LatencyObjectiveMillis int64 `cbor:"12,keyasint,omitempty"`
	// MaxEventIntervalMillis is the longest pause between two events that is on time, 0 for
	// none.
	MaxEventIntervalMillis int64 `cbor:"13,keyasint,omitempty"`
}

// SlotRefusal tells why an owner grants no place.
type SlotRefusal uint8

// The refusals of SlotResponse. SlotGranted is none.
const (
	SlotGranted SlotRefusal = iota
	// SlotNotOwner: the node does not own the zone.
	SlotNotOwner
	// SlotTryOtherZone: another zone is likely to serve the request sooner.
	SlotTryOtherZone
	// SlotOverloaded: the request cannot be served in time.
	SlotOverloaded
)

// SlotResponse answers SlotRequest.
type SlotResponse struct {
	// Run identifies the grant; it is given back with RunEnded.
	Run     uint64      `cbor:"1,keyasint,omitempty"`
	Target  string      `cbor:"2,keyasint,omitempty"`
	Refusal SlotRefusal `cbor:"3,keyasint,omitempty"`
	// RetryAfterMillis is when a refused request is worth another try.
	RetryAfterMillis int64 `cbor:"4,keyasint,omitempty"`
}

// RunOutcome tells an owner how a granted run ended.
type RunOutcome uint8

// The outcomes of RunEnded.
const (
	RunCompleted RunOutcome = iota
	// RunFailed: the target broke off or gave no whole answer.
	RunFailed
	// RunUnreachable: no connection to the target was established.
	RunUnreachable
	// RunNotLoaded: the target does not have the model or the adapter.
	RunNotLoaded
	// RunBusy: the target refused the request as full.
	RunBusy
	// RunUnused: the grant was not used.
	RunUnused
)

// RunEnded gives a grant back.
type RunEnded struct {
	Run     uint64     `cbor:"1,keyasint"`
	Outcome RunOutcome `cbor:"2,keyasint,omitempty"`
}

// RunStarted tells an owner that the answer of a granted run has begun.
type RunStarted struct {
	Run uint64 `cbor:"1,keyasint"`
}

// Run is one request in progress at a target.
type Run struct {
	ID      uint64 `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	Adapter string `cbor:"4,keyasint,omitempty"`
	Tokens  int    `cbor:"5,keyasint,omitempty"`
}

// ActiveRuns tells an owner all requests that the sender has in progress at targets
// of the owner's zone. It is the first message on a new connection.
type ActiveRuns struct {
	Runs []Run `cbor:"1,keyasint,omitempty"`
}

// PeerLeaseRequest asks a node of the same zone to hold back from taking the zone
// over. The answer is PeerLeaseResponse.
type PeerLeaseRequest struct {
	Zone  fleet.Zone `cbor:"1,keyasint"`
	Token uint64     `cbor:"2,keyasint"`
}

// PeerLeaseResponse answers PeerLeaseRequest. With Granted, the sender does not take the
// zone over for the promise time, counted from its answer.
type PeerLeaseResponse struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	// ConfigurationVersion is the one in force at the sender.
	ConfigurationVersion int64 `cbor:"2,keyasint,omitempty"`
}

// NodeState is what a node tells the owners of all zones of itself, when they
// connect and when it changes.
type NodeState struct {
	// ConfigurationVersion is the one in force at the sender.
	ConfigurationVersion int64 `cbor:"1,keyasint,omitempty"`
	// Ready tells that the sender takes clients.
	Ready bool `cbor:"2,keyasint,omitempty"`
}

// NodesRequest asks the owner of a zone for the nodes that are connected to it.
// The answer is Nodes.
type NodesRequest struct{}

// Nodes answers NodesRequest.
type Nodes struct {
	// Owner tells that the sender owns its zone.
	Owner bool        `cbor:"1,keyasint,omitempty"`
	Nodes []NodeEntry `cbor:"2,keyasint,omitempty"`
}

// NodeEntry is a node with its closeConn callState.
type NodeEntry struct {
	Node  fleet.Node `cbor:"1,keyasint"`
	State NodeState  `cbor:"2,keyasint"`
}

// ChangesRequest asks the owner of the sender's zone for the changes of the list of
// targets after a revision, so that one node of a zone watches the key-value
// service for all. The answer is Changes; it comes when there are changes, or
// after WaitMillis.
type ChangesRequest struct {
	After      uint64 `cbor:"1,keyasint"`
	WaitMillis int64  `cbor:"2,keyasint"`
}

// Changes answers ChangesRequest.
type Changes struct {
	// Available tells that the owner follows the list and that its memory reaches
	// back to the revision asked for. Otherwise the rest says nothing.
	Available bool     `cbor:"1,keyasint,omitempty"`
	Events    []Change `cbor:"2,keyasint,omitempty"`
	// Revision is where to go on.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
}

// SnapshotRequest asks a node for the entries below a prefix that it knows, for a
// sender that has just started and does not reach the key-value service. The
// answer is Snapshot.
type SnapshotRequest struct {
	Prefix string `cbor:"1,keyasint"`
}

// Snapshot answers SnapshotRequest.
type Snapshot struct {
	// Available tells that the sender has read the prefix.
	Available bool     `cbor:"1,keyasint,omitempty"`
	Entries   []Change `cbor:"2,keyasint,omitempty"`
}

// Change is one change of an entry of the key-value service.
type Change struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}

// StoreRequest asks a node to pass a call on to the platform's key-value
// service, for a sender that does not reach it.
type StoreRequest struct {
	Method string `cbor:"1,keyasint"`
	Path   string `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
}

// StoreResponse answers StoreRequest. Status 0 tells that the call was not made.
type StoreResponse struct {
	Status int    `cbor:"1,keyasint,omitempty"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
}

// Type implements Message.
func (*SlotRequest) Type() Type { return TypeSlotRequest }

// Type implements Message.
func (*SlotResponse) Type() Type { return TypeSlotResponse }

// Type implements Message.
func (*RunEnded) Type() Type { return TypeRunEnded }

// Type implements Message.
func (*RunStarted) Type() Type { return TypeRunStarted }

// Type implements Message.
func (*ActiveRuns) Type() Type { return TypeActiveRuns }

// Type implements Message.
func (*PeerLeaseRequest) Type() Type { return TypePeerLeaseRequest }

// Type implements Message.
func (*PeerLeaseResponse) Type() Type { return TypePeerLeaseResponse }

// Type implements Message.
func (*NodeState) Type() Type { return TypeNodeState }

// Type implements Message.
func (*NodesRequest) Type() Type { return TypeNodesRequest }

// Type implements Message.
func (*Nodes) Type() Type { return TypeNodes }

// Type implements Message.
func (*ChangesRequest) Type() Type { return TypeChangesRequest }

// Type implements Message.
func (*Changes) Type() Type { return TypeChanges }

// Type implements Message.
func (*SnapshotRequest) Type() Type { return TypeSnapshotRequest }

// Type implements Message.
func (*Snapshot) Type() Type { return TypeSnapshot }

// Type implements Message.
func (*StoreRequest) Type() Type { return TypeStoreRequest }

// Type implements Message.
func (*StoreResponse) Type() Type { return TypeStoreResponse }
