package dispatch

import (
	"context"

	"almondturn/fleet"
	"almondturn/pkg/claim"
	"almondturn/pkg/peer"
	"almondturn/pkg/target"
	"almondturn/wire"
)

// Candidate is a target that can serve a request, as last reported. It is
// immutable.
type Candidate struct {
	Target fleet.Target
	// State is the target's last report; it lags. Nil when there is none.
	State *fleet.TargetState
	// Report numbers the reports of the target.
	Report uint64
}

// Directory knows which targets hold which replicas. Lookups take no lock;
// the returned slices are not changed. Targets that are leaving, draining
// or out of reach are left out.
type Directory interface {
	// Loaded returns the targets of all zones with the replica loaded.
	Loaded(k fleet.ReplicaKey) []Candidate
	// Plain returns the targets of all zones that run the plain service.
	Plain(s fleet.Service) []Candidate
	// Target returns one target.
	Target(id fleet.TargetID) (Candidate, bool)
}

// Loader gets one more replica loaded in this node's zone and returns its
// target once it is loaded. Errors are of kind NoReplica, NoCapacity,
// TargetFailed, TargetUnreachable, PlatformUnavailable or DeadlineExceeded.
type Loader interface {
	Load(ctx context.Context, k fleet.ReplicaKey, prefetch bool) (fleet.TargetID, error)
}

// Sender sends one exchange to a target; target.Streams implements it.
type Sender interface {
	Do(ctx context.Context, t fleet.Target, x *target.Exchange, to target.Receiver) error
}

// Claims settles idempotency keys; claim.Client implements it.
type Claims interface {
	// Begin settles the request's claim. A nil outcome means that the
	// request may be sent; otherwise the outcome is the first request's.
	Begin(ctx context.Context, r claim.Request) (*wire.Outcome, error)
	// Finish records what became of a request whose Begin returned nil.
	Finish(r claim.Request, o wire.Outcome)
}

// ViewFunc returns what the node knows of the members.
type ViewFunc func() *peer.View
