package wire

import "almondturn/fleet"

// The message types between the nodes and the owner of an availability zone, and
// of the calls SnapshotRequest and StoreRequest, which go to any node. Their numbers are separate from those in messages.go.
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
	TypeTargetChangesRequest
	TypeEntryChanges
	TypeSnapshotRequest
	TypeSnapshot
	TypeZoneChange
	TypeOwnerChangesRequest
	TypePartEvidence
	TypeStoreEra
	TypeLeavingTargets
	TypeTargetLimits
	TypePermitRequest
	TypePermitResponse
	TypeQuotaRequests
	TypeQuotaResponses
	TypeStreamOriginRequest
	TypeStreamOriginResponse
	TypeStreamOrigins
)

// SlotRequest asks the owner of a zone for a slot at a target that has the
// model loaded. The response is SlotResponse, which is sent when a slot is
// granted or the request is refused.
type SlotRequest struct {
	RequestID string `cbor:"1,keyasint"`
	Service   string `cbor:"2,keyasint"`
	Model     string `cbor:"3,keyasint"`
	Adapter   string `cbor:"4,keyasint,omitempty"`
	// InputTokens and OutputTokens are the sizes of the prompt and of the
	// expected response.
	InputTokens  int `cbor:"5,keyasint,omitempty"`
	OutputTokens int `cbor:"6,keyasint,omitempty"`
	// Priority is the route's priority; 0 is the most urgent.
	Priority int `cbor:"7,keyasint,omitempty"`
	// TimeToObjectiveMillis is the time left until the latency objective,
	// negative if it has passed.
	TimeToObjectiveMillis int64 `cbor:"8,keyasint,omitempty"`
	// TimeToDeadlineMillis is the time left until the response must have begun.
	TimeToDeadlineMillis int64 `cbor:"9,keyasint"`
	// Exclude lists targets to avoid for this request: those at which it has
	// failed, those that refused it after the sender had chosen them without an
	// owner, and those that the sender does not know.
	Exclude []string `cbor:"10,keyasint,omitempty"`
	// OtherZonesRefused is true if all owners that responded referred the
	// request to another zone. Owners that did not respond have refused nothing.
	OtherZonesRefused bool `cbor:"11,keyasint,omitempty"`
	// LatencyObjectiveMillis is the route's latency objective, a duration that
	// counts from the arrival of the request; TimeToObjectiveMillis is what is
	// left of it.
	LatencyObjectiveMillis int64 `cbor:"12,keyasint,omitempty"`
	// MaxEventIntervalMillis is the longest time allowed between two events of
	// the response stream; 0 for no limit.
	MaxEventIntervalMillis int64 `cbor:"13,keyasint,omitempty"`
	// Unavailable lists the targets of the service to which the sender sends no
	// requests, whatever the owner knows of them.
	Unavailable []UnavailableTarget `cbor:"14,keyasint,omitempty"`
	// Continues is true for a stream that another target has begun.
	Continues bool `cbor:"15,keyasint,omitempty"`
	// Customer is the name of the customer that sent the request, empty if there is none.
	Customer string `cbor:"16,keyasint,omitempty"`
}

// UnavailableTarget is a target to which a node sends no requests, because it leaves or has
// asked the node for a pause.
type UnavailableTarget struct {
	Target string `cbor:"1,keyasint"`
	// PauseMillis is the time left of the pause; 0 if the target leaves.
	PauseMillis int64 `cbor:"2,keyasint,omitempty"`
}

// LeavingTargets names targets that have said that they are shutting down. A node sends it
// to the owner of their zone, and an owner to the nodes.
type LeavingTargets struct {
	Targets []TargetIncarnation `cbor:"1,keyasint,omitempty"`
}

// TargetLimits says which rate limits targets have named, or no longer name. A node sends it
// to the owner of their zone, and an owner to the nodes.
type TargetLimits struct {
	Limits []TargetLimit `cbor:"1,keyasint,omitempty"`
}

// TargetLimit is the rate limit of an incarnation of a target.
type TargetLimit struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint,omitempty"`
	// Named is false if the target has no limit.
	Named bool `cbor:"3,keyasint,omitempty"`
	// PerSecond is the number of requests a second from all nodes together.
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// AgeMillis is how long ago that was so.
	AgeMillis int64 `cbor:"5,keyasint,omitempty"`
}

// PermitRequest asks the owner of a zone for a request to a target of a plain service that
// has a rate limit. The response is PermitResponse.
type PermitRequest struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint,omitempty"`
	// MaxWaitMillis is how long the request can wait.
	MaxWaitMillis int64 `cbor:"3,keyasint,omitempty"`
}

// PermitResponse is the response to PermitRequest.
type PermitResponse struct {
	// NotOwner means that the node does not own the zone.
	NotOwner bool `cbor:"1,keyasint,omitempty"`
	// Granted is true if the request may be sent after WaitMillis. Otherwise it would
	// have to wait for WaitMillis.
	Granted    bool  `cbor:"2,keyasint,omitempty"`
	WaitMillis int64 `cbor:"3,keyasint,omitempty"`
}

// TargetIncarnation identifies one incarnation of a target.
type TargetIncarnation struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint,omitempty"`
}

// SlotRefusal is the reason for which an owner refused a slot request.
type SlotRefusal uint8

// The refusals of SlotResponse. SlotGranted means that the request was not
// refused.
const (
	SlotGranted SlotRefusal = iota
	// SlotNotOwner means that the node does not own the zone.
	SlotNotOwner
	// SlotTryOtherZone means that another zone is likely to serve the request
	// sooner.
	SlotTryOtherZone
	// SlotOverloaded means that the request cannot be served in time.
	SlotOverloaded
)

// SlotResponse is the response to SlotRequest.
type SlotResponse struct {
	// Run identifies the grant; RunEnded releases its slot.
	Run     uint64      `cbor:"1,keyasint,omitempty"`
	Target  string      `cbor:"2,keyasint,omitempty"`
	Refusal SlotRefusal `cbor:"3,keyasint,omitempty"`
	// RetryAfterMillis is the time after which a refused request may be
	// retried.
	RetryAfterMillis int64 `cbor:"4,keyasint,omitempty"`
	// ExpectedWaitMillis is, with SlotTryOtherZone, the time in which a request that the zone
	// queues all the same would get a slot; 0 if the zone has no replica of the model or the
	// time is not known.
	ExpectedWaitMillis int64 `cbor:"5,keyasint,omitempty"`
}

// RunOutcome is the result of a granted run. Its values equal those of
// scheduler.Outcome, to which package zoneowner converts them by number.
type RunOutcome uint8

// The outcomes of RunEnded.
const (
	RunCompleted RunOutcome = iota
	// RunFailed means that the target returned no complete response or the
	// connection was lost.
	RunFailed
	// RunUnreachable means that no connection to the target was established.
	RunUnreachable
	// RunNotLoaded means that the target does not have the model or the
	// adapter loaded.
	RunNotLoaded
	// RunBusy means that the target responded that it did not run the request,
	// for a reason other than that of RunNotLoaded.
	RunBusy
	// RunUnused means that the attempt ended at the deadline or at the stop of the
	// node.
	RunUnused
	// RunNotSent means that the request was not sent.
	RunNotSent
)

// RunEnded notifies an owner that a granted run has ended and releases its
// slot.
type RunEnded struct {
	Run     uint64     `cbor:"1,keyasint"`
	Outcome RunOutcome `cbor:"2,keyasint,omitempty"`
	// PacePercent is as in RunStarted. It counts for runs without that message.
	PacePercent int `cbor:"3,keyasint,omitempty"`
}

// RunStarted notifies an owner that the response of a granted run has begun. Run is 0 for one
// that no owner granted.
type RunStarted struct {
	Run uint64 `cbor:"1,keyasint"`
	// PacePercent is how long work took at the target when it responded, in percent of the
	// usual; 0 if it did not report that.
	PacePercent int `cbor:"2,keyasint,omitempty"`
	// Origin is that of the run's stream, nil if clients can't take it up or another run began it.
	Origin *StreamOrigin `cbor:"3,keyasint,omitempty"`
}

// Run is one request in progress at a target.
type Run struct {
	ID      uint64 `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	Adapter string `cbor:"4,keyasint,omitempty"`
	Tokens  int    `cbor:"5,keyasint,omitempty"`
}

// ActiveRuns sends an owner all requests that the sender has in progress at
// targets of the owner's zone. It is the first message on a new connection.
type ActiveRuns struct {
	Runs []Run `cbor:"1,keyasint,omitempty"`
}

// PeerLeaseRequest asks a node of the same zone for a peer lease, under which
// the node does not acquire the zone. Token is the sender's fencing token. The
// response is PeerLeaseResponse.
type PeerLeaseRequest struct {
	Zone  fleet.Zone `cbor:"1,keyasint"`
	Token uint64     `cbor:"2,keyasint"`
}

// PeerLeaseResponse is the response to PeerLeaseRequest. If Granted is true,
// its sender does not acquire the zone for zoneowner.PeerLeaseTTL, counted
// from this response.
type PeerLeaseResponse struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	// ConfigurationVersion is the version in force at the sender.
	ConfigurationVersion int64 `cbor:"2,keyasint,omitempty"`
}

// NodeState is the state that a node sends to the owners of all zones, when it
// connects to them and when the state changes, except when Ready becomes false at
// its stop.
type NodeState struct {
	// ConfigurationVersion is the version in force at the sender.
	ConfigurationVersion int64 `cbor:"1,keyasint,omitempty"`
	// Ready is true if the sender accepts clients.
	Ready bool `cbor:"2,keyasint,omitempty"`
}

// NodesRequest asks the owner of a zone for itself and the nodes that are
// connected to it. The response is Nodes.
type NodesRequest struct{}

// Nodes is the response to NodesRequest.
type Nodes struct {
	// Owner is true if the sender owns its zone.
	Owner bool        `cbor:"1,keyasint,omitempty"`
	Nodes []NodeEntry `cbor:"2,keyasint,omitempty"`
}

// NodeEntry is a node with the last state that it sent.
type NodeEntry struct {
	Node  fleet.Node `cbor:"1,keyasint"`
	State NodeState  `cbor:"2,keyasint"`
}

// TargetChangesRequest asks the owner of the sender's zone for the changes of
// the list of targets after a revision of the key-value service, so that one
// node of a zone watches that service for all. The response is EntryChanges;
// it is sent when there are changes, or after WaitMillis.
type TargetChangesRequest struct {
	After      uint64 `cbor:"1,keyasint"`
	WaitMillis int64  `cbor:"2,keyasint"`
}

// OwnerChangesRequest asks for the changes of the owners of all zones as
// TargetChangesRequest does for those of the targets.
type OwnerChangesRequest struct {
	After      uint64 `cbor:"1,keyasint"`
	WaitMillis int64  `cbor:"2,keyasint"`
}

// EntryChanges is the response to TargetChangesRequest and to OwnerChangesRequest.
type EntryChanges struct {
	// Available is true if the owner watches the entries, has heard from the
	// key-value service lately, and its retained changes reach back to the requested
	// revision. Otherwise Events and Revision have no meaning.
	Available bool `cbor:"1,keyasint,omitempty"`
	// Events are the changes of entries, in order.
	Events []EntryChange `cbor:"2,keyasint,omitempty"`
	// Revision is the revision to request the next changes after.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// AgeMillis is how long ago, at the time of the response, the key-value service
	// is known to have had no other changes. It is at least 1. It is 0 if the owner does
	// not serve the changes; with Available false and an age, only the age is why.
	AgeMillis int64 `cbor:"4,keyasint,omitempty"`
}

// SnapshotRequest asks a node for the entries of the key-value service below a
// prefix, as the node has last read them, for a sender that has never read them
// and cannot reach that service. The response is Snapshot.
type SnapshotRequest struct {
	Prefix string `cbor:"1,keyasint"`
}

// Snapshot is the response to SnapshotRequest.
type Snapshot struct {
	// Available is true if the sender has a copy of the entries below the prefix
	// and its limit for snapshots admits the response.
	Available bool          `cbor:"1,keyasint,omitempty"`
	Entries   []EntryChange `cbor:"2,keyasint,omitempty"`
}

// EntryChange is one change of an entry of the key-value service. In a Snapshot
// it is an existing entry.
type EntryChange struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}

// StoreRequest asks a node to forward a call to the platform's key-value
// service, for a sender that cannot reach it.
type StoreRequest struct {
	Method string `cbor:"1,keyasint"`
	Path   string `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
}

// StoreResponse is the response to StoreRequest. Status is the HTTP status of
// the key-value service, 0 if the call was not made or got no response.
type StoreResponse struct {
	Status int    `cbor:"1,keyasint,omitempty"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
	// OutcomeUnknown is true if the call got no complete response and may have
	// been executed.
	OutcomeUnknown bool `cbor:"3,keyasint,omitempty"`
	// Era is the era of the key-value service in which the call was executed, 0 if
	// the service reports none.
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

// StoreEra announces an era of the key-value service to nodes that may wait for
// changes of a former one. A node sends it when it first sees the era, and first on
// each new connection.
type StoreEra struct {
	Era uint64 `cbor:"1,keyasint"`
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
func (*TargetChangesRequest) Type() Type { return TypeTargetChangesRequest }

// Type implements Message.
func (*OwnerChangesRequest) Type() Type { return TypeOwnerChangesRequest }

// Type implements Message.
func (*EntryChanges) Type() Type { return TypeEntryChanges }

// Type implements Message.
func (*SnapshotRequest) Type() Type { return TypeSnapshotRequest }

// Type implements Message.
func (*Snapshot) Type() Type { return TypeSnapshot }

// Type implements Message.
func (*StoreRequest) Type() Type { return TypeStoreRequest }

// Type implements Message.
func (*StoreResponse) Type() Type { return TypeStoreResponse }

// Type implements Message.
func (*LeavingTargets) Type() Type { return TypeLeavingTargets }

// Type implements Message.
func (*TargetLimits) Type() Type { return TypeTargetLimits }

// Type implements Message.
func (*PermitRequest) Type() Type { return TypePermitRequest }

// Type implements Message.
func (*PermitResponse) Type() Type { return TypePermitResponse }

// Type implements Message.
func (*StoreEra) Type() Type { return TypeStoreEra }
