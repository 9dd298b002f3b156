package wire

import (
	"almondturn/fleet"
)

// Type numbers a message type. Numbers are never reused.
type Type uint16

// The message types. The table in types.go maps each to its Go type.
const (
	TypeError Type = iota + 1
	TypeHeartbeat
	TypeTargetUpdate
	TypeTargetList
	TypeAcquire
	TypeGrant
	TypeLoad
	TypeLoadResult
	TypeSettle
	TypeSettled
	TypeHandOver
	TypeCatalogDigest
	TypeCatalogFetch
	TypeCatalogParts
	TypeClaim
	TypeClaimResult
	TypeClaimOutcome
	TypeBudgetBorrow
	TypeBudgetLend
	TypeLeaving
	TypeAck
	TypeRelease
	TypeReleased
)

// Message is one typed message between nodes.
type Message interface {
	// Type returns the message's number.
	Type() Type
}

// Error answers a call that failed; Code is a fault kind's code.
type Error struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

// Heartbeat is sent to every neighbour at a fixed interval.
type Heartbeat struct {
	Epoch    fleet.Epoch `cbor:"1,keyasint"`
	Sequence uint64      `cbor:"2,keyasint"`
	// Silent lists the nodes of the sender's zone that it has not heard
	// from for longer than the suspicion timeout.
	Silent []fleet.NodeID `cbor:"3,keyasint,omitempty"`
	// Leaving is set during a graceful shutdown.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Platform is true while the sender reaches the key-value service.
	Platform bool `cbor:"5,keyasint,omitempty"`
	// MaxRevision is the highest revision of the key-value service that the
	// sender knows of.
	MaxRevision uint64 `cbor:"6,keyasint,omitempty"`
	// CatalogDigest sums up the revisions of all subtrees in force.
	CatalogDigest uint64 `cbor:"7,keyasint,omitempty"`
	// Generation counts the operators' acknowledgements that the key-value
	// service lost data; MaxRevision counts within it.
	Generation uint64 `cbor:"8,keyasint,omitempty"`
	// PlatformOlder tells that the key-value service came back older than
	// known in this generation.
	PlatformOlder bool `cbor:"9,keyasint,omitempty"`
}

// TargetUpdate spreads what the owner of a target knows of it.
type TargetUpdate struct {
	Target fleet.Target      `cbor:"1,keyasint"`
	State  fleet.TargetState `cbor:"2,keyasint"`
	Owner  fleet.NodeID      `cbor:"3,keyasint"`
	Epoch  fleet.Epoch       `cbor:"4,keyasint"`
	// Sequence orders the updates of one owner and epoch.
	Sequence uint64 `cbor:"5,keyasint"`
	// Unreachable is set when the owner has lost contact with the target.
	Unreachable bool `cbor:"6,keyasint,omitempty"`
	// Slots are the replica keys bound to the target.
	Slots []fleet.ReplicaKey `cbor:"7,keyasint,omitempty"`
	// Draining are replicas that must get no new requests.
	Draining []fleet.ReplicaKey `cbor:"8,keyasint,omitempty"`
	// Observed marks the report of a node that does not own the target; its
	// sequence is the time in Unix milliseconds, and Owner is empty.
	Observed bool `cbor:"10,keyasint,omitempty"`
}

// TargetList spreads the VM list from the few nodes that poll it.
type TargetList struct {
	Version uint64         `cbor:"1,keyasint"`
	Targets []fleet.Target `cbor:"2,keyasint"`
}

// Acquire asks a model home for leave to send one request.
type Acquire struct {
	RequestID string           `cbor:"1,keyasint"`
	Key       fleet.ReplicaKey `cbor:"2,keyasint"`
	Team      fleet.Team       `cbor:"3,keyasint"`
	Class     int              `cbor:"4,keyasint"`
	// RemainingMillis is the time left until the request's deadline.
	RemainingMillis int64 `cbor:"5,keyasint"`
	// Exclude lists targets that refused this request already.
	Exclude []fleet.TargetID `cbor:"6,keyasint,omitempty"`
	// Hops counts the zones that passed the request on.
	Hops int `cbor:"7,keyasint,omitempty"`
	// NotLoaded lists targets that refused this request because the replica
	// is not loaded there, against what they had reported.
	NotLoaded []fleet.TargetID `cbor:"8,keyasint,omitempty"`
}

// Grant is leave to send the request to one target.
type Grant struct {
	Target fleet.Target `cbor:"1,keyasint"`
	// Requests and ValidMillis let the receiver send this many further
	// requests for the same replica within that time without asking.
	Requests    int   `cbor:"2,keyasint,omitempty"`
	ValidMillis int64 `cbor:"3,keyasint,omitempty"`
	// Cold tells that the request waited for a load.
	Cold bool `cbor:"4,keyasint,omitempty"`
	// Waiting is set when the request still waits: the sender asks again
	// with the same request identifier, which keeps its place.
	Waiting bool `cbor:"5,keyasint,omitempty"`
	// Queued is the number of requests that wait for the replica.
	Queued int `cbor:"6,keyasint,omitempty"`
}

// Load asks a target owner to get one more replica loaded in its zone, on
// the given target.
type Load struct {
	Key    fleet.ReplicaKey `cbor:"1,keyasint"`
	Target fleet.TargetID   `cbor:"2,keyasint"`
	// Prefetch marks a load that no request waits for.
	Prefetch bool `cbor:"3,keyasint,omitempty"`
}

// LoadResult answers Load once the replica is loaded or cannot be.
type LoadResult struct {
	Loaded bool `cbor:"1,keyasint"`
	// Code is the fault kind's code when not loaded.
	Code    string `cbor:"2,keyasint,omitempty"`
	Message string `cbor:"3,keyasint,omitempty"`
}

// Settle asks a target's former owner to give it up and to name its orders
// of unknown outcome.
type Settle struct {
	Target fleet.TargetID `cbor:"1,keyasint"`
	Epoch  fleet.Epoch    `cbor:"2,keyasint"`
}

// Settled answers Settle. The sender sends no order to the target any more.
type Settled struct {
	Target   fleet.TargetID     `cbor:"1,keyasint"`
	Epoch    fleet.Epoch        `cbor:"2,keyasint"`
	Floating []fleet.ReplicaKey `cbor:"3,keyasint,omitempty"`
	// Incarnation is the engine's start that the floating orders went to.
	Incarnation string `cbor:"4,keyasint,omitempty"`
	// Owned is the last epoch in which the sender's process owned the
	// target; 0 when it never did.
	Owned fleet.Epoch `cbor:"5,keyasint,omitempty"`
	// Clean tells that all owners before the sender were settled.
	Clean bool `cbor:"6,keyasint,omitempty"`
}

// HandOver gives waiting requests back during a graceful shutdown of a
// model home: the receiver queues its requests at the next home.
type HandOver struct {
	RequestIDs []string `cbor:"1,keyasint"`
}

// CatalogDigest lists the revision in force of each subtree. As a question
// with Sum set it asks a peer to compare; with Teams it asks for the revisions
// of these only. The answer leaves Revisions out when the sums are equal.
type CatalogDigest struct {
	Revisions map[fleet.Team]uint64 `cbor:"1,keyasint,omitempty"`
	// Sum sums up the heads in force of all teams.
	Sum uint64 `cbor:"2,keyasint,omitempty"`
	// Ready is true once the sender has loaded the catalog.
	Ready bool         `cbor:"3,keyasint,omitempty"`
	Teams []fleet.Team `cbor:"4,keyasint,omitempty"`
}

// CatalogFetch asks for the heads of subtrees and for chunks by digest.
type CatalogFetch struct {
	Teams  []fleet.Team `cbor:"1,keyasint,omitempty"`
	Chunks [][]byte     `cbor:"2,keyasint,omitempty"`
}

// CatalogHead is the head of a subtree as the key-value service holds it.
type CatalogHead struct {
	Team     fleet.Team `cbor:"1,keyasint"`
	Revision uint64     `cbor:"2,keyasint"`
	Value    []byte     `cbor:"3,keyasint"`
}

// CatalogParts answers CatalogFetch; it is also sent unasked to spread a
// new head.
type CatalogParts struct {
	Heads  []CatalogHead `cbor:"1,keyasint,omitempty"`
	Chunks [][]byte      `cbor:"2,keyasint,omitempty"`
}

// Claim asks the claim writer of a hash range to settle an idempotency key.
type Claim struct {
	Team fleet.Team `cbor:"1,keyasint"`
	// Key is the SHA-256 digest of team, service and Idempotency-Key.
	Key []byte `cbor:"2,keyasint"`
	// Body is the SHA-256 digest of the request, to find a key used twice
	// for different requests.
	Body      []byte `cbor:"3,keyasint"`
	RequestID string `cbor:"4,keyasint"`
	// Node is the entry node that will send the request.
	Node            fleet.NodeID `cbor:"5,keyasint"`
	RemainingMillis int64        `cbor:"6,keyasint"`
	// Incarnation is the entry node's process start.
	Incarnation string `cbor:"7,keyasint,omitempty"`
	// Idempotent requests may take a dead holder's claim over.
	Idempotent bool `cbor:"8,keyasint,omitempty"`
}

// ClaimState tells where a claim stands.
type ClaimState uint8

// The states of a claim.
const (
	// ClaimGranted: the asking request holds the claim and may be sent.
	ClaimGranted ClaimState = iota + 1
	// ClaimInProgress: another request holds it.
	ClaimInProgress
	// ClaimFinished: an outcome is recorded.
	ClaimFinished
	// ClaimMismatch: the key was used for a different request.
	ClaimMismatch
	// ClaimUnsettled: the key-value service could not settle it; not run.
	ClaimUnsettled
)

// ClaimResult answers Claim.
type ClaimResult struct {
	State   ClaimState `cbor:"1,keyasint"`
	Outcome Outcome    `cbor:"2,keyasint,omitempty"`
}

// Outcome is what became of a claimed request.
type Outcome struct {
	// Status is the HTTP status told to the first caller; 0 when unknown.
	Status      int    `cbor:"1,keyasint,omitempty"`
	Run         string `cbor:"2,keyasint,omitempty"`
	ContentType string `cbor:"3,keyasint,omitempty"`
	// Body is kept up to a bound; Truncated is set beyond it.
	Body      []byte `cbor:"4,keyasint,omitempty"`
	Truncated bool   `cbor:"5,keyasint,omitempty"`
}

// ClaimOutcome records the outcome of a claimed request.
type ClaimOutcome struct {
	Key       []byte  `cbor:"1,keyasint"`
	RequestID string  `cbor:"2,keyasint"`
	Outcome   Outcome `cbor:"3,keyasint"`
}

// BudgetKind names a budget that zones share and lend.
type BudgetKind string

// The budgets.
const (
	BudgetStoreLoads BudgetKind = "store_loads"
	BudgetAdapters   BudgetKind = "adapters"
)

// BudgetBorrow asks a budget holder, of the own or another zone, for load
// permits.
type BudgetBorrow struct {
	Budget BudgetKind `cbor:"1,keyasint"`
	Wanted int        `cbor:"2,keyasint"`
	// Permit names the permit that is asked for or given back.
	Permit string `cbor:"3,keyasint,omitempty"`
	// Prefetch permits come after those that requests wait for.
	Prefetch bool `cbor:"4,keyasint,omitempty"`
	// Return gives the permit back.
	Return bool `cbor:"5,keyasint,omitempty"`
	// Lend is set between holders: an idle permit is given at once, or none.
	Lend bool `cbor:"6,keyasint,omitempty"`
}

// BudgetLend answers BudgetBorrow; the permits lapse after ValidMillis.
type BudgetLend struct {
	Budget      BudgetKind `cbor:"1,keyasint"`
	Granted     int        `cbor:"2,keyasint"`
	ValidMillis int64      `cbor:"3,keyasint"`
}

// Leaving spreads that a target takes no new work, from whatever source.
type Leaving struct {
	Target fleet.TargetID `cbor:"1,keyasint"`
	Source string         `cbor:"2,keyasint"`
	// Cancelled takes an operator's drain back.
	Cancelled bool `cbor:"3,keyasint,omitempty"`
	// DecidedUnixMillis orders the operators' decisions on one target: the
	// latest one holds.
	DecidedUnixMillis int64 `cbor:"4,keyasint,omitempty"`
}

// Release asks a target owner to release the slot of a replica that is not
// loaded, because it is wanted on another target.
type Release struct {
	Key    fleet.ReplicaKey `cbor:"1,keyasint"`
	Target fleet.TargetID   `cbor:"2,keyasint"`
}

// Released answers Release.
type Released struct {
	// Done is true when the slot has left the slot record.
	Done bool `cbor:"1,keyasint"`
}

// Ack answers messages whose answer carries nothing.
type Ack struct{}
